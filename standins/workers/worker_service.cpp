#include "workers/worker_service.h"

#include "clients/endpoint_codec.h"
#include "clients/json_reader.h"
#include "clients/worker_codec.h"
#include "common/answers.h"
#include "net/url_path.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <utility>

namespace anvilmoor::standin {

namespace {

// The resolution at which leases and run times end.
constexpr Milliseconds advanceInterval { 10 };

constexpr std::size_t maxWaitingSyncs = 4'096;

// The sequence numbers of a process are above those of every earlier process that made fewer than 1,000
// changes per ms.
std::uint64_t firstSequence()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(sinceEpoch).count()) * 1'000;
}

void answerEncoded(net::HttpExchange& exchange, const clients::Encoded& body)
{
    if (body)
        answerJson(exchange, *body);
    else
        answerError(exchange, 500, body.error().detail);
}

} // namespace

WorkerService::WorkerService(net::EventLoop& loop, const ZoneLayout& layout)
    : m_loop(loop)
    , m_advanceTimer(loop)
{
    const std::uint64_t sequence = firstSequence();
    for (const RackLayout& rack : layout.racks) {
        const std::size_t index = m_racks.size();
        m_rackIndex[rack.id] = index;
        m_racks.emplace_back(rack, sequence);
        for (std::size_t i = 0; i < rack.workers.size(); ++i) {
            const std::string& worker = rack.workers[i].id;
            m_workerPositions[worker] = { index, i };
            for (const std::string& service : layout.services) {
                const EndpointId id = EndpointId(fmt::format("{}@{}", service, worker));
                m_endpoints[id.value()] = std::make_unique<EndpointHost>(loop, id, layout.slots);
            }
        }
    }
    m_advanceTimer.startRepeating(advanceInterval, [this] { advance(); });
}

void WorkerService::handle(const Exchange& exchange)
{
    const net::HttpRequest& request = exchange->request();
    const auto path = net::splitPath(request.path);
    const auto isPost = [&](const char* kind, const char* verb) {
        return path && request.method == "POST" && path->size() == 4 && (*path)[0] == "v1"
            && (*path)[1] == kind && (*path)[3] == verb;
    };
    const bool isControl = path && path->size() == 1 && (*path)[0] == "control";
    if (isPost("racks", "sync"))
        handleSync(exchange, (*path)[2]);
    else if (isPost("workers", "command"))
        handleCommand(exchange, (*path)[2]);
    else if (isPost("endpoints", "call"))
        handleCall(exchange, (*path)[2]);
    else if (isControl && request.method == "GET")
        answerJson(*exchange, state());
    else if (isControl && request.method == "POST")
        handleControl(exchange);
    else
        answerError(*exchange, 404, "no such resource");
}

void WorkerService::advance()
{
    for (Rack& rack : m_racks)
        rack.advance(m_loop.now());
    checkAttempts();
    answerWaitingSyncs();
}

void WorkerService::handleSync(const Exchange& exchange, const std::string& rackId)
{
    const auto found = m_rackIndex.find(rackId);
    if (found == m_rackIndex.end()) {
        answerError(*exchange, 404, "no such rack");
        return;
    }
    Rack& rack = m_racks[found->second];
    const auto sync = clients::decodeSync(exchange->request().body, rack.id());
    if (!sync) {
        answerError(*exchange, 400, sync.error().detail);
        return;
    }
    if (rack.isSilent) {
        leaveUnanswered(exchange);
        return;
    }
    ++m_syncs;
    rack.advance(m_loop.now());
    if (!rack.beginSync(*sync, m_loop.now())) {
        answerError(*exchange, 409, "stale_token");
        return;
    }
    if (m_waiting.size() >= maxWaitingSyncs) {
        answerError(*exchange, 503, "too many waiting syncs");
        return;
    }
    m_waiting.push_back({ found->second, *sync, exchange, m_loop.now() + sync->wait });
    const net::HttpExchange* const raw = exchange.get();
    exchange->onClientGone([this, raw] {
        std::erase_if(m_waiting, [raw](const WaitingSync& item) { return item.exchange.get() == raw; });
    });
    answerWaitingSyncs();
}

