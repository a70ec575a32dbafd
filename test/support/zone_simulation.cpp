#include "support/zone_simulation.h"

#include <cppunit/TestAssert.h>

#include <utility>

namespace anvilmoor::test {

namespace {

constexpr std::size_t rackCount = 2;
constexpr std::size_t workersPerRack = 8;
constexpr int acceleratorsPerWorker = 8;
constexpr Milliseconds replyTimeout { 1'000 };
// A member is renewed for 10 s after a lost member was last seen, then holds a lease of 30 s, and one sync
// of 1 s may be in flight.
constexpr Milliseconds partialRunBound { 41'000 };

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

JobSpecification borrowedJob(const std::string& key, int accelerators, Milliseconds runTime)
{
    JobSpecification job;
    job.account = ClientAccountId("mill");
    job.key = key;
    job.zone = AvailabilityZoneId("enns");
    job.accelerators = accelerators;
    job.declaredRunTime = runTime;
    return job;
}

JobSpecification guaranteedJob(const std::string& key, int accelerators, Milliseconds runTime)
{
    JobSpecification job = borrowedJob(key, accelerators, runTime);
    job.jobClass = JobClass::Guaranteed;
    return job;
}

ZoneSimulation::ZoneSimulation(std::size_t daemonCount, std::uint64_t seed)
    : random(seed)
{
    AvailabilityZoneConfiguration zone;
    zone.id = AvailabilityZoneId("enns");
    for (std::size_t r = 0; r < rackCount; ++r) {
        RackConfiguration rack;
        rack.id = RackId("rack" + std::to_string(r));
        Rack simulated;
        simulated.id = rack.id;
        for (std::size_t w = 0; w < workersPerRack; ++w) {
            WorkerConfiguration worker;
            worker.id = WorkerId("worker" + std::to_string(10 + m_workers.size()));
            worker.rack = rack.id;
            worker.accelerators = acceleratorsPerWorker;
            simulated.workers.push_back(m_workers.size());
            m_workerIndex.emplace(worker.id, m_workers.size());
            m_workers.push_back(std::make_unique<standin::WorkerModel>(worker.id, acceleratorsPerWorker));
            rack.workers.push_back(std::move(worker));
        }
        m_racks.push_back(std::move(simulated));
        zone.racks.push_back(std::move(rack));
    }
    Configuration& declared = configuration.configuration;
    declared.version = 1;
    ClientAccountConfiguration account;
    account.id = ClientAccountId("mill");
    account.acceleratorQuota = 512;
    account.guarantees.push_back({ "plan", zone.id, 64, 1 });
    declared.accounts.push_back(std::move(account));
    declared.zones.push_back(std::move(zone));
    for (std::size_t i = 0; i < daemonCount; ++i) {
        auto daemon = std::make_unique<SimulatedDaemon>();
        daemon->settings.host = HostId("host" + std::to_string(i));
        daemon->settings.zone = AvailabilityZoneId("enns");
        for (std::size_t j = 0; j < daemonCount; ++j) {
            if (j != i)
                daemon->settings.peers.push_back(
                    { HostId("host" + std::to_string(j)), AvailabilityZoneId("enns") });
        }
        daemons.push_back(std::move(daemon));
    }
    for (std::size_t i = 0; i < daemonCount; ++i)
        start(i);
}

void ZoneSimulation::start(std::size_t index)
{
    SimulatedDaemon& daemon = *daemons[index];
    ++daemon.generation;
    daemon.settings.incarnation = random();
    daemon.waiting.clear();
    daemon.isPaused = false;
    daemon.scheduler.reset();
    daemon.role = std::make_unique<ZoneRole>(daemon.settings, daemon.peers);
    daemon.scheduler = std::make_unique<JobScheduler>(
        daemon.settings, configuration, *daemon.role, daemon.peers, endpoints, placement, noise);
    deliver(index, Started {});
}

void ZoneSimulation::kill(std::size_t index)
{
    SimulatedDaemon& daemon = *daemons[index];
    ++daemon.generation;
    daemon.waiting.clear();
    daemon.scheduler.reset();
    daemon.role.reset();
}

void ZoneSimulation::restart(std::size_t index)
{
    kill(index);
    start(index);
}

void ZoneSimulation::resume(std::size_t index)
{
    SimulatedDaemon& daemon = *daemons[index];
    daemon.isPaused = false;
    std::deque<EventPayload> waiting = std::exchange(daemon.waiting, {});
    for (EventPayload& payload : waiting)
        deliver(index, std::move(payload));
}

void ZoneSimulation::deliver(std::size_t index, EventPayload payload)
{
    SimulatedDaemon& daemon = *daemons[index];
    if (!daemon.role)
        return;
    if (daemon.isPaused) {
        if (!std::holds_alternative<Tick>(payload))
            daemon.waiting.push_back(std::move(payload));
        return;
    }
    Event event;
    event.now = now;
    event.wallTime = WallTime(now.time_since_epoch());
    event.random = random();
    std::vector<Effect> effects;
    Step step(event, effects);
    std::visit(Overloaded {
                   [&](const Started& started) {
                       daemon.role->handle(started, step);
                       daemon.scheduler->onConfigurationAdopted(step);
                   },
                   [&](const Tick& tick) {
                       daemon.role->handle(tick, step);
                       daemon.scheduler->handle(tick, step);
                   },
                   [&](const TableReplied& replied) {
                       if (replied.operation.module == ModuleId::Role)
                           daemon.role->handle(replied, step);
                       else
                           daemon.scheduler->handle(replied, step);
                   },
                   [&](const PeerMessageReceived& received) {
                       if (const JobNotice* notice = std::get_if<JobNotice>(&received.message))
                           daemon.scheduler->handle(*notice, step);
                   },
                   [&](const auto& other) {
                       if constexpr (requires { daemon.scheduler->handle(other, step); })
                           daemon.scheduler->handle(other, step);
                   },
               },
        payload);
    for (Effect& effect : effects)
        execute(index, std::move(effect));
}

void ZoneSimulation::at(TimePoint time, std::function<void()> action)
{
    m_due.emplace(std::pair(time, ++m_order), std::move(action));
}

void ZoneSimulation::deliverDue(TimePoint until)
{
    while (!m_due.empty() && m_due.begin()->first.first <= until) {
        auto node = m_due.extract(m_due.begin());
        now = std::max(now, node.key().first);
        node.mapped()();
    }
}

void ZoneSimulation::tick()
{
    const TimePoint next = now + tickInterval;
    deliverDue(next);
    now = next;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_workers[i]->advance(now))
            markChanged(i);
    }
    answerSyncs();
    for (std::size_t i = 0; i < daemons.size(); ++i)
        updatePeers(i);
    for (std::size_t i = 0; i < daemons.size(); ++i)
        deliver(i, Tick {});
    checkInvariants();
}

void ZoneSimulation::updatePeers(std::size_t index)
{
    std::vector<PeerStatus>& statuses = daemons[index]->peers.statuses;
    statuses.clear();
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        if (i == index)
            continue;
        PeerStatus status;
        status.host = daemons[i]->settings.host;
        status.zone = daemons[i]->settings.zone;
        status.isReachable = daemons[i]->role && !daemons[i]->isPaused;
        const std::optional<HeldRole> held = status.isReachable ? daemons[i]->role->held(now) : std::nullopt;
        status.heldToken = held ? held->token : 0;
        if (held)
            status.summary = daemons[i]->scheduler->summary();
        statuses.push_back(status);
    }
}

void ZoneSimulation::run(Milliseconds duration)
{
    for (const TimePoint end = now + duration; now < end;)
        tick();
}

bool ZoneSimulation::runUntil(const std::function<bool()>& isReached, Milliseconds limit)
{
    for (const TimePoint end = now + limit; now < end;) {
        if (isReached())
            return true;
        tick();
    }
    return isReached();
}

void ZoneSimulation::reply(std::size_t daemon, std::uint64_t generation, EventPayload payload, Fault fault)
{
    const auto send = [this, daemon, generation](Milliseconds after, EventPayload copy) {
        at(now + after, [this, daemon, generation, copy = std::move(copy)] {
            if (daemons[daemon]->generation == generation)
                deliver(daemon, copy);
        });
    };
    if (fault == Fault::Repeat)
        send(oneWayDelay() + oneWayDelay(), payload);
    send(oneWayDelay(), std::move(payload));
}

void ZoneSimulation::execute(std::size_t daemon, Effect effect)
{
    const std::uint64_t generation = daemons[daemon]->generation;
    std::visit(Overloaded {
                   [&](const ExecuteTransaction& write) { executeWrite(daemon, write); },
                   [&](const ReadTable& read) { executeRead(daemon, read); },
                   [&](const SendWorkerCommand& command) { executeCommand(daemon, command); },
                   [&](const SyncRack& sync) { executeSync(daemon, sync); },
                   [&](const PutObject& put) {
                       reply(daemon, generation, ObjectReplied { put.operation, !isObjectStoreDown, {} });
                   },
                   [&](const SendToPeer& sent) {
                       for (std::size_t i = 0; i < daemons.size(); ++i) {
                           if (daemons[i]->settings.host == sent.peer)
                               reply(i, daemons[i]->generation,
                                   PeerMessageReceived { daemons[daemon]->settings.host, sent.message });
                       }
                   },
                   [&](const AnswerOperator& answered) { m_answers.emplace(answered.caller, answered); },
                   [&](const RecordEvent& record) { records.push_back(record); },
                   [&](const auto&) {},
               },
        effect);
}

void ZoneSimulation::executeWrite(std::size_t daemon, const ExecuteTransaction& write)
{
    const std::uint64_t generation = daemons[daemon]->generation;
    if (isTableDown) {
        reply(daemon, generation, TableReplied { write.operation, { TableStatus::Unavailable, {} } });
        return;
    }
    const Fault fault = writeFault ? writeFault(daemon, write.transaction) : Fault::None;
    if (fault == Fault::None || fault == Fault::Repeat) {
        at(now + oneWayDelay(), [this, daemon, generation, fault, write] {
            reply(daemon, generation, TableReplied { write.operation, table.execute(write.transaction) },
                fault);
        });
        return;
    }
    // A lost request may also be a late one: the write takes effect after the daemon received Unknown.
    const Milliseconds late = fault == Fault::LoseReply ? oneWayDelay() : replyTimeout + Milliseconds(700);
    at(now + late, [this, write] { static_cast<void>(table.execute(write.transaction)); });
    at(now + replyTimeout, [this, daemon, generation, write] {
        reply(daemon, generation, TableReplied { write.operation, { TableStatus::Unknown, {} } });
    });
}

void ZoneSimulation::executeRead(std::size_t daemon, const ReadTable& read)
{
    const std::uint64_t generation = daemons[daemon]->generation;
    if (isTableDown) {
        reply(daemon, generation, TableReplied { read.operation, { TableStatus::Unavailable, {} } });
        return;
    }
    at(now + oneWayDelay(), [this, daemon, generation, read] {
        const TableReply result = table.read(read.read);
        rowsRead += static_cast<std::size_t>(std::count_if(result.rows.begin(), result.rows.end(),
            [](const TableRow& row) { return row.version && row.key.starts_with("job"); }));
        reply(daemon, generation, TableReplied { read.operation, result });
    });
}

void ZoneSimulation::executeCommand(std::size_t daemon, const SendWorkerCommand& sent)
{
    const std::uint64_t generation = daemons[daemon]->generation;
    commands.emplace_back(daemon, sent.command);
    const Fault fault = commandFault ? commandFault(daemon, sent.worker, sent.command) : Fault::None;
    const std::size_t index = m_workerIndex.at(sent.worker);
    const auto apply = [this, index, sent] {
        markChanged(index);
        return m_workers[index]->command(sent.command, now);
    };
    const WorkerReplied unreachable { sent.operation, sent.worker, WorkerCommandResult::Unreachable };
    const auto timeOut = [this, daemon, generation, unreachable] { reply(daemon, generation, unreachable); };
    if (fault == Fault::LoseRequest) {
        at(now + replyTimeout, timeOut);
        return;
    }
    at(now + oneWayDelay(), [this, daemon, generation, fault, sent, index, apply, timeOut] {
        if (m_workers[index]->isDead) {
            at(now + replyTimeout, timeOut);
            return;
        }
        const WorkerCommandResult result = apply();
        if (fault == Fault::Repeat)
            at(now + oneWayDelay(), [this, index, apply] {
                if (!m_workers[index]->isDead)
                    apply();
            });
        if (fault == Fault::LoseReply)
            at(now + replyTimeout, timeOut);
        else
            reply(daemon, generation, WorkerReplied { sent.operation, sent.worker, result }, fault);
    });
}

void ZoneSimulation::executeSync(std::size_t daemon, const SyncRack& sync)
{
    const std::uint64_t generation = daemons[daemon]->generation;
    const Fault fault = syncFault ? syncFault(daemon, sync) : Fault::None;
    if (fault == Fault::LoseRequest) {
        at(now + replyTimeout * 2, [this, daemon, generation, sync] {
            reply(daemon, generation, RackSyncFailed { sync.rack, false });
        });
        return;
    }
    at(now + oneWayDelay(), [this, daemon, generation, sync, fault] {
        receiveSync({ daemon, generation, sync, now + sync.wait, fault });
    });
}

void ZoneSimulation::receiveSync(WaitingSync waiting)
{
    for (Rack& rack : m_racks) {
        if (rack.id != waiting.sync.rack)
            continue;
        if (waiting.sync.token && waiting.sync.token < rack.highestToken) {
            reply(waiting.daemon, waiting.generation, RackSyncFailed { rack.id, true });
            return;
        }
        rack.highestToken = std::max(rack.highestToken, waiting.sync.token);
        for (const std::size_t index : rack.workers) {
            if (m_workers[index]->isDead)
                continue;
            m_workers[index]->acceptToken(waiting.sync.token);
            m_workers[index]->renew(waiting.sync.renewals, now);
        }
    }
    m_waitingSyncs.push_back(std::move(waiting));
    answerSyncs();
}

void ZoneSimulation::answerSyncs()
{
    std::vector<WaitingSync> stillWaiting;
    for (WaitingSync& waiting : m_waitingSyncs) {
        for (Rack& rack : m_racks) {
            if (rack.id != waiting.sync.rack)
                continue;
            const std::uint64_t since = waiting.sync.since;
            if (since && rack.sequence <= since && now < waiting.until) {
                stillWaiting.push_back(waiting);
                continue;
            }
            RackSynced synced { rack.id, waiting.sync.token, rack.sequence, since == 0, {} };
            for (const std::size_t index : rack.workers) {
                if (!since || rack.changedAt[index] > since)
                    synced.workers.push_back(m_workers[index]->report());
            }
            if (waiting.fault == Fault::LoseReply)
                reply(waiting.daemon, waiting.generation, RackSyncFailed { rack.id, false });
            else
                reply(waiting.daemon, waiting.generation, std::move(synced), waiting.fault);
        }
    }
    m_waitingSyncs = std::move(stillWaiting);
}

void ZoneSimulation::markChanged(std::size_t worker)
{
    Rack& rack = m_racks[worker / workersPerRack];
    rack.changedAt[worker] = ++rack.sequence;
}

void ZoneSimulation::checkInvariants()
{
    std::map<JobId, std::set<AttemptNumber>> runningAttempts;
    std::map<TaskKey, int> running;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        int held = 0;
        for (const auto& [key, task] : m_workers[i]->tasks()) {
            held += task.accelerators;
            if (task.phase != TaskPhase::Running)
                continue;
            runningAttempts[key.first].insert(key.second);
            running[key] += task.accelerators;
            m_memberSize[key][i] = task.accelerators;
        }
        if (held > m_workers[i]->accelerators())
            m_violation = "accelerators booked twice on " + m_workers[i]->id().value();
    }
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        // Members that have finished count as running.
        for (const TaskReport& task : m_workers[i]->report().tasks) {
            if (task.phase == TaskPhase::Finished && running.contains({ task.job, task.attempt }))
                running[{ task.job, task.attempt }] += m_memberSize[{ task.job, task.attempt }][i];
        }
    }
    for (const auto& [job, attempts] : runningAttempts) {
        if (attempts.size() > 1)
            m_violation = "two attempts of " + job.value() + " run at once";
    }
    std::map<TaskKey, TimePoint> partialSince;
    for (const auto& [key, accelerators] : running) {
        const std::optional<JobStatus> status = row(key.first);
        if (!status || accelerators >= status->specification.accelerators)
            continue;
        const auto before = m_partialSince.find(key);
        partialSince[key] = before == m_partialSince.end() ? now : before->second;
        if (now - partialSince[key] > partialRunBound)
            m_violation = "only a part of " + key.first.value() + " runs, for longer than the bound";
    }
    m_partialSince = std::move(partialSince);
}

