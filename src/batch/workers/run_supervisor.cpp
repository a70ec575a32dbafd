#include "batch/workers/run_supervisor.h"

#include "batch/workers/fencing_token.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>

namespace anvilmoor::batch {

namespace {

// A worker's clock runs up to 2% slow. The remaining margin and the slack cover the transit time of an order.
constexpr double minClockRate = 0.97;
constexpr Milliseconds leaseSlack { 300 };

// Lease of a draining worker. It is short because such a worker may leave at any time, and the loss of its
// runs is noticed only when the lease expires.
constexpr Milliseconds drainingLease { 2'500 };

// How long a worker delays its answer to a hold request while no run ends. Shorter waits renew leases more
// often, so that runs survive a longer network partition. In a large fleet, the wait is longer, so that the
// leader does not spend most of its CPU time on these requests.
constexpr Milliseconds minHoldWait { 500 };
constexpr std::int64_t maxHoldsPerSecond = 500;
// A lease is renewed at least this often before it would expire.
constexpr int minRenewalsPerLease = 6;
// Replaces holdWait() while a stop is in progress, so that the freed capacity becomes known at once, and a
// run that vanished without a reported end is detected soon after.
constexpr Milliseconds stopWait { 120 };
// Pause between hold requests while run ends are not stored yet: they cannot be acknowledged, so the worker
// would answer at once with the same ends.
constexpr Milliseconds storeWait { 200 };
constexpr Milliseconds holdRetryDelay { 100 };
// After this many consecutive unanswered hold requests, the worker's lease is not extended: the worker may
// be gone.
constexpr int unansweredUntilLost = 3;
constexpr Milliseconds lostHoldInterval { 400 };
// A worker without runs is asked for its clock at this interval: the estimate may lag by 4% of the time since
// the last answer, and the lease of the next run is that much shorter.
constexpr Milliseconds idleHoldInterval { 30'000 };
// All workers are looked at this often, whatever the agenda says.
constexpr Milliseconds fullLookInterval { 5'000 };

// An order without an answer is carried out at most this much later.
constexpr Milliseconds maxOrderDelay { 12'000 };

// Whether a later lifetime of the worker may have received the start order, or may still receive it: orders
// name the worker, but not its lifetime.
bool mayStartInNextLifetime(const LiveRun& run)
{
    return run.phase != RunPhase::AwaitingCommit && (run.mayStartLate || !run.wasListed);
}

Milliseconds inRealTime(Milliseconds onWorkerClock)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(onWorkerClock.count()) / minClockRate))
        + leaseSlack;
}

std::string_view nameOf(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lease expired";
    case RunEnd::GangBroken:
        return "gang broken";
    case RunEnd::GangIncomplete:
        return "gang incomplete";
    }
    return "unknown";
}

// Whether the worker only has to be asked for its clock. A worker that has not answered its last hold request
// gets no runs, so it is asked until it answers.
bool isIdle(const Worker& worker)
{
    const bool hasUnacknowledgedEnds = worker.storedEnd > worker.acknowledgedEnd;
    return worker.runs.empty() && worker.isConfirmed && !worker.unansweredHolds && !hasUnacknowledgedEnds;
}

RunProgress progressOf(const JobProgress& job, int step)
{
    const StepSpecification& specification = job.specificationOf(step);
    return { specification.estimatedDuration, specification.isGang };
}

void recordJobEnd(const AcceptedJob& job, JobState state, Step& step)
{
    const WallTime due = job.dueAt(job.occurrenceCount() - 1);
    step.record("job.ended",
        { { "job", job.specification.id.value() },
            { "state", state == JobState::Completed ? "completed" : "failed" },
            { "priority", std::to_string(job.terms.priority) },
            { "took_ms", std::to_string((step.wallTime - due).count()) },
            { "objective_ms", std::to_string(job.objective().count()) } });
}

} // namespace

RunSupervisor::RunSupervisor(WorkerPool& workers, JobBook& jobs, WorkerLeaseSettings settings)
    : m_workers(workers)
    , m_jobs(jobs)
    , m_settings(settings)
{
}

void RunSupervisor::begin(std::uint64_t epoch, TimePoint earlierLeadersActUntil)
{
    m_epoch = epoch;
    m_earlierLeadersActUntil = earlierLeadersActUntil;
    m_registryKnownAt.reset();
    m_agenda.clear();
    m_haveEndsToStore.clear();
    m_allLookedAt = {};
    for (auto& [lifetime, worker] : m_workers.all()) {
        worker.dueAt = TimePoint::max();
        extendLease(worker, m_settings.maxLease, earlierLeadersActUntil);
    }
}

void RunSupervisor::adopt(
    const JobProgress& job, const RunId& run, const WorkerLifetime& lifetime, TimePoint now)
{
    Worker& worker = m_workers.require(lifetime);
    extendLease(worker, m_settings.maxLease, std::max(now, m_earlierLeadersActUntil));
    LiveRun live { run, job.specificationOf(run.task.step).countedPerTask(), job.job().terms.priority };
    live.phase = isTerminal(job.state()) ? RunPhase::Stopping : RunPhase::Running;
    live.assignedAt = now;
    live.acceptedAt = now;
    live.progress = progressOf(job, run.task.step);
    m_workers.attach(worker, std::move(live));
    lookAt(worker);
}

void RunSupervisor::attach(const JobProgress& job, const PlacementUnit& unit,
    std::span<const WorkerLifetime> workers, std::uint64_t change, TimePoint now)
{
    for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
        const RunId run { { unit.job, unit.occurrence, unit.step, unit.tasks[i] }, unit.run };
        LiveRun live { run, job.specificationOf(unit.step).countedPerTask(), job.job().terms.priority };
        live.assignedChange = change;
        live.assignedAt = now;
        live.progress = progressOf(job, unit.step);
        Worker& worker = m_workers.require(workers[i]);
        // The last lease of an idle worker may have expired, which must not end the new run.
        extendLease(worker, leaseFor(worker), now);
        if (!worker.health.isTrusted())
            worker.health.trialStarted();
        m_workers.attach(worker, std::move(live));
        lookAt(worker);
    }
}

