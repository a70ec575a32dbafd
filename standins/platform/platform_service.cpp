#include "platform/platform_service.h"

#include "clients/host_list_codec.h"
#include "clients/table_codec.h"
#include "common/answers.h"
#include "common/log_line.h"
#include "net/url_path.h"

#include <array>
#include <fmt/format.h>
#include <utility>
#include <xxhash.h>

namespace anvilmoor::standin {

namespace {

net::HttpResponse jsonResponse(const clients::Encoded& body)
{
    if (!body)
        return { 500, {}, body.error().detail };
    return { 200, { { "Content-Type", "application/json" } }, *body };
}

struct HostChange {
    std::string id;
    HostDirectory::State state;
};

HostDirectory::State readHostState(clients::JsonReader& reader)
{
    const std::string state = reader.text("state");
    if (state == "live")
        return HostState::Live;
    if (state == "leaving")
        return HostState::Leaving;
    if (state != "gone")
        reader.fail("state", "is none of \"live\", \"leaving\" and \"gone\"");
    return std::nullopt;
}

} // namespace

PlatformService::PlatformService(net::EventLoop& loop, HostDirectory hosts)
    : m_loop(loop)
    , m_hosts(std::move(hosts))
{
}

void PlatformService::handle(const Exchange& exchange)
{
    const net::HttpRequest& request = exchange->request();
    const auto path = net::splitPath(request.path);
    const auto is = [&](const char* method, std::initializer_list<const char*> segments) {
        return path && request.method == method && std::ranges::equal(*path, segments);
    };
    if (is("POST", { "v1", "table", "txn" }))
        handleTransaction(exchange);
    else if (is("POST", { "v1", "table", "read" }))
        handleRead(exchange);
    else if (is("GET", { "v1", "hosts" }))
        handleHosts(exchange);
    else if (path && path->size() == 3 && (*path)[0] == "v1" && (*path)[1] == "objects")
        handleObject(exchange, (*path)[2]);
    else if (is("GET", { "control" }))
        answerJson(*exchange, state());
    else if (is("POST", { "control" }))
        handleControl(exchange);
    else
        answerError(*exchange, 404, "no such resource");
}

void PlatformService::applyFault(const Exchange& exchange, FaultSwitch& fault,
    std::span<const std::string> keys, bool isWrite, Action action)
{
    switch (fault.next(keys, isWrite)) {
    case FaultMode::Up:
        exchange->respond(action());
        return;
    case FaultMode::Down:
        ++m_counters.refused;
        answerError(*exchange, 503, "refused: the fault mode of the service is down");
        return;
    case FaultMode::Slow:
        ++m_counters.slowed;
        executeLater(exchange, fault.delay(), std::move(action));
        return;
    case FaultMode::LoseAnswers:
        ++m_counters.answersLost;
        logLine("answer_lost", { { "path", exchange->request().path } });
        action();
        leaveUnanswered(exchange);
        return;
    case FaultMode::Silent:
        leaveUnanswered(exchange);
        return;
    }
}

void PlatformService::executeLater(const Exchange& exchange, Milliseconds delay, Action action)
{
    const std::uint64_t id = ++m_lastDelayed;
    auto& timer = m_delayed[id];
    timer = std::make_unique<net::Timer>(m_loop);
    timer->startOnce(delay, [this, id, exchange, action = std::move(action)] {
        exchange->respond(action());
        m_delayed.erase(id);
    });
}

void PlatformService::handleTransaction(const Exchange& exchange)
{
    auto transaction = clients::decodeTransaction(exchange->request().body);
    if (!transaction) {
        answerError(*exchange, 400, transaction.error().detail);
        return;
    }
    std::vector<std::string> keys;
    for (const TableWrite& write : transaction->writes)
        keys.push_back(write.key);
    applyFault(exchange, m_tableFault, keys, true, [this, transaction = std::move(*transaction)] {
        const TableReply reply = m_table.execute(transaction);
        ++m_counters.transactions;
        m_counters.conflicts += reply.status == TableStatus::Conflict ? 1 : 0;
        return jsonResponse(clients::encodeTransactionReply(reply, m_table.revision()));
    });
}

void PlatformService::handleRead(const Exchange& exchange)
{
    auto read = clients::decodeRead(exchange->request().body);
    if (!read) {
        answerError(*exchange, 400, read.error().detail);
        return;
    }
    std::vector<std::string> keys = read->keys;
    keys.insert(keys.end(), read->prefixes.begin(), read->prefixes.end());
    applyFault(exchange, m_tableFault, keys, false, [this, read = std::move(*read)] {
        ++m_counters.reads;
        return jsonResponse(clients::encodeReadReply(m_table.read(read), m_table.revision()));
    });
}

void PlatformService::handleObject(const Exchange& exchange, const std::string& key)
{
    const bool isDelete = exchange->request().method == "DELETE";
    const bool isPut = exchange->request().method == "PUT";
    const bool isWrite = isDelete || isPut;
    if (!isWrite && exchange->request().method != "GET") {
        answerError(*exchange, 405, "method not allowed: objects accept only PUT, GET and DELETE");
        return;
    }
    const std::array<std::string, 1> keys { key };
    applyFault(exchange, m_objectFault, keys, isWrite, [=, this]() -> net::HttpResponse {
        if (isDelete) {
            ++m_counters.objectWrites;
            return { m_objects.erase(key) > 0 ? 200 : 404, {}, {} };
        }
        if (isPut) {
            ++m_counters.objectWrites;
            m_objects[key] = exchange->request().body;
            return {};
        }
        ++m_counters.objectReads;
        const auto found = m_objects.find(key);
        if (found == m_objects.end())
            return { 404, {}, "no such object" };
        return { 200, { { "Content-Type", "application/octet-stream" } }, found->second };
    });
}

void PlatformService::handleHosts(const Exchange& exchange)
{
    std::string knownTag(exchange->request().header("If-None-Match"));
    applyFault(exchange, m_hostFault, {}, false, [this, knownTag = std::move(knownTag)] {
        ++m_counters.hostLists;
        net::HttpResponse response = jsonResponse(clients::encodeHostList(m_hosts.list(m_loop.now())));
        std::string tag = fmt::format("\"{:016x}\"", XXH3_64bits(response.body.data(), response.body.size()));
        if (tag == knownTag) {
            response.status = 304;
            response.body.clear();
        }
        response.headers.push_back({ "ETag", std::move(tag) });
        return response;
    });
}

void PlatformService::handleControl(const Exchange& exchange)
{
    clients::JsonReader reader(exchange->request().body);
    reader.allowOnly({ "table", "objects", "hosts", "set_hosts", "host_list_lag_ms" });
    std::vector<std::pair<FaultSwitch*, FaultSwitch::Setting>> faults;
    const std::array<std::pair<const char*, FaultSwitch*>, 3> services { { { "table", &m_tableFault },
        { "objects", &m_objectFault }, { "hosts", &m_hostFault } } };
    for (const auto& [name, fault] : services) {
        if (reader.has(name))
            faults.emplace_back(fault, FaultSwitch::read(reader, name));
    }
    std::vector<HostChange> changes;
    if (reader.has("set_hosts")) {
        for (clients::JsonReader& item : reader.items("set_hosts")) {
            changes.push_back({ item.text("id"), readHostState(item) });
            if (!m_hosts.contains(changes.back().id))
                item.fail("id", "names an unknown host");
        }
    }
    const Milliseconds lag
        = reader.has("host_list_lag_ms") ? reader.milliseconds("host_list_lag_ms") : m_hosts.lag();

    if (const auto checked = reader.result(true); !checked) {
        answerError(*exchange, 400, checked.error().detail);
        return;
    }
    for (auto& [fault, setting] : faults)
        fault->set(std::move(setting));
    m_hosts.setLag(lag);
    for (const HostChange& change : changes)
        m_hosts.set(change.id, change.state, m_loop.now());
    logLine("control", { { "change", exchange->request().body } });
    answerJson(*exchange, state());
}

std::string PlatformService::state()
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const HostListEntry& host : m_hosts.actual())
        hosts.push_back({ { "id", host.id }, { "zone", host.zone.value() },
            { "state", host.state == HostState::Live ? "live" : "leaving" } });
    const nlohmann::json state { { "table", m_tableFault.state() }, { "objects", m_objectFault.state() },
        { "hosts", m_hostFault.state() }, { "host_list_lag_ms", m_hosts.lag().count() },
        { "actual_hosts", std::move(hosts) }, { "revision", m_table.revision() },
        { "rows", m_table.rows().size() }, { "stored_objects", m_objects.size() },
        { "counters",
            { { "reads", m_counters.reads }, { "writes", m_table.writesCommitted() },
                { "transactions", m_counters.transactions }, { "conflicts", m_counters.conflicts },
                { "object_reads", m_counters.objectReads }, { "object_writes", m_counters.objectWrites },
                { "host_lists", m_counters.hostLists }, { "refused", m_counters.refused },
                { "answers_lost", m_counters.answersLost }, { "slowed", m_counters.slowed } } } };
    return clients::toText(state).value_or("{}");
}

} // namespace anvilmoor::standin