CallerHandle ZoneSimulation::submit(std::size_t daemon, const JobSpecification& specification)
{
    deliver(daemon, JobSubmitted { ++m_lastCaller, specification });
    return m_lastCaller;
}

CallerHandle ZoneSimulation::cancel(std::size_t daemon, const JobId& job)
{
    deliver(daemon, JobCancelRequested { ++m_lastCaller, job });
    return m_lastCaller;
}

const AnswerOperator* ZoneSimulation::answer(CallerHandle caller) const
{
    const auto found = m_answers.find(caller);
    return found == m_answers.end() ? nullptr : &found->second;
}

JobStatus ZoneSimulation::job(CallerHandle caller) const
{
    const AnswerOperator* answered = answer(caller);
    CPPUNIT_ASSERT(answered);
    const JobsAnswer* jobs = std::get_if<JobsAnswer>(&answered->answer);
    CPPUNIT_ASSERT(jobs && jobs->jobs.size() == 1);
    return jobs->jobs.front();
}

std::optional<JobStatus> ZoneSimulation::row(const JobId& job) const
{
    auto found = table.rows().find(jobRowKey(job));
    if (found == table.rows().end())
        found = table.rows().find(jobDoneRowKey(job));
    if (found == table.rows().end())
        return std::nullopt;
    return decodeJob(found->second.value).value().status;
}

