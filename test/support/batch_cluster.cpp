#include "support/batch_cluster.h"

#include "batch/jobs/job_codec.h"
#include "batch/jobs/progress_codec.h"
#include "batch/store/tables.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace anvilmoor::testing {

namespace {

using namespace batch;

constexpr Milliseconds storeDelay { 8 };
constexpr Milliseconds orderDelay { 4 };
constexpr Milliseconds orderTimeout { 600 };
constexpr Milliseconds commitTimeout { 700 };
constexpr Milliseconds followInterval { 50 };
constexpr Milliseconds advanceInterval { 10 };
constexpr Milliseconds registryInterval { 1'500 };
constexpr Milliseconds registryExpiry = 3 * registryInterval;

EventPayload withOutcome(EventPayload answer, OrderOutcome outcome)
{
    std::visit(
        [outcome](auto& each) {
            if constexpr (requires { each.outcome = outcome; })
                each.outcome = outcome;
        },
        answer);
    return answer;
}

std::string nameOf(const RunId& run)
{
    return fmt::format("{}.{}.{}.{} run {}", run.task.job.value(), run.task.occurrence, run.task.step,
        run.task.index, run.run);
}

} // namespace

BatchCluster::BatchCluster(int daemons, std::uint64_t seed)
    : m_random(seed)
    , m_configuration(defaultConfiguration())
{
    m_daemons.resize(static_cast<std::size_t>(daemons));
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
        start(i);
}

Configuration BatchCluster::defaultConfiguration()
{
    Configuration configuration;
    configuration.version = 1;
    const std::vector<std::string> queues { "urgent", "gang", "small" };
    for (std::size_t i = 0; i < queues.size(); ++i)
        configuration.queues.push_back({ queues[i], "plan.example", "/" + queues[i] + "/",
            ServiceId("planner"), static_cast<int>(i), 2, 3.0, Milliseconds(1'000) });
    configuration.accounts.push_back({ ClientAccountId("account-a"), { "key-a" }, 16 });
    configuration.accounts.push_back({ ClientAccountId("account-b"), { "key-b" }, 8 });
    return configuration;
}

void BatchCluster::at(TimePoint when, std::function<void()> action)
{
    m_schedule.push({ when, ++m_lastOrder, std::move(action) });
}

void BatchCluster::run(Milliseconds duration)
{
    const TimePoint end = m_now + duration;
    TimePoint nextAdvance = m_now;
    while (m_now < end) {
        const bool hasAction = !m_schedule.empty() && m_schedule.top().at <= nextAdvance;
        m_now = std::min(end, hasAction ? std::max(m_now, m_schedule.top().at) : nextAdvance);
        if (hasAction && m_schedule.top().at <= m_now) {
            const auto action = m_schedule.top().action;
            m_schedule.pop();
            action();
            continue;
        }
        if (m_now >= nextAdvance) {
            for (const auto& worker : m_workers)
                worker->advance();
            nextAdvance = m_now + advanceInterval;
        }
    }
}

bool BatchCluster::runUntil(const std::function<bool()>& condition, Milliseconds limit)
{
    const TimePoint end = m_now + limit;
    while (m_now < end) {
        if (condition())
            return true;
        run(advanceInterval);
    }
    return condition();
}

void BatchCluster::addWorkers(int racks, int perRack)
{
    for (int rack = 0; rack < racks; ++rack) {
        for (int index = 0; index < perRack; ++index) {
            WorkerRecord record;
            record.lifetime = { WorkerId(fmt::format("w{}-{}", rack, index)), 1 };
            record.address = fmt::format("10.0.{}.{}:80", rack, index);
            record.service = ServiceId("planner");
            record.zone = AvailabilityZoneId("north");
            record.capacity = { 128'000, 256'000, 8 };
            record.kind = "a";
            record.rack = RackId(fmt::format("r{}", rack));
            auto worker = std::make_unique<FakeWorker>(std::move(record), [this] { return m_now; });
            worker->durationOf = [this](const TaskId& task) {
                const auto set = m_durations.find(task.job);
                const StepSpecification& step
                    = m_jobs.at(task.job).steps[static_cast<std::size_t>(task.step)];
                return set == m_durations.end() ? step.estimatedDuration : set->second;
            };
            worker->resourcesOf = [this](const TaskId& task) {
                return m_jobs.at(task.job).steps[static_cast<std::size_t>(task.step)].perTask;
            };
            worker->isGangComplete = [this](const RunId& run) {
                const StepSpecification& step
                    = m_jobs.at(run.task.job).steps[static_cast<std::size_t>(run.task.step)];
                if (!step.isGang)
                    return true;
                int present = 0;
                for (const auto& other : m_workers) {
                    for (const auto& [task, each] : other->runs())
                        present += task.job == run.task.job && task.step == run.task.step
                                && each.id.run == run.run
                            ? 1
                            : 0;
                }
                const auto done = m_done.find({ run.task.job, run.task.occurrence, run.task.step, -1 });
                return present == step.taskCount || (done != m_done.end() && done->second == run.run);
            };
            worker->onStart = [this](const StartRun& order) { recordStart(order); };
            worker->onAcknowledged = [this](const EndedRun& ended, bool hasLeaseExpired) {
                recordAcknowledgement(ended, hasLeaseExpired);
            };
            worker->randomShare = [this] { return randomShare(); };
            worker->onEnd = [this, id = worker->record.lifetime.id](
                                const RunId& run, RunEnd how) { recordEnd(id, run, how); };
            m_workers.push_back(std::move(worker));
        }
    }
}

void BatchCluster::slowDownFarRuns(double factor)
{
    for (const auto& worker : m_workers)
        worker->slowdownOf = [this, factor](const RunId& run) { return isFar(run) ? factor : 1; };
}

bool BatchCluster::isFar(const RunId& run) const
{
    const StepSpecification& step = m_jobs.at(run.task.job).steps[static_cast<std::size_t>(run.task.step)];
    std::set<std::string> racks;
    for (const auto& worker : m_workers) {
        for (const auto& [task, each] : worker->runs()) {
            const bool isSameGang
                = task.job == run.task.job && task.step == run.task.step && each.id.run == run.run;
            if (each.id == run || (step.needsOneRack && isSameGang))
                racks.insert(worker->record.rack.value());
        }
    }
    return racks.size() > 1 || (!step.dataRack.empty() && !racks.contains(step.dataRack));
}

void BatchCluster::setConfiguration(Configuration configuration)
{
    m_configuration = std::move(configuration);
}

FakeWorker* BatchCluster::findAnyLifetime(const WorkerId& id)
{
    for (const auto& worker : m_workers) {
        if (worker->record.lifetime.id == id)
            return worker.get();
    }
    return nullptr;
}

void BatchCluster::addViolation(const std::string& what)
{
    m_violations.push_back(fmt::format("at {} ms: {}", m_now.time_since_epoch().count(), what));
}

void BatchCluster::recordStart(const StartRun& order)
{
    const TaskId& task = order.run.task;
    ++m_starts[task.job];
    m_firstStarts.try_emplace(task.job, m_now);
    int running = 0;
    for (const auto& worker : m_workers)
        running += worker->runs().contains(task) ? 1 : 0;
    if (running > 1)
        addViolation(nameOf(order.run) + " starts while another run of its task is running");
    const auto& [started, isFirst] = m_startedOn.emplace(order.run, order.worker.id);
    if (!isFirst && started->second != order.worker.id)
        addViolation(nameOf(order.run) + " starts, but another worker has started a run with its number");
    if (m_acknowledgedDone.contains(task))
        addViolation(nameOf(order.run) + " starts after its task was done");
    else if (const auto done = m_done.find(task); done != m_done.end())
        m_doneBeforeStart.insert({ task, done->second });
    if (m_doneOnLeaving.contains(task))
        addViolation(nameOf(order.run) + " starts after its task was done on a worker that drained");
    if (m_refused.contains(task.job))
        addViolation(nameOf(order.run) + " starts though its job was refused");
    const JobSpecification& job = m_jobs.at(task.job);
    for (const int earlier : job.steps[static_cast<std::size_t>(task.step)].dependsOn) {
        for (int index = 0; index < job.steps[static_cast<std::size_t>(earlier)].taskCount; ++index) {
            if (!m_done.contains({ task.job, task.occurrence, earlier, index }))
                addViolation(nameOf(order.run) + " starts before the steps that it depends on");
        }
    }
}

void BatchCluster::recordEnd(const WorkerId& worker, const RunId& run, RunEnd how)
{
    if (how != RunEnd::Done)
        return;
    const auto noteDone = [&](const TaskId& task) {
        m_done[task] = run.run;
        if (m_leaving.contains(worker))
            m_doneOnLeaving.insert(task);
    };
    noteDone(run.task);
    const StepSpecification& step = m_jobs.at(run.task.job).steps[static_cast<std::size_t>(run.task.step)];
    if (!step.isGang)
        return;
    // One member that is done ends the whole gang as done.
    noteDone({ run.task.job, run.task.occurrence, run.task.step, -1 });
    for (int index = 0; index < step.taskCount; ++index)
        noteDone({ run.task.job, run.task.occurrence, run.task.step, index });
}

void BatchCluster::recordAcknowledgement(const EndedRun& ended, bool hasLeaseExpired)
{
    if (ended.end != RunEnd::Done || hasLeaseExpired)
        return;
    m_acknowledgedDone.insert(ended.run.task);
    if (m_doneBeforeStart.contains(ended.run))
        addViolation(
            nameOf(ended.run) + " was acknowledged as done although its task was started again after it");
}

int BatchCluster::startsOf(const JobId& job) const
{
    const auto found = m_starts.find(job);
    return found == m_starts.end() ? 0 : found->second;
}

std::optional<TimePoint> BatchCluster::firstStart(const JobId& job) const
{
    const auto found = m_firstStarts.find(job);
    return found == m_firstStarts.end() ? std::nullopt : std::optional(found->second);
}

// --- daemons

void BatchCluster::start(std::size_t index)
{
    Daemon& daemon = m_daemons[index];
    BatchSettings settings;
    settings.daemonName = { fmt::format("daemon-{}", index), std::to_string(m_lastJob + 1) };
    settings.claimDelay = Milliseconds(static_cast<std::int64_t>(index) * 40);
    settings.workerLeases = workerLeases;
    daemon = {};
    daemon.lifetime = ++m_lastJob;
    daemon.reducer = std::make_unique<BatchReducer>(std::move(settings));
    tick(index, daemon.lifetime);
    at(m_now + Milliseconds(1),
        [this, index, lifetime = daemon.lifetime] { followRepeatedly(index, lifetime); });
}

bool BatchCluster::isLifetime(std::size_t index, int lifetime) const
{
    return m_daemons[index].lifetime == lifetime && m_daemons[index].reducer;
}

void BatchCluster::tick(std::size_t index, int lifetime)
{
    if (!isLifetime(index, lifetime))
        return;
    if (m_now >= m_daemons[index].frozenUntil)
        dispatch(index, Tick {});
    at(m_now + tickInterval, [this, index, lifetime] { tick(index, lifetime); });
}

void BatchCluster::followRepeatedly(std::size_t index, int lifetime)
{
    if (!isLifetime(index, lifetime))
        return;
    follow(index);
    at(m_now + followInterval, [this, index, lifetime] { followRepeatedly(index, lifetime); });
}

void BatchCluster::kill(std::size_t daemon)
{
    m_daemons[daemon].reducer.reset();
    ++m_daemons[daemon].lifetime;
}

void BatchCluster::restart(std::size_t daemon) { start(daemon); }

void BatchCluster::terminate(std::size_t daemon) { dispatch(daemon, ShutdownRequested {}); }

std::optional<std::size_t> BatchCluster::leader() const
{
    for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        if (m_daemons[i].reducer && m_daemons[i].reducer->isLeader())
            return i;
    }
    return std::nullopt;
}

bool BatchCluster::canReachStore(std::size_t daemon) const
{
    return !isStoreDown && !cutFromStore.contains(daemon);
}

void BatchCluster::drainAndLeave(std::size_t index, Milliseconds remaining)
{
    // The time that is announced begins when the store has accepted the announcement.
    if (isStoreDown) {
        at(m_now + followInterval, [this, index, remaining] { drainAndLeave(index, remaining); });
        return;
    }
    const WorkerId id = m_workers[index]->record.lifetime.id;
    m_workers[index]->drain(remaining);
    if (!m_registry.empty())
        m_registry[index] = { m_workers[index]->record, ++m_registryVersion, m_now };
    m_leaving.insert(id);
    at(m_now + remaining, [this, index, id] {
        for (const auto& [task, run] : m_workers[index]->runs())
            addViolation(nameOf(run.id) + " is cut off as its worker leaves at the announced time");
        m_workers[index]->leave();
        unlist(id);
        if (!m_registry.empty())
            removeWorker(index);
    });
}

void BatchCluster::setEntryReadable(const WorkerId& id, bool isReadable)
{
    if (isReadable)
        m_unreadable.erase(id);
    else
        m_unreadable.insert(id);
}

void BatchCluster::follow(std::size_t index)
{
    if (!canReachStore(index))
        return;
    Daemon& daemon = m_daemons[index];
    const int lifetime = daemon.lifetime;
    deliver(index, lifetime, storeDelay, ConfigurationUpdated { { m_configuration }, m_now });
    RowKey start = leaseKey();
    start.key.clear();
    RowsUpdated lease { SchedulerTable::Lease, !daemon.isLeaseListed, {}, m_now, storeClock() };
    lease.rows
        = daemon.isLeaseListed ? m_store.changes(start.table, daemon.leaseSeen) : m_store.read(start, {});
    daemon.leaseSeen = m_store.version();
    daemon.isLeaseListed = true;
    deliver(index, lifetime, storeDelay, std::move(lease));
    if (!daemon.isFollowing)
        return;
    start.table = std::string(jobTable);
    RowsUpdated jobs { SchedulerTable::Jobs, !daemon.areJobsListed, {}, m_now };
    if (daemon.areJobsListed)
        jobs.rows = m_store.changes(start.table, daemon.jobsSeen);
    for (int part = 0; part < jobParts && !daemon.areJobsListed; ++part) {
        start.part = jobPartName(part);
        for (Row& row : m_store.read(start, {}))
            jobs.rows.push_back(std::move(row));
    }
    if (!areJobsSilent) {
        daemon.jobsSeen = m_store.version();
        daemon.areJobsListed = true;
        deliver(index, lifetime, storeDelay, std::move(jobs));
    }
    if (!m_registry.empty()) {
        if (m_now >= daemon.registryAt)
            followRegistry(index);
        return;
    }
    if (isRegistrySilent)
        return;
    WorkersUpdated workers { !daemon.areWorkersListed, {}, {}, m_now };
    for (const auto& worker : m_workers) {
        const WorkerId& id = worker->record.lifetime.id;
        if (m_unreadable.contains(id))
            workers.unreadable.push_back(id);
        else if (!m_unlisted.contains(id))
            workers.changed.push_back(worker->record);
        else if (daemon.areWorkersListed)
            workers.removed.push_back(worker->record.lifetime.id);
    }
    daemon.areWorkersListed = true;
    deliver(index, lifetime, storeDelay + registryDelay, std::move(workers));
}

void BatchCluster::updateRegistry(
    bool isComplete, std::vector<WorkerRecord> changed, std::vector<WorkerId> removed, bool isAfterFailure)
{
    const WorkersUpdated update { isComplete, std::move(changed), std::move(removed), m_now, {},
        isAfterFailure };
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
        deliver(i, m_daemons[i].lifetime, storeDelay, update);
}

void BatchCluster::deliver(std::size_t daemon, int lifetime, Milliseconds delay, EventPayload payload)
{
    at(m_now + delay, [this, daemon, lifetime, payload = std::move(payload)] {
        if (m_daemons[daemon].lifetime == lifetime && m_daemons[daemon].reducer)
            dispatch(daemon, payload);
    });
}

void BatchCluster::dispatch(std::size_t daemon, EventPayload payload)
{
    if (m_now < m_daemons[daemon].frozenUntil) {
        deliver(
            daemon, m_daemons[daemon].lifetime, m_daemons[daemon].frozenUntil - m_now, std::move(payload));
        return;
    }
    const Event event { m_now, wallTime(), m_random(), std::move(payload) };
    std::vector<Effect> effects = m_daemons[daemon].reducer->handle(event);
    requirePermission(daemon, effects);
    if (!effects.empty() && randomShare() < disturbances.stepFreezeShare) {
        const Milliseconds frozenFor = randomTime(50, 4'000);
        freeze(daemon, frozenFor);
        at(m_now + frozenFor,
            [this, daemon, lifetime = m_daemons[daemon].lifetime, effects = std::move(effects)]() mutable {
                if (isLifetime(daemon, lifetime))
                    carryOut(daemon, effects);
            });
        return;
    }
    carryOut(daemon, effects);
}

void BatchCluster::requirePermission(std::size_t daemon, const std::vector<Effect>& effects)
{
    if (m_now < m_daemons[daemon].mayActUntil)
        return;
    const std::set<std::string> judgements { "run.ended", "run.rejected", "run.unexpected",
        "run.start_timeout", "worker.lifetime_over", "worker.runs_lost", "worker.silent", "job.ended",
        "job.cancelled" };
    for (const Effect& effect : effects) {
        const auto* event = std::get_if<RecordEvent>(&effect);
        if (event && judgements.contains(event->name))
            addViolation(fmt::format("daemon {} records {} without permission to act", daemon, event->name));
        if (std::holds_alternative<StartRun>(effect) || std::holds_alternative<StopRun>(effect)
            || std::holds_alternative<HoldWorker>(effect))
            addViolation(fmt::format("daemon {} sends an order without permission to act", daemon));
    }
}

void BatchCluster::carryOut(std::size_t daemon, std::vector<Effect>& effects)
{
    for (Effect& effect : effects) {
        if (std::holds_alternative<StopDaemon>(effect)) {
            kill(daemon);
            return;
        }
        execute(daemon, effect);
    }
}

void BatchCluster::execute(std::size_t daemon, Effect& effect)
{
    const int lifetime = m_daemons[daemon].lifetime;
    if (const auto* start = std::get_if<StartRun>(&effect)) {
        order(
            daemon, start->worker,
            [order = *start](FakeWorker* worker) -> EventPayload { return worker->start(order); },
            StartAnswered { start->worker, start->token, start->run });
    } else if (const auto* stop = std::get_if<StopRun>(&effect)) {
        order(
            daemon, stop->worker,
            [order = *stop](FakeWorker* worker) -> EventPayload { return worker->stop(order); },
            StopAnswered { stop->worker, stop->token, stop->run });
    } else if (const auto* holdOrder = std::get_if<HoldWorker>(&effect)) {
        hold(daemon, *holdOrder);
    } else if (const auto* write = std::get_if<Commit>(&effect)) {
        commit(daemon, *write);
    } else if (const auto* readRows = std::get_if<ReadRows>(&effect)) {
        const bool isOk = canReachStore(daemon) && !cannotRead.contains(daemon);
        ReadAnswered answer { readRows->operation, { isOk, {} } };
        if (isOk)
            answer.reply.rows = m_store.read(readRows->from, readRows->until);
        deliver(daemon, lifetime, storeDelay, std::move(answer));
    } else if (const auto* follow = std::get_if<FollowLeaderTables>(&effect)) {
        m_daemons[daemon].isFollowing = follow->isFollowing;
        m_daemons[daemon].areJobsListed = false;
        m_daemons[daemon].areWorkersListed = false;
        m_daemons[daemon].registryAt = m_now;
        ++m_daemons[daemon].registryReads;
    } else if (std::holds_alternative<RequestPlacementTurn>(effect)) {
        deliver(daemon, lifetime, Milliseconds(0), PlacementTurn {});
    } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
        const JobId job = m_callers[answer->caller];
        m_lastAnswer = Answer { answer->kind, answer->state, answer->count, m_now };
        m_answers[job] = *m_lastAnswer;
        if (answer->kind == AnswerKind::NotAccepted && !startsOf(job))
            m_refused.insert(job);
        else if (answer->kind == AnswerKind::Accepted)
            m_refused.erase(job);
    }
}

CommitReply BatchCluster::perform(std::size_t daemon, int lifetime, const Commit& write, TimePoint sentAt)
{
    CommitReply reply = m_store.commit(write.transaction);
    if (reply.outcome != CommitOutcome::Applied || !isLifetime(daemon, lifetime))
        return reply;
    for (const Row& row : write.transaction.writes) {
        if (row.key != leaseKey())
            continue;
        const bool isRelease = batch::decodeLease(row.value).value().holder.empty();
        TimePoint& mayActUntil = m_daemons[daemon].mayActUntil;
        mayActUntil = isRelease ? m_now : std::max(mayActUntil, sentAt + batch::leaseDuration);
    }
    return reply;
}

void BatchCluster::commit(std::size_t daemon, const Commit& write)
{
    const int lifetime = m_daemons[daemon].lifetime;
    if (!canReachStore(daemon)) {
        deliver(daemon, lifetime, commitTimeout, CommitAnswered { write.operation });
        return;
    }
    const bool isLate = randomShare() < disturbances.lateCommitShare;
    if (isLate) {
        at(m_now + randomTime(1'000, 6'000),
            [this, daemon, lifetime, write, sentAt = m_now] { perform(daemon, lifetime, write, sentAt); });
        deliver(daemon, lifetime, commitTimeout, CommitAnswered { write.operation });
        return;
    }
    at(m_now + storeDelay / 2 + commitDelay, [this, daemon, lifetime, write, sentAt = m_now] {
        if (randomShare() < disturbances.freezeShare && isLifetime(daemon, lifetime))
            freeze(daemon, randomTime(50, 4'000));
        CommitReply reply = perform(daemon, lifetime, write, sentAt);
        reply.answeredAt = storeClock();
        const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < lostCommitReplyShare;
        if (isLost)
            deliver(daemon, lifetime, commitTimeout, CommitAnswered { write.operation });
        else
            deliver(daemon, lifetime, storeDelay / 2, CommitAnswered { write.operation, reply });
    });
}

void BatchCluster::answer(const std::shared_ptr<Call>& call, const EventPayload& payload)
{
    if (call->isAnswered)
        return;
    call->isAnswered = true;
    deliver(call->daemon, call->lifetime, Milliseconds(0), payload);
}

std::shared_ptr<BatchCluster::Call> BatchCluster::call(std::size_t daemon, const WorkerLifetime& target,
    const EventPayload& unanswered, Milliseconds timeout, double lateShare,
    const std::function<void(const std::shared_ptr<Call>&)>& execute)
{
    auto call = std::make_shared<Call>();
    call->daemon = daemon;
    call->lifetime = m_daemons[daemon].lifetime;
    call->target = target;
    call->isLate = randomShare() < lateShare;
    call->isAnswerLost = call->isLate || randomShare() < disturbances.lostAnswerShare;
    call->answerDelay = orderDelay;
    Milliseconds delay = orderDelay;
    if (call->isLate) {
        delay = randomTime(2'000, 12'000);
    } else if (randomShare() < disturbances.slowAnswerShare) {
        const Milliseconds total
            = randomTime(static_cast<int>(2 * orderDelay.count()), static_cast<int>(timeout.count()));
        delay = randomTime(static_cast<int>(orderDelay.count()), static_cast<int>(total.count()));
        call->answerDelay = total - delay;
    }
    const bool isCut = cutFromWorkers.contains(daemon);
    at(m_now + timeout, [this, call, unanswered] { answer(call, unanswered); });
    if (isCut)
        return call;
    at(m_now + delay, [this, call, execute, unanswered] {
        const FakeWorker* worker = findAnyLifetime(call->target.id);
        if (worker && worker->refusesConnections) {
            answer(call, withOutcome(unanswered, OrderOutcome::NotSent));
            return;
        }
        Link* link = linkOf(call->daemon, call->target.id);
        if (link && link->cut == LinkCut::HeldBack)
            link->heldBack.emplace_back([call, execute] { execute(call); });
        else
            execute(call);
    });
    return call;
}

BatchCluster::Link* BatchCluster::linkOf(std::size_t daemon, const WorkerId& id)
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_workers[i]->record.lifetime.id != id)
            continue;
        const auto found = m_links.find({ daemon, i });
        return found == m_links.end() ? nullptr : &found->second;
    }
    return nullptr;
}

FakeWorker* BatchCluster::recipient(const Call& call)
{
    FakeWorker* worker = findAnyLifetime(call.target.id);
    const Link* link = linkOf(call.daemon, call.target.id);
    if (!worker || !worker->isReachable || (link && link->cut == LinkCut::Silent))
        return nullptr;
    return worker;
}

void BatchCluster::order(std::size_t daemon, const WorkerLifetime& target,
    const std::function<EventPayload(FakeWorker*)>& executeAt, const EventPayload& unanswered)
{
    call(daemon, target, unanswered, orderTimeout, lateOrderShare,
        [this, executeAt](const std::shared_ptr<Call>& call) {
            FakeWorker* worker = recipient(*call);
            if (!worker)
                return;
            const EventPayload payload = executeAt(worker);
            at(m_now + call->answerDelay, [this, call, payload] {
                const Link* link = linkOf(call->daemon, call->target.id);
                if (!call->isAnswerLost && !(link && link->cut))
                    answer(call, payload);
            });
        });
}

void BatchCluster::hold(std::size_t daemon, const HoldWorker& holdOrder)
{
    call(daemon, holdOrder.worker, HoldAnswered { holdOrder.worker, holdOrder.token },
        holdOrder.wait + orderTimeout, disturbances.lateHoldShare,
        [this, holdOrder](const std::shared_ptr<Call>& call) {
            FakeWorker* worker = recipient(*call);
            if (!worker)
                return;
            worker->hold(holdOrder);
            call->executedBy = worker->record.lifetime.startedAtMs;
            pollHold(call, holdOrder, m_now + holdOrder.wait);
        });
}

// Long poll: answers at once if the worker has ended runs to report, otherwise at `answerBy`.
void BatchCluster::pollHold(
    const std::shared_ptr<Call>& call, const HoldWorker& holdOrder, TimePoint answerBy)
{
    const FakeWorker* worker = recipient(*call);
    const bool isSameLifetime = worker && worker->record.lifetime.startedAtMs == call->executedBy;
    if (!isSameLifetime || call->isAnswerLost)
        return;
    const HoldAnswered payload = worker->status(holdOrder);
    if (payload.outcome == OrderOutcome::Accepted && payload.status.ended.empty() && m_now < answerBy) {
        at(m_now + advanceInterval,
            [this, call, holdOrder, answerBy] { pollHold(call, holdOrder, answerBy); });
        return;
    }
    at(m_now + call->answerDelay, [this, call, payload] {
        const Link* link = linkOf(call->daemon, call->target.id);
        const bool hasLeft = m_leaving.contains(call->target.id) && !recipient(*call);
        if (!(link && link->cut) && !hasLeft)
            answer(call, payload);
    });
}

void BatchCluster::healLinks()
{
    std::map<std::pair<std::size_t, std::size_t>, Link> healed;
    healed.swap(m_links);
    for (const auto& [ends, link] : healed) {
        for (const auto& execute : link.heldBack)
            execute();
    }
}

void BatchCluster::freeze(std::size_t daemon, Milliseconds duration)
{
    m_daemons[daemon].frozenUntil = std::max(m_daemons[daemon].frozenUntil, m_now + duration);
}

// --- registry

void BatchCluster::keepRegistryRows()
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        m_registry.push_back({ m_workers[i]->record, ++m_registryVersion, m_now });
        at(m_now + randomTime(0, static_cast<int>(registryInterval.count())), [this, i] { renewEntry(i); });
    }
    dropRegistryHistory();
}

