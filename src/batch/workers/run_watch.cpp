#include "batch/workers/run_supervisor.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

// What the leader infers from status reports and registry changes, beyond the run ends that workers report:
// vanished runs, worker speed, stalls and withdrawn workers.

namespace anvilmoor::batch {

namespace {

// An entry that its worker no longer updates expires after three heartbeat intervals at the earliest. The
// remaining half interval allows for heartbeats that are not quite regular.
constexpr double minHeartbeatsUntilExpiry = 2.5;

// A trial run that has gone on for this long shows that its worker runs things.
constexpr Milliseconds maxTrialTime { 10'000 };

// Whose start order led to a run that this leader does not expect on its worker. `task`: null if unknown.
std::string_view sourceOf(const TaskProgress* task, int run)
{
    if (!task || run > task->lastRun)
        return "no known assignment";
    return run > task->lastRunWhenRestored ? "late order of this leader" : "order of an earlier leader";
}

} // namespace

void RunSupervisor::recordUnexpected(const Worker& worker, const RunId& run, Step& step) const
{
    const JobBook::Entry* entry = m_jobs.find(run.task.job);
    const TaskProgress* task = entry ? entry->progress.find(run.task) : nullptr;
    const Assignment assigned = task && task->assignment ? *task->assignment : Assignment {};
    step.warn("run.unexpected",
        { { "job", run.task.job.value() }, { "step", std::to_string(run.task.step) },
            { "task", std::to_string(run.task.index) }, { "run", std::to_string(run.run) },
            { "worker", worker.record.lifetime.id.value() },
            { "source", std::string(sourceOf(task, run.run)) },
            { "assigned_run", std::to_string(assigned.run) },
            { "assigned_worker", assigned.worker.id.value() },
            { "is_done", entry && entry->progress.isDone(run.task) ? "yes" : "no" } });
}

// A run has ended without a reported end if the worker does not list it although it had confirmed the start,
// or the stop, before the hold request was sent. An incomplete list of ends does not show this.
void RunSupervisor::findVanished(Worker& worker, const WorkerStatus& status, TimePoint askedAt, Step& step)
{
    if (status.mayHaveMoreEnds)
        return;
    std::vector<RunId> vanished;
    for (const auto& entry : worker.runs) {
        const LiveRun& run = entry.second;
        const auto isListed = [&run](const ActiveRun& listed) { return listed.run == run.id; };
        if (std::any_of(status.active.begin(), status.active.end(), isListed))
            continue;
        const auto& confirmedAt
            = run.phase == RunPhase::Stopping && run.stopAcceptedAt ? run.stopAcceptedAt : run.acceptedAt;
        if (confirmedAt && *confirmedAt < askedAt && run.phase != RunPhase::Starting)
            vanished.push_back(run.id);
    }
    for (const RunId& run : vanished)
        finish(worker, run, RunEnd::Stopped, {}, step);
}

// Each run is measured once, starting at its first reported progress: before that, it waits for its gang or
// restores a checkpoint.
void RunSupervisor::measureSpeed(Worker& worker, LiveRun& run)
{
    const auto rate = run.progress.rate();
    if (run.hasMeasuredSpeed || !rate)
        return;
    run.hasMeasuredSpeed = true;
    const JobBook::Entry* entry = m_jobs.find(run.id.task.job);
    if (!entry)
        return;
    // A run outside the rack that holds its data is slow on any worker.
    const std::string& dataRack = entry->progress.specificationOf(run.id.task.step).dataRack;
    if (!dataRack.empty() && dataRack != worker.record.rack.value())
        return;
    const StepId step { run.id.task.job, run.id.task.occurrence, run.id.task.step };
    for (const SpeedObservation& observed :
        m_stepRates.add(step, worker.record.lifetime, *rate, worker.speed)) {
        if (Worker* other = m_workers.find(observed.worker))
            other->speed.add(observed.logSpeed, observed.weight);
    }
}

void RunSupervisor::noteSuccess(Worker& worker, const RunId& run)
{
    const LiveRun* done = findRun(worker, run);
    if (done && done->isTrial && worker.health.isStalled()) {
        for (auto& [task, other] : worker.runs)
            other.isSlow = other.isSlow || other.progress.pace() == RunProgress::Pace::Lagging;
    }
    worker.health.runSucceeded();
}

// A run that lags while another one advances is slow itself.
void RunSupervisor::markSlowRuns(Worker& worker)
{
    for (auto& [task, run] : worker.runs) {
        if (run.progress.pace() == RunProgress::Pace::Advancing)
            run.isSlow = false;
        if (run.progress.pace() != RunProgress::Pace::Lagging)
            continue;
        const RunProgress& lagging = run.progress;
        const auto advances
            = [&lagging](const auto& entry) { return entry.second.progress.advancesBeside(lagging); };
        run.isSlow = run.isSlow || std::any_of(worker.runs.begin(), worker.runs.end(), advances);
    }
}

void RunSupervisor::endLongTrials(Worker& worker, Step& step)
{
    for (auto& [task, run] : worker.runs) {
        const bool isLagging = run.progress.pace() == RunProgress::Pace::Lagging;
        const bool isLong = run.acceptedAt && step.now >= *run.acceptedAt + maxTrialTime;
        if (!run.isTrial || run.phase != RunPhase::Running || !isLong || isLagging)
            continue;
        run.isTrial = false;
        worker.health.trialPassed();
        m_hasCapacityChanged = true;
        step.record("worker.trial_passed", { { "worker", worker.record.lifetime.id.value() } });
    }
}

// A worker on which runs lag and none advances gets no new runs, except for a trial run at a time, until one
// advances.
void RunSupervisor::judgeProgress(Worker& worker, Step& step)
{
    markSlowRuns(worker);
    endLongTrials(worker, step);
    int lagging = 0;
    int advancing = 0;
    bool hasTrialStalled = false;
    for (auto& [task, run] : worker.runs) {
        // A run makes no progress while it is being stopped.
        if (run.phase == RunPhase::Stopping || run.isSlow)
            continue;
        const bool isLagging = run.progress.pace() == RunProgress::Pace::Lagging;
        lagging += isLagging;
        advancing += run.progress.pace() == RunProgress::Pace::Advancing;
        hasTrialStalled = (isLagging && std::exchange(run.isTrial, false)) || hasTrialStalled;
    }
    const std::string& name = worker.record.lifetime.id.value();
    if (lagging && !advancing && worker.health.recordStall(step.now))
        step.warn("worker.stalled", { { "worker", name }, { "lagging", std::to_string(lagging) } });
    else if (hasTrialStalled)
        worker.health.trialStalled(step.now);
    if (advancing && worker.health.recordAdvance()) {
        step.record("worker.advances", { { "worker", name }, { "advancing", std::to_string(advancing) } });
        m_hasCapacityChanged = true;
    }
}

// If the entry of a draining worker disappears before it can have expired, the worker has left, which ends
// all that runs there. Not known if the store has been away since the entry's last change.
bool RunSupervisor::hasWithdrawnEntry(const Worker& worker, TimePoint now) const
{
    const auto minExpiry
        = std::chrono::duration_cast<Milliseconds>(m_settings.heartbeatInterval * minHeartbeatsUntilExpiry);
    return worker.record.isDraining && worker.changedAfter && now < *worker.changedAfter + minExpiry;
}

void RunSupervisor::workerGone(const WorkerId& id, TimePoint now)
{
    for (const WorkerLifetime& lifetime : m_workers.unlist(id)) {
        Worker* worker = m_workers.find(lifetime);
        // tick() ends the lifetime.
        worker->isWithdrawalPending = hasWithdrawnEntry(*worker, now);
        markDue(*worker);
    }
}

} // namespace anvilmoor::batch
