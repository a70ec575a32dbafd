#include "batch/workers/run_supervisor.h"

#include <algorithm>
#include <string>
#include <vector>

// Ends the runs of draining workers while these can still report how the runs ended.

namespace anvilmoor::batch {

// Empty until the worker has told this leader its clock.
std::optional<TimePoint> RunSupervisor::mayLeaveAt(const Worker& worker, TimePoint now)
{
    const WorkerRecord& record = worker.record;
    const WorkerClock clock = worker.clock.at(now);
    if (!record.isDraining || !clock)
        return std::nullopt;
    // The estimate of the clock may be behind the time of the entry.
    if (record.writtenAt)
        return now + Milliseconds(std::min<WorkerClock>(record.writtenAt - clock, 0)) + record.remaining;
    // The remaining time may have passed since the entry was written.
    return worker.changedAfter ? *worker.changedAfter + record.remaining : now;
}

// A gang ends with its slowest member. Empty if unknown.
std::optional<TimeToEnd> RunSupervisor::timeToEnd(const Worker& worker, const LiveRun& run, TimePoint now)
{
    const JobBook::Entry* entry = m_jobs.find(run.id.task.job);
    if (!entry)
        return std::nullopt;
    std::optional<TimeToEnd> slowest = run.progress.timeToEnd(worker.clock.at(now));
    for (const RunId& id : entry->progress.gangMembers(run.id)) {
        Worker* other = m_workers.find(entry->progress.find(id.task)->assignment->worker);
        const LiveRun* member = other ? findRun(*other, id) : nullptr;
        const auto time = member ? member->progress.timeToEnd(other->clock.at(now)) : std::nullopt;
        if (!time || !slowest)
            return std::nullopt;
        slowest->shortest = std::max(slowest->shortest, time->shortest);
        slowest->longest = std::max(slowest->longest, time->longest);
    }
    return slowest;
}

bool RunSupervisor::shouldStopForDrain(
    const Worker& worker, const LiveRun& run, TimePoint leavesAt, TimePoint now)
{
    const JobBook::Entry* entry = m_jobs.find(run.id.task.job);
    if (!entry || run.phase == RunPhase::Stopping)
        return false;
    const bool savesCheckpoints = entry->progress.specificationOf(run.id.task.step).savesCheckpoints;
    return m_drainPolicy.shouldStop({ timeToEnd(worker, run, now), savesCheckpoints }, leavesAt, now);
}

void RunSupervisor::stopDrainedRuns(Worker& worker, Step& step)
{
    const auto leavesAt = mayLeaveAt(worker, step.now);
    if (!leavesAt || worker.runs.empty())
        return;
    std::vector<RunId> due;
    for (const auto& [task, run] : worker.runs) {
        if (shouldStopForDrain(worker, run, *leavesAt, step.now))
            due.push_back(run.id);
    }
    if (due.empty())
        return;
    step.record("worker.drained_runs_stopped",
        { { "worker", worker.record.lifetime.id.value() }, { "runs", std::to_string(due.size()) },
            { "remaining_ms", std::to_string((*leavesAt - step.now).count()) } });
    for (const RunId& run : due) {
        const JobBook::Entry* entry = m_jobs.find(run.task.job);
        const std::vector<RunId> gang = entry->progress.gangMembers(run);
        stop(run, step);
        stopAll(gang, step);
    }
}

void RunSupervisor::recordDrain(const Worker& worker, Step& step)
{
    step.record("worker.draining",
        { { "worker", worker.record.lifetime.id.value() },
            { "remaining_ms", std::to_string(worker.record.remaining.count()) },
            { "runs", std::to_string(worker.runs.size()) } });
}

} // namespace anvilmoor::batch