void WorkerService::answerSync(const WaitingSync& waiting)
{
    const Rack& rack = m_racks[waiting.rack];
    if (waiting.sync.token && waiting.sync.token < rack.highestToken())
        answerError(*waiting.exchange, 409, "stale_token");
    else
        answerEncoded(*waiting.exchange, clients::encodeRackReport(rack.report(waiting.sync.since)));
}

void WorkerService::answerWaitingSyncs()
{
    const TimePoint now = m_loop.now();
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const Rack& rack = m_racks[waiting->rack];
        const bool isStale = waiting->sync.token && waiting->sync.token < rack.highestToken();
        const bool isDue = isStale || rack.hasUpdateSince(waiting->sync.since) || now >= waiting->answerBy;
        if (!isDue || rack.isSilent) {
            ++waiting;
            continue;
        }
        const WaitingSync due = std::move(*waiting);
        waiting = m_waiting.erase(waiting);
        answerSync(due);
    }
}

bool WorkerService::rejectIfUnavailable(const WorkerPosition& place, const Exchange& exchange)
{
    const Rack& rack = m_racks[place.rack];
    const WorkerCondition condition = rack.condition(place.worker);
    if (rack.isSilent || condition == WorkerCondition::Unreachable)
        leaveUnanswered(exchange);
    else if (condition == WorkerCondition::Dead)
        answerError(*exchange, 503, "the worker is dead");
    else
        return false;
    return true;
}

void WorkerService::handleCommand(const Exchange& exchange, const std::string& worker)
{
    const auto found = m_workerPositions.find(worker);
    if (found == m_workerPositions.end()) {
        answerError(*exchange, 404, "no such worker");
        return;
    }
    const auto command = clients::decodeCommand(exchange->request().body);
    if (!command) {
        answerError(*exchange, 400, command.error().detail);
        return;
    }
    if (rejectIfUnavailable(found->second, exchange))
        return;
    ++m_commands;
    Rack& rack = m_racks[found->second.rack];
    const WorkerCommandResult result = rack.command(found->second.worker, *command, m_loop.now());
    checkWorker(rack.worker(found->second.worker));
    answerEncoded(*exchange, clients::encodeCommandResult(result));
    answerWaitingSyncs();
}

void WorkerService::handleCall(const Exchange& exchange, const std::string& endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end()) {
        answerError(*exchange, 404, "no such endpoint");
        return;
    }
    const auto call = clients::decodeEndpointRequest(exchange->request(), EndpointId(endpoint));
    if (!call) {
        answerError(*exchange, 400, call.error().detail);
        return;
    }
    const auto place = m_workerPositions.find(endpoint.substr(endpoint.rfind('@') + 1));
    if (place != m_workerPositions.end() && rejectIfUnavailable(place->second, exchange))
        return;
    found->second->call(*call, exchange);
}

std::vector<EndpointHost*> WorkerService::endpointsOn(const std::string& worker) const
{
    std::vector<EndpointHost*> hosts;
    for (const auto& [id, host] : m_endpoints) {
        if (id.substr(id.rfind('@') + 1) == worker)
            hosts.push_back(host.get());
    }
    return hosts;
}

void WorkerService::addViolation(std::string violation)
{
    constexpr std::size_t maxViolations = 100;
    if (m_violations.size() < maxViolations)
        m_violations.insert(std::move(violation));
}

void WorkerService::checkWorker(const WorkerModel& worker)
{
    int held = 0;
    for (const auto& [key, task] : worker.tasks())
        held += task.accelerators;
    if (held > worker.accelerators())
        addViolation(fmt::format(
            "worker {} holds {} of {} accelerators", worker.id().value(), held, worker.accelerators()));
}

void WorkerService::checkAttempts()
{
    std::map<JobId, AttemptNumber> running;
    for (const Rack& rack : m_racks) {
        for (std::size_t i = 0; i < rack.size(); ++i) {
            for (const auto& [key, task] : rack.worker(i).tasks()) {
                if (task.phase != TaskPhase::Running)
                    continue;
                const auto [known, isNew] = running.emplace(task.job, task.attempt);
                if (!isNew && known->second != task.attempt)
                    addViolation(fmt::format("job {} runs in attempts {} and {} at once", task.job.value(),
                        std::min(known->second, task.attempt), std::max(known->second, task.attempt)));
            }
        }
    }
}

} // namespace anvilmoor::standin