void RunSupervisor::progressStored(const JobId& job, std::uint64_t change, Step& step)
{
    const JobBook::Entry* entry = m_jobs.find(job);
    if (!entry)
        return;
    for (const RunId& run : entry->progress.assignedRuns()) {
        const TaskProgress* task = entry->progress.find(run.task);
        Worker* worker = m_workers.find(task->assignment->worker);
        LiveRun* live = worker ? findRun(*worker, run) : nullptr;
        if (!live || live->phase != RunPhase::AwaitingCommit || live->assignedChange > change)
            continue;
        // tick() sends the order.
        live->phase = RunPhase::Starting;
        live->assignedAt = step.now;
        live->orderedAt = {};
        lookAt(*worker);
    }
}

void RunSupervisor::changesStored()
{
    std::erase_if(m_haveEndsToStore, [this](const WorkerLifetime& lifetime) {
        Worker* worker = m_workers.find(lifetime);
        if (worker)
            advanceStoredEnd(*worker);
        return !worker || worker->pendingEnds.empty();
    });
}

void RunSupervisor::advanceStoredEnd(Worker& worker)
{
    while (!worker.pendingEnds.empty()) {
        const PendingEnd& end = worker.pendingEnds.front();
        const JobBook::Entry* entry = m_jobs.find(end.job);
        if (entry && entry->storedChange < end.change)
            return;
        worker.storedEnd = end.sequence;
        worker.nextHoldAt = std::min(worker.nextHoldAt, worker.holdSentAt);
        lookAt(worker);
        worker.pendingEnds.pop_front();
    }
}

