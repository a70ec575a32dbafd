#include "batch/workers/run_supervisor.h"

#include "batch/workers/fencing_token.h"

#include <algorithm>
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

// An adopted worker has this long to answer before its runs are declared lost: it is asked three times.
constexpr Milliseconds minTimeToAnswer { 3'000 };
// Workers that answer sooner are not listed as silent.
constexpr Milliseconds usualTimeToAnswer { 500 };

// All workers are visited this often, also those that are not due.
constexpr Milliseconds fullVisitInterval { 5'000 };

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

// Empty if it has not happened.
std::string msAgo(const std::optional<TimePoint>& time, TimePoint now)
{
    return time ? std::to_string((now - *time).count()) : std::string();
}

// `live`: null if the run was not expected on this worker.
void recordRunEnd(const Worker& worker, const EndedRun& ended, const LiveRun* live, Step& step)
{
    const RunId& run = ended.run;
    step.record("run.ended",
        { { "job", run.task.job.value() }, { "step", std::to_string(run.task.step) },
            { "task", std::to_string(run.task.index) }, { "run", std::to_string(run.run) },
            { "worker", worker.record.lifetime.id.value() }, { "end", std::string(nameOf(ended.end)) },
            { "last_percent", std::to_string(live ? live->progress.lastPercent() : 0) },
            { "stop_sent_ms_ago", live ? msAgo(live->stopOrderedAt, step.now) : std::string() },
            { "stop_confirmed_ms_ago", live ? msAgo(live->stopAcceptedAt, step.now) : std::string() } });
}

RunProgress progressOf(const JobProgress& job, int step)
{
    const StepSpecification& specification = job.specificationOf(step);
    return { specification.estimatedDuration, specification.isGang };
}

// Until the job's first placement; empty if another leader placed it.
std::string waitedMs(const JobBook::Entry& entry)
{
    if (!entry.firstPlacedAt)
        return {};
    return std::to_string((*entry.firstPlacedAt - entry.progress.job().dueAt(0)).count());
}

void recordJobEnd(const JobBook::Entry& entry, JobState state, Step& step)
{
    const AcceptedJob& job = entry.progress.job();
    const WallTime due = job.dueAt(job.occurrenceCount() - 1);
    step.record("job.ended",
        { { "job", job.specification.id.value() },
            { "state", state == JobState::Completed ? "completed" : "failed" },
            { "priority", std::to_string(job.terms.priority) }, { "shape", describeShape(job.specification) },
            { "waited_ms", waitedMs(entry) }, { "evicted_runs", std::to_string(entry.evictedRuns) },
            { "took_ms", std::to_string((step.wallTime - due).count()) },
            { "objective_ms", std::to_string(job.objective().count()) } });
}

} // namespace

RunSupervisor::RunSupervisor(WorkerPool& workers, JobBook& jobs, WorkerLeaseSettings settings)
    : m_workers(workers)
    , m_jobs(jobs)
    , m_settings(settings)
    , m_drainPolicy(settings.stopTimeout)
{
}

Milliseconds longestLeaseInRealTime(const WorkerLeaseSettings& settings)
{
    return inRealTime(settings.maxLease);
}

void RunSupervisor::begin(std::uint64_t epoch, TimePoint earlierLeadersActUntil, EarlierLeases earlierLeases)
{
    m_epoch = epoch;
    m_earlierLeases = std::move(earlierLeases);
    m_silentWorkers.begin(m_earlierLeases);
    m_adoptedAt.reset();
    m_lateOrdersUntil = {};
    m_earlierLeadersActUntil = earlierLeadersActUntil;
    m_registryKnownAt.reset();
    m_dueQueue.clear();
    m_workersWithPendingEnds.clear();
    m_allMarkedDueAt = {};
    for (auto& [lifetime, worker] : m_workers.all()) {
        worker.dueAt = TimePoint::max();
        extendLease(worker, m_settings.maxLease, earlierLeadersActUntil);
    }
}

void RunSupervisor::adopt(
    const JobProgress& job, const RunId& run, const WorkerLifetime& lifetime, TimePoint now)
{
    Worker& worker = m_workers.require(lifetime);
    // A start order of an earlier leader may still be under way, so the end of its lease is waited for.
    worker.isWithdrawalPending = false;
    const LeaseBound bound = m_earlierLeases.of(lifetime);
    const TimePoint latest = std::max(now, m_earlierLeadersActUntil) + inRealTime(m_settings.maxLease);
    const TimePoint expiry = std::min(latest, std::max(bound.latest, now + minTimeToAnswer));
    worker.latestLeaseExpiry = std::max(worker.latestLeaseExpiry, expiry);
    m_silentWorkers.add(lifetime, bound.endsBy);
    m_adoptedAt = m_adoptedAt.value_or(now);
    LiveRun live { run, job.specificationOf(run.task.step).countedPerTask(), job.job().terms.priority };
    live.phase = isTerminal(job.state()) ? RunPhase::Stopping : RunPhase::Running;
    live.assignedAt = now;
    live.acceptedAt = now;
    live.progress = progressOf(job, run.task.step);
    m_workers.attach(worker, std::move(live));
    markDue(worker);
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
        live.isTrial = !worker.health.isTrusted();
        if (live.isTrial)
            worker.health.trialStarted();
        m_workers.attach(worker, std::move(live));
        markDue(worker);
    }
}

