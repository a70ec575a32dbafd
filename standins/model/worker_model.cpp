#include "model/worker_model.h"

#include <algorithm>

namespace anvilmoor::standin {

namespace {

// Leaves time to see in a report how a task ended when the holder is replaced.
constexpr Milliseconds endedTaskRetention { 60'000 };

// A throttled task progresses at half its rate.
constexpr double throttledRate = 0.5;

TaskReport reportOf(const ModelTask& task)
{
    return { task.job, task.attempt, task.phase, task.accelerators, task.isThrottled, task.progress,
        task.checkpointed };
}

} // namespace

WorkerModel::WorkerModel(WorkerId id, int accelerators)
    : m_id(std::move(id))
    , m_accelerators(accelerators)
{
}

int WorkerModel::acceleratorsHeld() const
{
    int sum = 0;
    for (const auto& [key, task] : m_tasks)
        sum += task.accelerators;
    return sum;
}

int WorkerModel::accelerators(TaskPhase phase) const
{
    int sum = 0;
    for (const auto& [key, task] : m_tasks)
        sum += task.phase == phase ? task.accelerators : 0;
    return sum;
}

bool WorkerModel::acceptToken(FencingToken token)
{
    if (!token)
        return true;
    if (token < m_highestToken)
        return acceptsStaleTokens;
    m_highestToken = token;
    return true;
}

void WorkerModel::renew(const std::vector<LeaseRenewal>& renewals, TimePoint now)
{
    for (const LeaseRenewal& renewal : renewals) {
        const auto found = m_tasks.find({ renewal.job, renewal.attempt });
        if (found == m_tasks.end() || found->second.phase == TaskPhase::Reserved)
            continue;
        ModelTask& task = found->second;
        task.leaseEnd = now + (task.phase == TaskPhase::Confirmed ? confirmLifetime : taskLease);
    }
}

WorkerCommandResult WorkerModel::command(const WorkerCommand& command, TimePoint now)
{
    advance(now);
    if (!command.token || !acceptToken(command.token))
        return WorkerCommandResult::StaleToken;
    if (command.kind == WorkerCommandKind::Reserve)
        return reserve(command, now);

    const std::pair<JobId, AttemptNumber> key { command.job, command.attempt };
    const auto found = m_tasks.find(key);
    const bool endsTask
        = command.kind == WorkerCommandKind::Release || command.kind == WorkerCommandKind::Stop;
    if (found == m_tasks.end())
        return endsTask ? WorkerCommandResult::Ok : WorkerCommandResult::UnknownTask;

    switch (command.kind) {
    case WorkerCommandKind::Confirm:
        return confirm(found->second, now);
    case WorkerCommandKind::Run:
        return run(found->second, command, now);
    case WorkerCommandKind::Checkpoint:
        return checkpoint(found->second, command, now);
    case WorkerCommandKind::Throttle:
        found->second.isThrottled = command.throttled;
        return WorkerCommandResult::Ok;
    case WorkerCommandKind::Release:
    case WorkerCommandKind::Stop:
        m_tasks.erase(found);
        return WorkerCommandResult::Ok;
    case WorkerCommandKind::Reserve:
        break;
    }
    return WorkerCommandResult::Failed;
}

WorkerCommandResult WorkerModel::reserve(const WorkerCommand& command, TimePoint now)
{
    const std::pair<JobId, AttemptNumber> key { command.job, command.attempt };
    const auto found = m_tasks.find(key);
    if (found != m_tasks.end()) {
        if (found->second.phase == TaskPhase::Reserved)
            found->second.leaseEnd = now + command.ttl;
        return WorkerCommandResult::Ok;
    }
    if (command.accelerators <= 0 || acceleratorsHeld() + command.accelerators > m_accelerators)
        return WorkerCommandResult::NoCapacity;
    ModelTask task;
    task.job = command.job;
    task.attempt = command.attempt;
    task.accelerators = command.accelerators;
    task.leaseEnd = now + command.ttl;
    task.phaseSince = now;
    m_ended.erase(key);
    m_tasks.emplace(key, std::move(task));
    return WorkerCommandResult::Ok;
}

WorkerCommandResult WorkerModel::confirm(ModelTask& task, TimePoint now)
{
    if (task.phase == TaskPhase::Reserved) {
        task.phase = TaskPhase::Confirmed;
        task.phaseSince = now;
    }
    if (task.phase == TaskPhase::Confirmed)
        task.leaseEnd = now + confirmLifetime;
    return WorkerCommandResult::Ok;
}

WorkerCommandResult WorkerModel::run(ModelTask& task, const WorkerCommand& command, TimePoint now)
{
    if (task.phase == TaskPhase::Reserved)
        return WorkerCommandResult::UnknownTask;
    if (task.phase != TaskPhase::Confirmed)
        return WorkerCommandResult::Ok;
    if (failsEverything) {
        task.phase = TaskPhase::Failed;
        m_ended.insert_or_assign({ task.job, task.attempt }, task);
        m_tasks.erase({ command.job, command.attempt });
        return WorkerCommandResult::Failed;
    }
    task.phase = TaskPhase::Running;
    task.phaseSince = now;
    task.runTime = command.runTime;
    task.leaseEnd = now + taskLease;
    return WorkerCommandResult::Ok;
}

WorkerCommandResult WorkerModel::checkpoint(ModelTask& task, const WorkerCommand& command, TimePoint now)
{
    if (task.phase == TaskPhase::Checkpointing)
        return WorkerCommandResult::Ok;
    if (task.phase != TaskPhase::Running)
        return WorkerCommandResult::UnknownTask;
    task.phase = TaskPhase::Checkpointing;
    task.phaseSince = now;
    // A checkpoint takes half of its grace period.
    task.checkpointEnd = now + command.ttl / 2;
    return WorkerCommandResult::Ok;
}

bool WorkerModel::advanceTask(ModelTask& task, TimePoint now, bool& isEnded)
{
    const Milliseconds elapsed = now - std::max(m_advancedTo, task.phaseSince);
    if (task.phase == TaskPhase::Running && elapsed.count() > 0) {
        const double rate = speed * (task.isThrottled ? throttledRate : 1.0);
        task.progress += Milliseconds(static_cast<std::int64_t>(static_cast<double>(elapsed.count()) * rate));
    }
    if (task.phase == TaskPhase::Running && task.progress >= task.runTime) {
        task.phase = TaskPhase::Finished;
        isEnded = true;
    } else if (task.phase == TaskPhase::Checkpointing && now >= task.checkpointEnd) {
        if (!losesCheckpoints)
            task.checkpointed = task.progress;
        isEnded = true;
    } else if (now >= task.leaseEnd) {
        isEnded = true;
    }
    return isEnded;
}

bool WorkerModel::advance(TimePoint now)
{
    bool hasChanged = false;
    for (auto it = m_tasks.begin(); it != m_tasks.end();) {
        bool isEnded = false;
        hasChanged |= advanceTask(it->second, now, isEnded);
        if (!isEnded) {
            ++it;
            continue;
        }
        const bool isReported
            = it->second.phase == TaskPhase::Finished || it->second.phase == TaskPhase::Checkpointing;
        if (isReported) {
            it->second.phaseSince = now;
            m_ended.insert_or_assign(it->first, it->second);
        }
        it = m_tasks.erase(it);
    }
    std::erase_if(
        m_ended, [now](const auto& item) { return now - item.second.phaseSince > endedTaskRetention; });
    m_advancedTo = std::max(m_advancedTo, now);
    return hasChanged;
}

WorkerReport WorkerModel::report() const
{
    WorkerReport report { m_id, !isDead, {} };
    for (const auto& [key, task] : m_tasks)
        report.tasks.push_back(reportOf(task));
    for (const auto& [key, task] : m_ended) {
        TaskReport ended = reportOf(task);
        // An ended task has released its accelerators, so it reports zero.
        ended.accelerators = 0;
        report.tasks.push_back(ended);
    }
    return report;
}

void WorkerModel::restart()
{
    m_tasks.clear();
    m_ended.clear();
    m_highestToken = 0;
}

} // namespace anvilmoor::standin