void BatchCluster::dropRegistryHistory()
{
    for (Daemon& daemon : m_daemons)
        daemon.areWorkersListed = false;
}

void BatchCluster::renewEntry(std::size_t worker)
{
    at(m_now + registryInterval, [this, worker] { renewEntry(worker); });
    if (m_workers[worker]->isCutFromStore || isStoreDown)
        return;
    m_registry[worker] = { m_workers[worker]->record, ++m_registryVersion, m_now };
}

void BatchCluster::removeWorker(std::size_t worker)
{
    m_workers[worker]->leave();
    m_workers[worker]->isCutFromStore = true;
    m_registry[worker].isListed = false;
    m_registry[worker].version = ++m_registryVersion;
}

void BatchCluster::expireEntries()
{
    for (RegistryEntry& entry : m_registry) {
        if (!entry.isListed || m_now < entry.renewedAt + registryExpiry)
            continue;
        entry.isListed = false;
        entry.version = ++m_registryVersion;
    }
}

void BatchCluster::followRegistry(std::size_t index)
{
    Daemon& daemon = m_daemons[index];
    expireEntries();
    WorkersUpdated workers { !daemon.areWorkersListed, {}, {}, m_now };
    for (const RegistryEntry& entry : m_registry) {
        if (daemon.areWorkersListed && entry.version <= daemon.registrySeen)
            continue;
        if (entry.isListed)
            workers.changed.push_back(entry.record);
        else if (daemon.areWorkersListed)
            workers.removed.push_back(entry.record.lifetime.id);
    }
    daemon.registrySeen = m_registryVersion;
    daemon.areWorkersListed = true;
    // Answers take up to 0.8 s, and one request follows the other.
    daemon.registryAt = m_now + randomTime(static_cast<int>(storeDelay.count()), 800);
    at(daemon.registryAt,
        [this, index, lifetime = daemon.lifetime, reads = daemon.registryReads,
            workers = std::move(workers)] {
            if (isLifetime(index, lifetime) && m_daemons[index].registryReads == reads)
                dispatch(index, workers);
        });
}