bool ZoneSimulation::isInState(const JobId& job, JobState state) const
{
    const std::optional<JobStatus> status = row(job);
    return status && status->state == state;
}

std::optional<std::size_t> ZoneSimulation::holder() const
{
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        if (daemons[i]->role && !daemons[i]->isPaused && daemons[i]->role->held(now))
            return i;
    }
    return std::nullopt;
}

standin::WorkerModel& ZoneSimulation::worker(std::size_t index) { return *m_workers.at(index); }

void ZoneSimulation::restartWorker(std::size_t index)
{
    m_workers.at(index)->restart();
    markChanged(index);
}

void ZoneSimulation::setDead(std::size_t index, bool isDead)
{
    m_workers.at(index)->isDead = isDead;
    markChanged(index);
}

int ZoneSimulation::runningAccelerators(const JobId& job) const
{
    int sum = 0;
    for (const auto& worker : m_workers) {
        for (const auto& [key, task] : worker->tasks())
            sum += key.first == job && task.phase == TaskPhase::Running ? task.accelerators : 0;
    }
    return sum;
}

std::size_t ZoneSimulation::countRecords(const std::string& name) const
{
    return static_cast<std::size_t>(std::count_if(
        records.begin(), records.end(), [&](const RecordEvent& record) { return record.name == name; }));
}

} // namespace anvilmoor::test