void RunSupervisor::workersUpdated(const WorkersUpdated& update, Step& step)
{
    std::vector<WorkerId> gone = update.removed;
    if (update.isComplete) {
        std::unordered_set<WorkerId> present(update.unreadable.begin(), update.unreadable.end());
        for (const WorkerRecord& record : update.changed)
            present.insert(record.lifetime.id);
        for (const WorkerId& id : m_workers.listedIds()) {
            if (!present.contains(id))
                gone.push_back(id);
        }
    }
    for (const WorkerId& id : gone)
        workerGone(id, step);
    // A complete read tells neither when its entries have changed nor when those of the next update have.
    const auto changedAfter = update.isComplete ? std::nullopt : m_registryKnownAt;
    // Which lifetime is alive is known only from its answer to a hold request.
    for (const WorkerRecord& record : update.changed) {
        if (m_workers.update(record, step.now, changedAfter))
            lookAt(*m_workers.find(record.lifetime));
    }
    m_registryKnownAt = update.isComplete ? std::nullopt : std::optional(update.knownAt);
    m_hasCapacityChanged = true;
}

LiveRun* RunSupervisor::findRun(Worker& worker, const RunId& run)
{
    const auto found = worker.runs.find(run.task);
    return found != worker.runs.end() && found->second.id.run == run.run ? &found->second : nullptr;
}

// Returns null for answers to orders of an earlier leadership, which are ignored.
Worker* RunSupervisor::addressee(const WorkerLifetime& lifetime, std::uint64_t token)
{
    Worker* worker = token == fencingTokenOf(m_epoch, lifetime) ? m_workers.find(lifetime) : nullptr;
    if (worker)
        lookAt(*worker);
    return worker;
}

std::uint64_t RunSupervisor::tokenOf(const Worker& worker) const
{
    return fencingTokenOf(m_epoch, worker.record.lifetime);
}

Milliseconds RunSupervisor::leaseFor(const Worker& worker) const
{
    return worker.record.isDraining ? std::min(drainingLease, m_settings.maxLease) : m_settings.maxLease;
}

void RunSupervisor::extendLease(Worker& worker, Milliseconds lease, TimePoint now)
{
    worker.latestLeaseExpiry = std::max(worker.latestLeaseExpiry, now + inRealTime(lease));
}

void RunSupervisor::tick(Step& step)
{
    if (step.now >= m_allLookedAt + fullLookInterval) {
        m_allLookedAt = step.now;
        for (auto& [lifetime, worker] : m_workers.all())
            lookAt(worker);
    }
    for (const WorkerLifetime& lifetime : m_agenda.takeDue(step.now, m_workers)) {
        // The worker may have been forgotten during this tick.
        if (Worker* worker = m_workers.find(lifetime))
            tickWorker(*worker, step);
    }
}

void RunSupervisor::tickWorker(Worker& worker, Step& step)
{
    if (!worker.record.address.empty()) {
        for (auto& [task, run] : worker.runs)
            tickRun(worker, run, step);
        if (step.now >= nextHoldAt(worker))
            hold(worker, step);
    }
    m_agenda.add(worker, nextLookAt(worker));
    if (!worker.runs.empty() && step.now > worker.latestLeaseExpiry)
        declareRunsLost(worker, "every lease has passed", step);
    else
        forgetIfGone(WorkerLifetime(worker.record.lifetime));
}

TimePoint RunSupervisor::nextLookAt(const Worker& worker) const
{
    TimePoint next = TimePoint::max();
    if (!worker.runs.empty())
        next = worker.latestLeaseExpiry + Milliseconds(1);
    if (worker.record.address.empty())
        return next;
    for (const auto& [task, run] : worker.runs)
        next = std::min(next, nextOrderAt(run));
    return std::min(next, nextHoldAt(worker));
}

// The condition of hold() under which it sends a request.
TimePoint RunSupervisor::nextHoldAt(const Worker& worker)
{
    const bool isNeeded = worker.isListed || !worker.runs.empty();
    if (worker.isHoldInFlight || !isNeeded)
        return TimePoint::max();
    if (worker.processedEnd > worker.storedEnd)
        return std::max(worker.nextHoldAt, worker.holdSentAt + storeWait);
    return isIdle(worker) ? std::max(worker.nextHoldAt, worker.holdSentAt + idleHoldInterval)
                          : worker.nextHoldAt;
}