// --- callers

void BatchCluster::request(std::size_t daemon, CallerAction action, const std::string& queue,
    const JobId& job, JobSpecification specification, const std::string& key)
{
    CallerRequest request;
    request.caller = ++m_lastCaller;
    request.action = action;
    request.host = "plan.example";
    request.path = "/" + queue + "/" + job.value();
    request.apiKey = key;
    request.timeout = Milliseconds(3'000);
    request.specification = std::move(specification);
    m_callers[request.caller] = job;
    m_lastAnswer.reset();
    dispatch(daemon, std::move(request));
}

WallTime BatchCluster::wallTime() const
{
    return WallTime(Milliseconds(1'700'000'000'000) + m_now.time_since_epoch());
}

JobId BatchCluster::submit(std::size_t daemon, const std::string& queue, std::vector<StepSpecification> steps,
    const std::string& key)
{
    return submitScheduled(daemon, queue, std::move(steps), {}, key);
}

JobId BatchCluster::submitScheduled(std::size_t daemon, const std::string& queue,
    std::vector<StepSpecification> steps, Schedule schedule, const std::string& key)
{
    const JobId job(fmt::format("{:016x}", ++m_lastJob));
    JobSpecification specification { job, "payload", std::move(steps), schedule };
    m_jobs[job] = specification;
    request(daemon, CallerAction::Submit, queue, job, std::move(specification), key);
    return job;
}

void BatchCluster::submitAgain(
    std::size_t daemon, const std::string& queue, const JobId& job, const std::string& key)
{
    request(daemon, CallerAction::Submit, queue, job, m_jobs.at(job), key);
}

void BatchCluster::cancel(std::size_t daemon, const std::string& queue, const JobId& job)
{
    request(daemon, CallerAction::Cancel, queue, job, {}, "key-a");
}

void BatchCluster::query(std::size_t daemon, const std::string& queue, const JobId& job)
{
    request(daemon, CallerAction::Query, queue, job, {}, "key-a");
}

void BatchCluster::count(std::size_t daemon, const std::string& queue)
{
    request(daemon, CallerAction::Query, queue, JobId(), {}, "key-a");
}

std::optional<BatchCluster::Answer> BatchCluster::answerTo(const JobId& job) const
{
    const auto found = m_answers.find(job);
    return found == m_answers.end() ? std::nullopt : std::optional(found->second);
}

void BatchCluster::corruptProgress(const JobId& job)
{
    m_store.commit({ {}, { { progressKey(job), "no row" } }, {} });
}

void BatchCluster::corruptLease() { m_store.commit({ {}, { { leaseKey(), "no row" } }, {} }); }

JobState BatchCluster::stateOf(const JobId& job) const
{
    const RowKey key = progressKey(job);
    const std::vector<Row> rows = m_store.read(key, key.key + '!');
    return rows.empty() ? JobState::Pending : decodeJobState(rows.front().value).value();
}

StepSpecification makeStep(int tasks, int accelerators, Milliseconds duration)
{
    StepSpecification step;
    step.taskCount = tasks;
    step.perTask = { 1'000, 1'000, accelerators };
    step.estimatedDuration = duration;
    return step;
}

StepSpecification makeGang(int tasks, int accelerators, bool needsOneRack, Milliseconds duration)
{
    StepSpecification step = makeStep(tasks, accelerators, duration);
    step.isGang = true;
    step.needsOneRack = needsOneRack;
    return step;
}

} // namespace anvilmoor::testing
