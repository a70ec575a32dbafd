#include "support/test_cluster.h"

#include "configuration/configuration_document.h"
#include "support/test_cluster_parts.h"
#include "support/test_document.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace anvilmoor::test {

TestCluster::TestCluster(TestClusterOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    if (m_options.document.empty())
        m_options.document = testDocument();
    auto configuration = readConfigurationText(m_options.document);
    if (!configuration)
        throw std::invalid_argument(configuration.error().front().text());
    m_configuration = std::move(*configuration);
    buildZones();

    const nlohmann::json row { { "version", 1U }, { "nonce", "initial" },
        { "document", nlohmann::json::parse(m_options.document) } };
    m_table.execute({ {},
        { { "config/current", row.dump() }, { "config/version", "1" },
            { "config/history/1", m_options.document } } });
    for (const HostId& host : m_hostIds)
        start(host);
    schedule(Milliseconds(0), [this] { sendHostLists(); });
}

TestCluster::~TestCluster() = default;

void TestCluster::buildZones()
{
    for (const AvailabilityZoneConfiguration& zone : m_configuration.zones) {
        for (int index = 0; index < m_options.hostsPerZone; ++index) {
            const HostId id(fmt::format("{}-entry-{}", zone.id.value(), index));
            m_hostIds.push_back(id);
            auto host = std::make_unique<Host>();
            host->settings.host = id;
            host->settings.zone = zone.id;
            m_hosts.emplace(id, std::move(host));
        }
        for (const RackConfiguration& rack : zone.racks) {
            auto entry = std::make_unique<Rack>();
            entry->zone = zone.id.value();
            for (const WorkerConfiguration& worker : rack.workers) {
                entry->workers.push_back(worker.id);
                m_workers.emplace(
                    worker.id, std::make_unique<standin::WorkerModel>(worker.id, worker.accelerators));
                m_workerZones.emplace(worker.id, zone.id.value());
                m_hostStates.emplace(worker.id, HostState::Live);
                for (const ServiceConfiguration& service : m_configuration.services) {
                    const EndpointId id = endpointId(service.id, worker.id);
                    m_endpoints.emplace(
                        id, std::make_unique<standin::EndpointModel>(id, service.slotsPerEndpoint));
                }
            }
            m_racks.emplace(rack.id, std::move(entry));
        }
    }
    for (auto& [id, host] : m_hosts) {
        for (const HostId& peer : m_hostIds) {
            if (peer != id)
                host->settings.peers.push_back({ peer, m_hosts.at(peer)->settings.zone });
        }
    }
}

void TestCluster::schedule(Milliseconds delay, std::function<void()> action)
{
    m_queue.emplace(std::pair { m_now + delay, ++m_lastSequence }, std::move(action));
}

void TestCluster::runFor(Milliseconds duration)
{
    runUntil([] { return false; }, duration);
}

bool TestCluster::runUntil(const std::function<bool()>& isDone, Milliseconds limit)
{
    const TimePoint end = m_now + limit;
    while (!m_queue.empty() && m_queue.begin()->first.first <= end) {
        auto node = m_queue.extract(m_queue.begin());
        m_now = node.key().first;
        node.mapped()();
        check();
        if (isDone())
            return true;
    }
    m_now = end;
    return isDone();
}

// --- daemons

std::vector<HostId> TestCluster::hostsOf(const std::string& zone) const
{
    std::vector<HostId> result;
    for (const HostId& host : m_hostIds) {
        if (m_hosts.at(host)->settings.zone.value() == zone)
            result.push_back(host);
    }
    return result;
}

bool TestCluster::isAlive(const HostId& host) const { return m_hosts.at(host)->reducer != nullptr; }

Reducer& TestCluster::reducer(const HostId& host) { return *m_hosts.at(host)->reducer; }

std::optional<HostId> TestCluster::holderOf(const std::string& zone)
{
    for (const HostId& host : hostsOf(zone)) {
        if (isAlive(host) && reducer(host).role().held(m_now))
            return host;
    }
    return {};
}

bool TestCluster::hasStopped(const HostId& host) const { return m_hosts.at(host)->hasStopped; }

void TestCluster::kill(const HostId& id)
{
    Host& host = *m_hosts.at(id);
    host.reducer.reset();
    host.isPaused = false;
    host.inbox.clear();
    for (auto& [handle, record] : m_callers)
        record.isLost |= record.host == id && record.answers.empty();
    for (auto& [handle, record] : m_operatorCalls)
        record.isLost |= record.host == id && record.answers.empty();
    for (const HostId& peer : m_hostIds) {
        if (peer != id && isAlive(peer))
            deliver(peer, m_hosts.at(peer)->settings.incarnation, PeerLost { id });
    }
}