Milliseconds RunSupervisor::holdWait() const
{
    constexpr std::int64_t msPerSecond = 1'000;
    const auto workers = static_cast<std::int64_t>(m_workers.all().size());
    const Milliseconds spread(workers * msPerSecond / maxHoldsPerSecond);
    const Milliseconds longest = m_settings.maxLease / minRenewalsPerLease;
    return std::max(minHoldWait, std::min(spread, longest));
}

void RunSupervisor::hold(Worker& worker, Step& step)
{
    const bool isStoring = worker.processedEnd > worker.storedEnd;
    const bool hasUnacknowledgedEnds = worker.storedEnd > worker.acknowledgedEnd;
    const bool isLost = worker.unansweredHolds >= unansweredUntilLost;
    // The next lifetime of the worker numbers its ends anew and would forget ends that were never read. Only
    // ends that the worker has just reported are acknowledged, because it was then still the same lifetime.
    const bool mayAcknowledge = hasUnacknowledgedEnds && !worker.unansweredHolds;
    HoldWorker look { worker.record.lifetime, worker.record.address, tokenOf(worker),
        mayAcknowledge ? worker.storedEnd : 0 };
    const bool isWaiting = std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto& entry) {
        return entry.second.phase == RunPhase::Stopping && entry.second.stopAcceptedAt;
    });
    if (!worker.runs.empty() && worker.isConfirmed && !isLost) {
        const Milliseconds lease = leaseFor(worker);
        look.leaseUntil = worker.clock.at(step.now) + lease.count();
        extendLease(worker, lease, step.now);
        look.wait = isStoring ? Milliseconds(0) : isWaiting ? stopWait : holdWait();
    }
    worker.isHoldInFlight = true;
    worker.holdSentAt = step.now;
    worker.holdAcknowledges = look.acknowledgedEnd;
    step.emit(std::move(look));
}

void RunSupervisor::holdAnswered(const HoldAnswered& answer, Step& step)
{
    Worker* worker = addressee(answer.worker, answer.token);
    if (!worker)
        return;
    worker->isHoldInFlight = false;
    const bool isOther = answer.outcome == OrderOutcome::OtherLifetime
        || (answer.outcome == OrderOutcome::Accepted && answer.status.startedAtMs
            && answer.status.startedAtMs != answer.worker.startedAtMs);
    if (isOther) {
        endLifetime(*worker, "another lifetime answered a hold request", answer.status.startedAtMs, step);
        return;
    }
    if (answer.outcome != OrderOutcome::Accepted) {
        ++worker->unansweredHolds;
        const bool isLost = worker->unansweredHolds >= unansweredUntilLost;
        worker->nextHoldAt = step.now + (isLost ? lostHoldInterval : holdRetryDelay);
        if (worker->unansweredHolds == unansweredUntilLost)
            step.warn("worker.silent",
                { { "worker", answer.worker.id.value() }, { "runs", std::to_string(worker->runs.size()) } });
        return;
    }
    if (worker->unansweredHolds >= unansweredUntilLost)
        step.record("worker.answers", { { "worker", answer.worker.id.value() } });
    worker->unansweredHolds = 0;
    worker->nextHoldAt = step.now;
    worker->acknowledgedEnd = std::max(worker->acknowledgedEnd, worker->holdAcknowledges);
    if (!worker->isConfirmed) {
        m_hasCapacityChanged = true;
        endOtherLifetimes(answer.worker, step);
    }
    worker->isConfirmed = true;
    worker->clock.note(answer.status.clock, step.now);
    processEnds(*worker, answer.status.ended, step);
    processActive(*worker, answer.status, step);
    findVanished(*worker, answer.status, step);
}

