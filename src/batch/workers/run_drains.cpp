#include "batch/workers/run_supervisor.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// Ends the runs of draining workers while these can still report how the runs ended.

namespace anvilmoor::batch {

// A gang ends with its slowest member. Empty if unknown.
std::optional<Milliseconds> RunSupervisor::shortestTimeToEnd(
    const Worker& worker, const LiveRun& run, TimePoint now)
{
    const JobBook::Entry* entry = m_jobs.find(run.id.task.job);
    if (!entry)
        return std::nullopt;
    std::optional<Milliseconds> slowest = run.progress.shortestTimeToEnd(worker.clock.at(now));
    for (const RunId& id : entry->progress.gangMembers(run.id)) {
        Worker* other = m_workers.find(entry->progress.find(id.task)->assignment->worker);
        const LiveRun* member = other ? findRun(*other, id) : nullptr;
        const auto time = member ? member->progress.shortestTimeToEnd(other->clock.at(now)) : std::nullopt;
        if (!time || !slowest)
            return std::nullopt;
        slowest = std::max(*slowest, *time);
    }
    return slowest;
}

std::vector<RunId> RunSupervisor::runsToStopForDrain(const Worker& worker, TimePoint leavesAt, TimePoint now)
{
    std::vector<RunId> due;
    std::map<StepId, bool> gangVerdicts; // the members of a gang are judged alike
    for (const auto& [task, run] : worker.runs) {
        const JobBook::Entry* entry = m_jobs.find(task.job);
        if (!entry || run.phase == RunPhase::Stopping)
            continue;
        const StepSpecification& step = entry->progress.specificationOf(task.step);
        const StepId stepId { task.job, task.occurrence, task.step };
        const auto verdict = gangVerdicts.find(stepId);
        const bool isDue = verdict != gangVerdicts.end()
            ? verdict->second
            : m_drainPolicy.shouldStop(
                { shortestTimeToEnd(worker, run, now), step.savesCheckpoints }, leavesAt, now);
        if (step.isGang)
            gangVerdicts.emplace(stepId, isDue);
        if (isDue)
            due.push_back(run.id);
    }
    return due;
}

void RunSupervisor::stopDrainedRuns(Worker& worker, Step& step)
{
    const auto leavesAt = earliestDeparture(worker, step.now);
    if (!leavesAt || worker.runs.empty())
        return;
    const std::vector<RunId> due = runsToStopForDrain(worker, *leavesAt, step.now);
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

// Answers of a worker that is about to leave are the last chance to read how its runs have ended.
void RunSupervisor::recordSlowAnswer(
    const Worker& worker, std::string_view order, TimePoint expectedAt, OrderOutcome outcome, Step& step)
{
    const Milliseconds late = step.now - expectedAt;
    const auto leavesAt = earliestDeparture(worker, step.now);
    if (!leavesAt || worker.runs.empty() || late < overdueAnswerTime)
        return;
    step.warn("worker.slow_answer",
        { { "worker", worker.record.lifetime.id.value() }, { "order", std::string(order) },
            { "late_ms", std::to_string(late.count()) },
            { "has_answer",
                outcome == OrderOutcome::Unknown || outcome == OrderOutcome::NotSent ? "no" : "yes" },
            { "runs", std::to_string(worker.runs.size()) },
            { "remaining_ms", std::to_string((*leavesAt - step.now).count()) } });
}

void RunSupervisor::recordDrain(const Worker& worker, Step& step)
{
    step.record("worker.draining",
        { { "worker", worker.record.lifetime.id.value() },
            { "remaining_ms", std::to_string(worker.record.remaining.count()) },
            { "runs", std::to_string(worker.runs.size()) } });
}

} // namespace anvilmoor::batch
