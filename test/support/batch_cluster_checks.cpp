#include "support/batch_cluster.h"
#include "support/batch_cluster_parts.h"

#include <fmt/format.h>

// Records starts, ends and acknowledgements of runs, and what they violate.

namespace anvilmoor::testing {

using namespace batch;

std::string nameOf(const RunId& run)
{
    return fmt::format("{}.{}.{}.{} run {}", run.task.job.value(), run.task.occurrence, run.task.step,
        run.task.index, run.run);
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

} // namespace anvilmoor::testing