void RunSupervisor::processEnds(Worker& worker, std::span<const EndedRun> ends, Step& step)
{
    for (const EndedRun& ended : ends) {
        if (ended.sequence <= worker.processedEnd)
            continue;
        worker.processedEnd = ended.sequence;
        if (ended.end == RunEnd::Done)
            worker.health.runSucceeded();
        else if (ended.end == RunEnd::Failed)
            worker.health.runFailed(step.now);
        else
            worker.health.trialAborted();
        if (findRun(worker, ended.run))
            finish(worker, ended.run, ended.end, ended.checkpoint, step);
        else
            applyEnd(worker, ended.run, ended.end, ended.checkpoint, step);
        const JobBook::Entry* entry = m_jobs.find(ended.run.task.job);
        worker.pendingEnds.push_back({ ended.sequence, ended.run.task.job, entry ? entry->change : 0 });
        m_haveEndsToStore.insert(worker.record.lifetime);
    }
    advanceStoredEnd(worker);
}

// Called when the worker has confirmed the start or lists the run as active.
void RunSupervisor::noteStarted(LiveRun& run, TimePoint now)
{
    if (run.phase == RunPhase::Starting)
        run.phase = RunPhase::Running;
    if (!run.acceptedAt)
        run.acceptedAt = now;
}

void RunSupervisor::processActive(Worker& worker, const WorkerStatus& status, Step& step)
{
    for (const ActiveRun& active : status.active) {
        LiveRun* run = findRun(worker, active.run);
        if (!run) {
            // The worker carried out a start order late, or an earlier leader started the run.
            step.warn("run.unexpected",
                { { "job", active.run.task.job.value() }, { "run", std::to_string(active.run.run) },
                    { "worker", worker.record.lifetime.id.value() } });
            step.emit(StopRun { worker.record.lifetime, worker.record.address, active.run, tokenOf(worker) });
            continue;
        }
        noteStarted(*run, step.now);
        run->wasListed = true;
        run->progress.note({ active.percent, status.clock });
        measureSpeed(worker, *run);
        if (JobBook::Entry* entry = m_jobs.find(active.run.task.job))
            entry->progress.noteCheckpoint(active.run, active.checkpoint);
    }
    judgeProgress(worker, step);
}

void RunSupervisor::finish(
    Worker& worker, const RunId& run, RunEnd end, const std::string& checkpoint, Step& step)
{
    m_workers.detach(worker, run.task);
    lookAt(worker);
    // A trial run may end without an end that the worker lists.
    if (worker.runs.empty())
        worker.health.trialAborted();
    m_hasCapacityChanged = true;
    applyEnd(worker, run, end, checkpoint, step);
}

void RunSupervisor::applyEnd(
    const Worker& worker, const RunId& run, RunEnd end, const std::string& checkpoint, Step& step)
{
    JobBook::Entry* entry = m_jobs.find(run.task.job);
    if (!entry)
        return;
    const RunConsequence consequence = entry->progress.runEnded(run, end, checkpoint);
    if (!consequence.isKnown)
        return;
    m_jobs.noteChange(*entry, step.now);
    m_hasCapacityChanged = true;
    if (end == RunEnd::Failed)
        entry->failedOn.insert(worker.record.lifetime);
    if (end != RunEnd::Done)
        step.record("run.ended",
            { { "job", run.task.job.value() }, { "step", std::to_string(run.task.step) },
                { "task", std::to_string(run.task.index) }, { "run", std::to_string(run.run) },
                { "worker", worker.record.lifetime.id.value() }, { "end", std::string(nameOf(end)) } });
    if (consequence.newState)
        recordJobEnd(entry->progress.job(), *consequence.newState, step);
    stopAll(consequence.toStop, step);
}