void TestCluster::start(const HostId& id)
{
    Host& host = *m_hosts.at(id);
    if (host.reducer)
        kill(id);
    host.settings.incarnation = m_random() | 1U;
    host.reducer = std::make_unique<Reducer>(host.settings, m_options.policies());
    host.isReady = false;
    host.hasStopped = false;
    deliver(id, host.settings.incarnation, Started {});
    const std::uint64_t incarnation = host.settings.incarnation;
    schedule(
        Milliseconds(m_random() % tickInterval.count()), [this, id, incarnation] { tick(id, incarnation); });
}

void TestCluster::pause(const HostId& id) { m_hosts.at(id)->isPaused = true; }

void TestCluster::resume(const HostId& id)
{
    Host& host = *m_hosts.at(id);
    host.isPaused = false;
    std::deque<EventPayload> inbox = std::move(host.inbox);
    host.inbox.clear();
    for (EventPayload& payload : inbox) {
        if (host.reducer)
            apply(host, std::move(payload));
    }
}

void TestCluster::shutDown(const HostId& id)
{
    deliver(id, m_hosts.at(id)->settings.incarnation, ShutdownRequested {});
}

void TestCluster::tick(const HostId& id, std::uint64_t incarnation)
{
    Host& host = *m_hosts.at(id);
    if (!host.reducer || host.settings.incarnation != incarnation)
        return;
    // Ticks during a pause are dropped, not queued: a resumed process does not receive all missed ticks at
    // once.
    if (!host.isPaused)
        deliver(id, incarnation, Tick {});
    schedule(tickInterval, [this, id, incarnation] { tick(id, incarnation); });
}

void TestCluster::deliver(const HostId& id, std::uint64_t incarnation, EventPayload payload)
{
    Host& host = *m_hosts.at(id);
    if (!host.reducer || host.settings.incarnation != incarnation)
        return;
    if (host.isPaused) {
        host.inbox.push_back(std::move(payload));
        return;
    }
    apply(host, std::move(payload));
}

void TestCluster::apply(Host& host, EventPayload payload)
{
    constexpr std::int64_t wallClockAtStart = 1'700'000'000'000;
    Event event;
    event.now = m_now;
    event.wallTime = WallTime(Milliseconds(wallClockAtStart) + m_now.time_since_epoch());
    event.localTime = localTime();
    event.random = m_random();
    event.payload = std::move(payload);

    std::vector<Effect> effects;
    host.reducer->apply(event, effects);
    checkConfiguration(host);
    const std::uint64_t incarnation = host.settings.incarnation;
    for (Effect& effect : effects) {
        // A fault injected at an earlier effect may have killed the daemon.
        if (!host.reducer || host.settings.incarnation != incarnation)
            return;
        execute(host, std::move(effect));
    }
}

SecondOfWeek TestCluster::localTime() const
{
    const auto seconds = std::chrono::floor<Seconds>(m_now.time_since_epoch()).count();
    return static_cast<SecondOfWeek>((m_options.localTimeAtStart + seconds) % secondsPerWeek);
}

// --- callers

CallerHandle TestCluster::request(const HostId& host, const std::string& account, const std::string& key,
    const std::string& operation, const std::string& body, Milliseconds deadline, bool isAlone)
{
    RequestReceived event;
    event.caller = ++m_lastCaller;
    event.identity = { ClientAccountId(account), key };
    event.callerName = "caller";
    event.service = m_configuration.services.front().id;
    event.operation = operation;
    event.issuedAt = WallTime(Milliseconds(1'700'000'000'000) + m_now.time_since_epoch());
    event.deadline = deadline;
    event.body = body;
    event.isFirstCopy = isAlone
        && std::none_of(m_callers.begin(), m_callers.end(),
            [&event](const auto& earlier) { return earlier.second.identity == event.identity; });
    CallerRecord record { host, event.identity, operation, body, {}, !isAlive(host) };
    m_callers.emplace(event.caller, std::move(record));
    const CallerHandle handle = event.caller;
    deliver(host, m_hosts.at(host)->settings.incarnation, std::move(event));
    return handle;
}

const CallerRecord& TestCluster::caller(CallerHandle handle) const { return m_callers.at(handle); }