std::map<WorkerLifetime, StoreClock> RunSupervisor::silentWorkersOfNextCommit(
    std::size_t maxBytes, TimePoint now)
{
    return m_silentWorkers.beginCommit(m_adoptedAt && now >= *m_adoptedAt + usualTimeToAnswer, maxBytes);
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
        markDue(*worker);
    }
}

void RunSupervisor::changesStored()
{
    std::erase_if(m_workersWithPendingEnds, [this](const WorkerLifetime& lifetime) {
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
        markDue(worker);
        worker.pendingEnds.pop_front();
    }
}

void RunSupervisor::workersUpdated(const WorkersUpdated& update, Step& step)
{
    if (update.isAfterFailure)
        forgetEntryChanges();
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
        workerGone(id, step.now);
    // A complete read tells neither when its entries have changed nor when those of the next update have.
    const auto changedAfter = update.isComplete ? std::nullopt : m_registryKnownAt;
    // Which lifetime is alive is known only from its answer to a hold request.
    for (const WorkerRecord& record : update.changed) {
        const Worker* known = m_workers.find(record.lifetime);
        const bool wasDraining = known && known->record.isDraining;
        const bool isRelevant = m_workers.update(record, step.now, changedAfter);
        Worker& worker = *m_workers.find(record.lifetime);
        if (isRelevant)
            markDue(worker);
        if (record.isDraining && !wasDraining)
            recordDrain(worker, step);
    }
    m_registryKnownAt = update.isComplete ? std::nullopt : std::optional(update.knownAt);
    m_hasCapacityChanged = true;
}

// Entries may also have expired while the store was away, so when they last changed tells nothing.
void RunSupervisor::forgetEntryChanges()
{
    m_registryKnownAt.reset();
    for (auto& [lifetime, worker] : m_workers.all())
        worker.changedAfter.reset();
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
        markDue(*worker);
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
    if (step.now >= m_allMarkedDueAt + fullVisitInterval) {
        m_allMarkedDueAt = step.now;
        for (auto& [lifetime, worker] : m_workers.all())
            markDue(worker);
    }
    for (const WorkerLifetime& lifetime : m_dueQueue.takeDue(step.now, m_workers)) {
        // The worker may have been forgotten during this tick.
        if (Worker* worker = m_workers.find(lifetime))
            tickWorker(*worker, step);
    }
}

void RunSupervisor::tickWorker(Worker& worker, Step& step)
{
    if (std::exchange(worker.isWithdrawalPending, false)) {
        endLifetime(worker, "worker withdrew its registry entry", 0, step);
        return;
    }
    if (!worker.record.address.empty()) {
        stopDrainedRuns(worker, step);
        for (auto& [task, run] : worker.runs)
            tickRun(worker, run, step);
        if (step.now >= nextHoldAt(worker))
            hold(worker, step);
    }
    m_dueQueue.add(worker, nextDueAt(worker, step.now));
    if (!worker.runs.empty() && step.now > worker.latestLeaseExpiry)
        declareRunsLost(worker, "every lease has passed", step);
    else
        forgetIfGone(WorkerLifetime(worker.record.lifetime));
}

TimePoint RunSupervisor::nextDueAt(const Worker& worker, TimePoint now) const
{
    TimePoint next = TimePoint::max();
    if (!worker.runs.empty())
        next = worker.latestLeaseExpiry + Milliseconds(1);
    if (worker.record.address.empty())
        return next;
    for (const auto& [task, run] : worker.runs)
        next = std::min(next, nextOrderAt(worker, run));
    const auto leavesAt = earliestDeparture(worker, now);
    if (leavesAt && !worker.runs.empty())
        next = std::min(next, m_drainPolicy.nextDecisionAt(*leavesAt, now));
    return std::min(next, nextHoldAt(worker));
}

// A run that lasts until its job is cancelled may fail at any time, which tells nothing about its worker.
bool RunSupervisor::runsUntilCancelled(const TaskId& task) const
{
    const JobBook::Entry* entry = m_jobs.find(task.job);
    return entry && entry->progress.specificationOf(task.step).runsUntilCancelled;
}

void RunSupervisor::processEnds(Worker& worker, std::span<const EndedRun> ends, Step& step)
{
    for (const EndedRun& ended : ends) {
        if (ended.sequence <= worker.processedEnd)
            continue;
        worker.processedEnd = ended.sequence;
        if (ended.end == RunEnd::Done)
            noteSuccess(worker, ended.run);
        else if (ended.end == RunEnd::Failed && !runsUntilCancelled(ended.run.task))
            worker.health.runFailed(step.now);
        if (JobBook::Entry* job = m_jobs.find(ended.run.task.job))
            job->progress.noteBegun();
        if (findRun(worker, ended.run))
            finish(worker, ended.run, ended.end, ended.checkpoint, step);
        else
            applyEnd(worker, ended, nullptr, step);
        const JobBook::Entry* entry = m_jobs.find(ended.run.task.job);
        worker.pendingEnds.push_back({ ended.sequence, ended.run.task.job, entry ? entry->change : 0 });
        m_workersWithPendingEnds.insert(worker.record.lifetime);
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
            recordUnexpected(worker, active.run, step);
            step.emit(StopRun { worker.record.lifetime, worker.record.address, active.run, tokenOf(worker) });
            continue;
        }
        noteStarted(*run, step.now);
        run->wasListed = true;
        // These report whether they are ready, not how much of their work is done.
        if (!runsUntilCancelled(active.run.task))
            run->progress.note({ active.percent, status.clock });
        measureSpeed(worker, *run);
        if (JobBook::Entry* entry = m_jobs.find(active.run.task.job)) {
            entry->progress.noteBegun();
            entry->progress.noteCheckpoint(active.run, active.checkpoint);
        }
    }
    judgeProgress(worker, step);
}