void RunSupervisor::recordLifetimeEnd(
    const Worker& worker, std::string_view reason, std::int64_t nextStartedAtMs, Step& step)
{
    std::map<RunPhase, int> phases;
    int mayStartLate = 0;
    for (const auto& [task, run] : worker.runs) {
        ++phases[run.phase];
        mayStartLate += run.mayStartLate;
    }
    step.warn("worker.lifetime_over",
        { { "worker", worker.record.lifetime.id.value() },
            { "born_ms", std::to_string(worker.record.lifetime.startedAtMs) },
            { "next_born_ms", std::to_string(nextStartedAtMs) }, { "reason", std::string(reason) },
            { "starting", std::to_string(phases[RunPhase::Starting]) },
            { "running", std::to_string(phases[RunPhase::Running]) },
            { "stopping", std::to_string(phases[RunPhase::Stopping]) },
            { "may_start_late", std::to_string(mayStartLate) } });
}

void RunSupervisor::endOtherLifetimes(const WorkerLifetime& alive, Step& step)
{
    for (const WorkerLifetime& over : m_workers.otherLifetimes(alive)) {
        Worker* worker = m_workers.find(over);
        if (worker && !worker->runs.empty())
            endLifetime(*worker, "another lifetime has answered", alive.startedAtMs, step);
    }
}

void RunSupervisor::endLifetime(
    Worker& worker, std::string_view reason, std::int64_t nextStartedAtMs, Step& step)
{
    recordLifetimeEnd(worker, reason, nextStartedAtMs, step);
    worker.isListed = false;
    if (nextStartedAtMs)
        moveToNextLifetime(worker, nextStartedAtMs, step);
    declareRunsLost(worker, reason, step);
}

// Moves the runs that the next lifetime may start, or has started, to that lifetime and stops them there.
// They end once it has confirmed the stop, after which it rejects late start orders.
void RunSupervisor::moveToNextLifetime(Worker& worker, std::int64_t nextStartedAtMs, Step& step)
{
    std::vector<LiveRun> moved;
    for (const auto& [task, run] : worker.runs) {
        if (mayStartInNextLifetime(run))
            moved.push_back(run);
    }
    if (moved.empty())
        return;
    const WorkerLifetime lifetime { worker.record.lifetime.id, nextStartedAtMs };
    Worker& next = m_workers.require(lifetime);
    if (next.record.address.empty()) {
        next.record = worker.record;
        next.record.lifetime = lifetime;
    }
    // A deadline on the earlier lifetime's clock does not bound a lease of this one.
    extendLease(next, maxOrderDelay + m_settings.maxLease, step.now);
    for (LiveRun& run : moved) {
        m_workers.detach(worker, run.id.task);
        run.phase = RunPhase::Stopping;
        run.acceptedAt.reset();
        run.stopAcceptedAt.reset();
        sendStop(next, m_workers.attach(next, std::move(run)), step);
    }
    lookAt(next);
}

void RunSupervisor::declareRunsLost(Worker& worker, std::string_view reason, Step& step)
{
    step.warn("worker.runs_lost",
        { { "worker", worker.record.lifetime.id.value() },
            { "born_ms", std::to_string(worker.record.lifetime.startedAtMs) },
            { "reason", std::string(reason) }, { "runs", std::to_string(worker.runs.size()) } });
    std::vector<RunId> runs;
    for (const auto& [task, run] : worker.runs)
        runs.push_back(run.id);
    for (const RunId& run : runs) {
        if (findRun(worker, run))
            finish(worker, run, RunEnd::LeaseExpired, {}, step);
    }
    // The worker has to answer before it gets new runs.
    worker.isConfirmed = false;
    lookAt(worker);
    forgetIfGone(WorkerLifetime(worker.record.lifetime));
}

void RunSupervisor::forgetIfGone(const WorkerLifetime& lifetime)
{
    const Worker* worker = m_workers.find(lifetime);
    // An answer that is still due would be taken for one to a later request if the worker were listed again.
    if (worker && !worker->isListed && worker->runs.empty() && !worker->isHoldInFlight)
        m_workers.erase(lifetime);
}

} // namespace anvilmoor::batch
