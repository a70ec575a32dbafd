#include "batch/daemon/batch_daemon.h"

#include "batch/store/tables.h"

#include <algorithm>
#include <ctime>
#include <string_view>
#include <utility>
#include <variant>

namespace anvilmoor::batch {

namespace {

// Less urgent queues share a time series.
constexpr int highestPriorityLabel = 9;
// Confirms the configuration every 0.6 s and reports changes at once.
constexpr FollowTiming configurationTiming { Milliseconds(600), Milliseconds(0) };
// The leader rewrites its lease row with every commit. A candidate only needs to see that the lease is still
// renewed, not every single write: the row contains the store time at which it was sent, which gives its age.
constexpr FollowTiming leaseTiming { Milliseconds(600), Milliseconds(600) };
constexpr FollowTiming jobTiming { Milliseconds(1'000), Milliseconds(0) };
// Each worker updates its entry every 1.5 s. The pause between requests lets one answer contain many updates.
constexpr FollowTiming workerTiming { Milliseconds(1'000), Milliseconds(400) };

std::string nameOf(CallerAction action)
{
    switch (action) {
    case CallerAction::Submit:
        return "submit";
    case CallerAction::Query:
        return "query";
    case CallerAction::Cancel:
        return "cancel";
    }
    return "other";
}

// Numbers of tasks that are placed together, in bands, to bound the number of time series.
std::string_view sizeBandOf(int tasks)
{
    if (tasks == 1)
        return "1";
    if (tasks < 8)
        return "2-7";
    return tasks < 32 ? "8-31" : "32 or more";
}

WallTime wallTime() { return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now()); }

} // namespace

TimePoint BatchDaemon::now()
{
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return TimePoint(std::chrono::duration_cast<Milliseconds>(
        std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec)));
}

BatchDaemon::BatchDaemon(net::EventLoop& loop, RowStore& store, WorkerGateway& workers,
    const RecordReader& records, telemetry::EventLog& log, telemetry::MetricsRegistry& metrics,
    BatchSettings settings)
    : m_store(store)
    , m_records(records)
    , m_log(log)
    , m_metrics(metrics)
    , m_loop(loop)
    , m_reducer(std::move(settings))
    , m_workers(workers, m_reducer, now, loop, log)
    , m_random(std::random_device {}())
    , m_tickTimer(loop)
{
    m_tickTimer.startRepeating(tickInterval, [this] { onTick(); });
    followConfiguration();
    followLease();
}

BatchDaemon::~BatchDaemon() { *m_isAlive = false; }

void BatchDaemon::followConfiguration()
{
    m_configurationFollower = std::make_unique<TableFollower>(m_loop, m_store, m_records.configurationTable(),
        std::vector<std::string> { {} }, configurationTiming, now,
        [this](const TableFollower::Update& update) { onConfigurationUpdate(update); });
}

void BatchDaemon::followLease()
{
    const RowKey lease = leaseKey();
    m_leaseFollower = std::make_unique<TableFollower>(m_loop, m_store, lease.table,
        std::vector<std::string> { lease.part }, leaseTiming, now, [this](TableFollower::Update update) {
            dispatch(RowsUpdated { SchedulerTable::Lease, update.isComplete, std::move(update.rows),
                update.knownAt, update.answeredAt });
        });
}

void BatchDaemon::onConfigurationUpdate(const TableFollower::Update& update)
{
    ConfigurationUpdated event { {}, update.knownAt };
    for (const Row& row : update.rows) {
        if (row.isDeleted || !m_records.isConfiguration(row))
            continue;
        auto configuration = m_records.configuration(row);
        if (configuration)
            event.versions.push_back(std::move(*configuration));
        else
            m_log.log(telemetry::LogLevel::Error, "configuration.unreadable",
                { { "reason", configuration.error() } });
    }
    dispatch(std::move(event));
}

void BatchDaemon::onWorkerUpdate(const TableFollower::Update& update)
{
    WorkersUpdated event { update.isComplete, {}, {}, update.knownAt };
    event.isAfterFailure = update.isAfterFailure;
    for (const Row& row : update.rows) {
        if (row.isDeleted) {
            event.removed.emplace_back(row.key.key);
            continue;
        }
        auto worker = m_records.worker(row);
        if (worker) {
            event.changed.push_back(std::move(*worker));
            continue;
        }
        event.unreadable.emplace_back(row.key.key);
        m_log.log(telemetry::LogLevel::Warning, "worker.unreadable_entry",
            { { "worker", row.key.key }, { "reason", worker.error() } });
    }
    dispatch(std::move(event));
}

CallerHandle BatchDaemon::request(CallerRequest request, Answer answer)
{
    request.caller = ++m_lastCaller;
    const CallerHandle caller = request.caller;
    m_callers.emplace(caller, Caller { std::move(answer), request.action, now() });
    dispatch(std::move(request));
    return caller;
}

void BatchDaemon::callerGone(CallerHandle caller)
{
    if (m_callers.erase(caller))
        dispatch(CallerGone { caller });
}

void BatchDaemon::shutdown() { dispatch(ShutdownRequested {}); }

bool BatchDaemon::isReady() const { return m_reducer.isReady(now()); }

void BatchDaemon::onStopped(std::function<void()> callback) { m_onStopped = std::move(callback); }

void BatchDaemon::onTick()
{
    const auto change = m_lateness.timerFired(now());
    m_metrics.latency("anvilmoor_loop_lateness_seconds", "Delay of a timer that fires every 20 ms")
        .record(m_lateness.lateness());
    if (change) {
        const telemetry::LogLevel level
            = change->isLate ? telemetry::LogLevel::Warning : telemetry::LogLevel::Info;
        m_log.log(level, change->isLate ? "daemon.late" : "daemon.on_time",
            { { change->isLate ? "lateness_ms" : "largest_lateness_ms",
                  std::to_string(change->lateness.count()) },
                { "leads", m_reducer.isLeader() ? "yes" : "no" } });
    }
    dispatch(Tick {});
}

void BatchDaemon::dispatch(EventPayload payload)
{
    const Event event { now(), wallTime(), m_random(), std::move(payload) };
    for (Effect& effect : m_reducer.handle(event))
        carryOut(effect);
}

void BatchDaemon::carryOut(Effect& effect)
{
    std::visit([this](auto& each) { carryOut(each); }, effect);
}

void BatchDaemon::carryOut(StartRun& order)
{
    m_workers.start(order, [this, isAlive = m_isAlive](StartAnswered answer) {
        if (*isAlive)
            dispatch(std::move(answer));
    });
}

void BatchDaemon::carryOut(StopRun& order)
{
    m_workers.stop(order, [this, isAlive = m_isAlive](StopAnswered answer) {
        if (*isAlive)
            dispatch(std::move(answer));
    });
}

void BatchDaemon::carryOut(HoldWorker& order)
{
    m_workers.hold(order, [this, isAlive = m_isAlive](HoldAnswered answer) {
        if (*isAlive)
            dispatch(std::move(answer));
    });
}

void BatchDaemon::carryOut(Commit& commit)
{
    m_store.commit(std::move(commit.transaction),
        [this, isAlive = m_isAlive, operation = commit.operation](CommitReply reply) {
            if (*isAlive)
                dispatch(CommitAnswered { operation, std::move(reply) });
        });
}

void BatchDaemon::carryOut(ReadRows& read)
{
    m_store.read(std::move(read.from), std::move(read.until),
        [this, isAlive = m_isAlive, operation = read.operation](TableSnapshot snapshot) {
            if (*isAlive)
                dispatch(ReadAnswered { operation, { snapshot.isOk, std::move(snapshot.rows) } });
        });
}

void BatchDaemon::carryOut(FollowLeaderTables& follow)
{
    // This may run inside a follower's callback, so the followers are destroyed from the loop, after the
    // callback has returned.
    m_loop.post([old = std::shared_ptr<TableFollower>(std::move(m_jobFollower))] {});
    m_loop.post([old = std::shared_ptr<TableFollower>(std::move(m_workerFollower))] {});
    if (!follow.isFollowing)
        return;
    std::vector<std::string> parts;
    parts.reserve(jobParts);
    for (int part = 0; part < jobParts; ++part)
        parts.push_back(jobPartName(part));
    m_jobFollower = std::make_unique<TableFollower>(m_loop, m_store, std::string(jobTable), std::move(parts),
        jobTiming, now, [this](TableFollower::Update update) {
            dispatch(RowsUpdated {
                SchedulerTable::Jobs, update.isComplete, std::move(update.rows), update.knownAt });
        });
    m_workerFollower = std::make_unique<TableFollower>(m_loop, m_store, m_records.workerTable(),
        std::vector<std::string> { {} }, workerTiming, now,
        [this](const TableFollower::Update& update) { onWorkerUpdate(update); });
}

void BatchDaemon::carryOut(RequestPlacementTurn&)
{
    m_loop.post([this, isAlive = m_isAlive] {
        if (!*isAlive)
            return;
        const TimePoint begin = now();
        dispatch(PlacementTurn { m_lastTurnDuration });
        m_lastTurnDuration = now() - begin;
    });
}

void BatchDaemon::carryOut(AnswerCaller& answer)
{
    const auto found = m_callers.find(answer.caller);
    if (found == m_callers.end())
        return;
    const Caller caller = std::move(found->second);
    m_callers.erase(found);
    const telemetry::Labels labels { { "action", nameOf(caller.action) } };
    m_metrics.latency("anvilmoor_request_seconds", "Time to the answer", labels).record(now() - caller.since);
    caller.answer(answer);
}

void BatchDaemon::carryOut(StopDaemon&)
{
    if (m_onStopped)
        m_loop.post(m_onStopped);
}

void BatchDaemon::carryOut(RecordWait& wait)
{
    const telemetry::Labels labels { { "priority",
                                         std::to_string(std::min(wait.priority, highestPriorityLabel)) },
        { "tasks", std::string(sizeBandOf(wait.tasks)) } };
    m_metrics
        .latency("anvilmoor_job_wait_seconds",
            "Time until the first placement, by priority and by tasks that are placed together", labels)
        .record(wait.wait);
}

void BatchDaemon::carryOut(RecordEvent& event)
{
    m_metrics.counter("anvilmoor_events_total", "Events by name", { { "event", event.name } }).add();
    m_metrics.gauge("anvilmoor_leader", "1 on the daemon that holds the lease")
        .set(m_reducer.isLeader() ? 1 : 0);
    const bool isWarning = event.level == RecordLevel::Warning;
    m_log.log(isWarning ? telemetry::LogLevel::Warning : telemetry::LogLevel::Info, event.name, event.fields);
}

} // namespace anvilmoor::batch