template <typename Call> CallerHandle TestCluster::callOperator(const HostId& host, Call call)
{
    call.caller = ++m_lastCaller;
    const CallerHandle handle = call.caller;
    m_operatorCalls.emplace(handle, OperatorRecord { host, {}, !isAlive(host) });
    deliver(host, m_hosts.at(host)->settings.incarnation, std::move(call));
    return handle;
}

CallerHandle TestCluster::submitJob(const HostId& host, JobSpecification specification)
{
    return callOperator(host, JobSubmitted { 0, std::move(specification) });
}

CallerHandle TestCluster::cancelJob(const HostId& host, const JobId& job)
{
    return callOperator(host, JobCancelRequested { 0, job });
}

CallerHandle TestCluster::queryJob(const HostId& host, const JobId& job)
{
    return callOperator(host, JobQueried { 0, job });
}

CallerHandle TestCluster::submitConfiguration(
    const HostId& host, std::string document, ConfigurationVersion expected)
{
    return callOperator(host, ConfigurationSubmitted { 0, std::move(document), expected });
}

CallerHandle TestCluster::drain(const HostId& host, const EndpointId& endpoint)
{
    const CallerHandle handle = m_lastCaller + 1;
    m_drainCalls.emplace(handle, endpoint);
    return callOperator(host, DrainRequested { 0, endpoint, true });
}

const OperatorRecord& TestCluster::operatorCall(CallerHandle handle) const
{
    return m_operatorCalls.at(handle);
}

std::optional<JobStatus> TestCluster::jobOf(CallerHandle handle) const
{
    for (const auto& answer : operatorCall(handle).answers) {
        const auto* jobs = std::get_if<JobsAnswer>(&answer);
        if (jobs && !jobs->jobs.empty())
            return jobs->jobs.front();
    }
    return {};
}

std::optional<std::string> TestCluster::jobRow(const JobId& job) const
{
    const std::string zone = job.value().substr(0, job.value().find('.'));
    auto row = m_table.rows().find(fmt::format("job/{}/{}", zone, job.value()));
    if (row == m_table.rows().end())
        row = m_table.rows().find(fmt::format("jobdone/{}/{}", zone, job.value()));
    if (row == m_table.rows().end())
        return {};
    return row->second.value;
}

// --- faults

standin::WorkerModel& TestCluster::worker(const WorkerId& id) { return *m_workers.at(id); }

void TestCluster::restartWorker(const WorkerId& id)
{
    m_workers.at(id)->restart();
    ++m_restarts[id];
}

std::vector<WorkerId> TestCluster::workersOf(const std::string& zone) const
{
    std::vector<WorkerId> result;
    for (const auto& [worker, workerZone] : m_workerZones) {
        if (workerZone == zone)
            result.push_back(worker);
    }
    return result;
}

standin::EndpointModel& TestCluster::endpoint(const EndpointId& id) { return *m_endpoints.at(id); }

void TestCluster::setHostState(const WorkerId& worker, std::optional<HostState> state)
{
    m_hostStates.at(worker) = state;
}

bool TestCluster::hasRun(const JobId& job) const
{
    const auto found = m_started.lower_bound({ job, 0 });
    return found != m_started.end() && found->first == job;
}

std::vector<std::pair<WorkerId, TaskReport>> TestCluster::heldTasks() const
{
    std::vector<std::pair<WorkerId, TaskReport>> result;
    for (const auto& [id, worker] : m_workers) {
        for (const TaskReport& task : worker->report().tasks) {
            if (task.accelerators && !worker->isDead)
                result.emplace_back(id, task);
        }
    }
    return result;
}

std::vector<CallerHandle> TestCluster::unansweredCallers() const
{
    std::vector<CallerHandle> result;
    for (const auto& [handle, record] : m_callers) {
        if (record.answers.empty() && !record.isLost)
            result.push_back(handle);
    }
    for (const auto& [handle, record] : m_operatorCalls) {
        if (record.answers.empty() && !record.isLost)
            result.push_back(handle);
    }
    return result;
}

std::vector<std::string> TestCluster::recentEvents(std::size_t count) const
{
    const std::size_t skipped = m_events.size() - std::min(count, m_events.size());
    return { m_events.begin() + static_cast<std::ptrdiff_t>(skipped), m_events.end() };
}

std::size_t TestCluster::countEvents(const std::string& name) const
{
    const auto found = m_eventCounts.find(name);
    return found == m_eventCounts.end() ? 0 : found->second;
}

TimePoint TestCluster::lastCallOf(const EndpointId& id) const
{
    const auto found = m_lastCalls.find(id);
    return found == m_lastCalls.end() ? TimePoint {} : found->second;
}

} // namespace anvilmoor::test