void RunSupervisor::finish(
    Worker& worker, const RunId& run, RunEnd end, const std::string& checkpoint, Step& step)
{
    const LiveRun* found = findRun(worker, run);
    const auto live = found ? std::optional(*found) : std::nullopt;
    m_workers.detach(worker, run.task);
    markDue(worker);
    if ((live && live->isTrial) || worker.runs.empty())
        worker.health.trialAborted();
    m_hasCapacityChanged = true;
    applyEnd(worker, { 0, run, end, checkpoint }, live ? &*live : nullptr, step);
}

void RunSupervisor::applyEnd(const Worker& worker, const EndedRun& ended, const LiveRun* live, Step& step)
{
    const RunId& run = ended.run;
    JobBook::Entry* entry = m_jobs.find(run.task.job);
    if (!entry)
        return;
    const RunConsequence consequence = entry->progress.runEnded(run, ended.end, ended.checkpoint);
    if (!consequence.isKnown)
        return;
    m_jobs.noteChange(*entry, step.now);
    m_hasCapacityChanged = true;
    if (ended.end == RunEnd::Failed)
        entry->failedOn.insert(worker.record.lifetime);
    if (ended.end != RunEnd::Done)
        recordRunEnd(worker, ended, live, step);
    if (consequence.newState)
        recordJobEnd(*entry, *consequence.newState, step);
    stopAll(consequence.toStop, step);
}

} // namespace anvilmoor::batch
