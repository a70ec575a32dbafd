#include "support/leader_state.h"

#include "support/batch_cluster.h"

#include <fmt/format.h>
#include <utility>

namespace anvilmoor::testing {

using namespace batch;

WorkerCapacity makeCapacity(int rack, int index, std::int64_t accelerators)
{
    WorkerCapacity worker;
    worker.lifetime = { WorkerId(fmt::format("w{}-{}", rack, index)), 1 };
    worker.rack = RackId(fmt::format("r{}", rack));
    worker.kind = rack ? "b" : "a";
    worker.whole = { 128'000, 256'000, 8 };
    worker.room = { 128'000, 256'000, accelerators };
    return worker;
}

LeaderState::LeaderState()
    : configuration(BatchCluster::defaultConfiguration())
{
}

void LeaderState::addWorkers(int racks, int perRack)
{
    for (int rack = 0; rack < racks; ++rack) {
        for (int index = 0; index < perRack; ++index) {
            const WorkerCapacity capacity = makeCapacity(rack, index);
            const WorkerRecord record { capacity.lifetime, "10.0.0.1:1", ServiceId("planner"),
                AvailabilityZoneId("z"), capacity.whole, "a", capacity.rack };
            pool.update(record, now);
            pool.find(record.lifetime)->isConfirmed = true;
        }
    }
}

JobId LeaderState::addJob(
    const char* id, int priority, StepSpecification step, const char* account, Milliseconds age)
{
    AcceptedJob job;
    job.specification = { JobId(id), "payload", { std::move(step) }, {} };
    job.terms
        = { "queue", ServiceId("planner"), ClientAccountId(account), priority, 2, 1.5, Milliseconds(250) };
    job.acceptedAt = wallTime - age;
    jobs.add(job);
    return JobId(id);
}

void LeaderState::attach(const PlacementDecision& decision)
{
    JobBook::Entry& entry = *jobs.find(decision.unit.job);
    JobProgress& progress = entry.progress;
    progress.assign(decision.unit, decision.workers);
    jobs.noteChange(entry, now);
    for (std::size_t i = 0; i < decision.workers.size(); ++i) {
        const RunId run { { decision.unit.job, 0, decision.unit.step, decision.unit.tasks[i] },
            decision.unit.run };
        LiveRun live { run, progress.specificationOf(0).perTask, progress.job().terms.priority,
            RunPhase::Running };
        live.acceptedAt = now;
        pool.attach(*pool.find(decision.workers[i]), live);
    }
}

PlacementOutcome LeaderState::place(PlacementRound& round)
{
    PlacementOutcome outcome = round.run(jobs, pool, configuration, now, wallTime);
    for (const PlacementDecision& decision : outcome.placed)
        attach(decision);
    return outcome;
}

void LeaderState::stopEvicted(const PlacementOutcome& outcome)
{
    for (const Eviction& eviction : outcome.evictions) {
        for (const RunId& victim : eviction.victims)
            end(victim.task, RunEnd::Stopped);
    }
}

void LeaderState::endTask(const TaskId& task) { end(task, RunEnd::Done); }

void LeaderState::end(const TaskId& task, RunEnd how)
{
    JobBook::Entry& entry = *jobs.find(task.job);
    const Assignment assignment = *entry.progress.find(task)->assignment;
    pool.detach(*pool.find(assignment.worker), task);
    entry.progress.runEnded({ task, assignment.run }, how, {});
    jobs.noteChange(entry, now);
}

void LeaderState::advance(Milliseconds duration)
{
    now += duration;
    wallTime += duration;
}

Worker& LeaderState::worker(int rack, int index) { return *pool.find(makeCapacity(rack, index).lifetime); }

std::size_t LeaderState::idleWorkers() const
{
    std::size_t idle = 0;
    for (const auto& [lifetime, worker] : pool.all())
        idle += worker.runs.empty() ? 1 : 0;
    return idle;
}

std::size_t LeaderState::placedTasks(const PlacementOutcome& outcome, const JobId& job)
{
    std::size_t tasks = 0;
    for (const PlacementDecision& decision : outcome.placed)
        tasks += decision.unit.job == job ? decision.workers.size() : 0;
    return tasks;
}

} // namespace anvilmoor::testing
