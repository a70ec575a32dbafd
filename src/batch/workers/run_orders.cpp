#include "batch/workers/run_supervisor.h"

#include <algorithm>
#include <string>
#include <string_view>

// Sends start and stop orders to workers and handles the answers.

namespace anvilmoor::batch {

namespace {

constexpr Milliseconds startRetryDelay { 100 };
// After the assignment is stored, start orders are resent for this long. Then the run is stopped instead.
constexpr Milliseconds startTimeout { 1'800 };
constexpr Milliseconds stopRetryDelay { 300 };
// A worker that lacks capacity, or cannot be connected to, gets no new runs for this long.
constexpr Milliseconds placementPause { 1'000 };

// Whether the stop order may be sent once more before it is answered or has timed out.
bool mayRepeatStop(const Worker& worker, const LiveRun& run)
{
    const bool isUnconfirmed = run.phase == RunPhase::Stopping && run.stopOrderedAt && !run.stopAcceptedAt;
    return isUnconfirmed && worker.record.isDraining && !run.isStopRepeated;
}

std::string_view reasonOf(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::InsufficientCapacity:
        return "room";
    case OrderOutcome::Outdated:
        return "outdated";
    case OrderOutcome::NotSent:
        return "not connected";
    default:
        return "unhealthy";
    }
}

} // namespace

void RunSupervisor::sendStart(Worker& worker, LiveRun& run, Step& step)
{
    const JobBook::Entry* entry = m_jobs.find(run.id.task.job);
    if (!entry)
        return;
    const Milliseconds lease = leaseFor(worker);
    run.isOrderInFlight = true;
    run.orderedAt = step.now;
    extendLease(worker, lease, step.now);
    step.emit(StartRun { worker.record.lifetime, worker.record.address, run.id,
        entry->progress.job().specification.payload, entry->progress.checkpointOf(run.id.task),
        worker.clock.at(step.now) + lease.count(), tokenOf(worker) });
}

void RunSupervisor::sendStop(Worker& worker, LiveRun& run, Step& step)
{
    run.isOrderInFlight = true;
    run.orderedAt = step.now;
    run.stopOrderedAt = run.stopOrderedAt.value_or(step.now);
    step.emit(StopRun { worker.record.lifetime, worker.record.address, run.id, tokenOf(worker) });
}

void RunSupervisor::stop(const RunId& id, Step& step)
{
    const JobBook::Entry* entry = m_jobs.find(id.task.job);
    const TaskProgress* task = entry ? entry->progress.find(id.task) : nullptr;
    Worker* worker = task && task->assignment ? m_workers.find(task->assignment->worker) : nullptr;
    LiveRun* run = worker ? findRun(*worker, id) : nullptr;
    if (!run || run->phase == RunPhase::Stopping)
        return;
    if (run->phase == RunPhase::AwaitingCommit) {
        finish(*worker, id, RunEnd::Stopped, {}, step);
        return;
    }
    run->phase = RunPhase::Stopping;
    sendStop(*worker, *run, step);
    markDue(*worker);
}

void RunSupervisor::stopAll(std::span<const RunId> runs, Step& step)
{
    for (const RunId& run : runs)
        stop(run, step);
}

// The conditions of tickRun().
TimePoint RunSupervisor::nextOrderAt(const Worker& worker, const LiveRun& run)
{
    if (run.isOrderInFlight)
        return mayRepeatStop(worker, run) ? run.orderedAt + overdueAnswerTime : TimePoint::max();
    if (run.phase == RunPhase::Starting)
        return run.orderedAt + startRetryDelay;
    if (run.phase == RunPhase::Stopping && !run.stopAcceptedAt)
        return run.orderedAt + stopRetryDelay;
    return TimePoint::max();
}

void RunSupervisor::tickRun(Worker& worker, LiveRun& run, Step& step)
{
    if (run.isOrderInFlight) {
        if (mayRepeatStop(worker, run) && step.now >= run.orderedAt + overdueAnswerTime) {
            run.isStopRepeated = true;
            sendStop(worker, run, step);
        }
        return;
    }
    if (run.phase == RunPhase::Starting && step.now >= run.orderedAt + startRetryDelay) {
        if (step.now < run.assignedAt + startTimeout) {
            sendStart(worker, run, step);
            return;
        }
        step.warn("run.start_timeout",
            { { "job", run.id.task.job.value() }, { "worker", worker.record.lifetime.id.value() } });
        abandonStart(worker, run, step);
        return;
    }
    if (run.phase != RunPhase::Stopping || run.stopAcceptedAt)
        return;
    if (step.now >= run.orderedAt + stopRetryDelay)
        sendStop(worker, run, step);
}

// Stops a run that may start late or may have started. The other members of its gang are not kept waiting for
// the confirmation of this stop, which may come only with the expiry of the lease.
void RunSupervisor::abandonStart(Worker& worker, LiveRun& run, Step& step)
{
    run.phase = RunPhase::Stopping;
    sendStop(worker, run, step);
    if (const JobBook::Entry* entry = m_jobs.find(run.id.task.job))
        stopAll(entry->progress.gangMembers(run.id), step);
}

// Returns null if the run has ended in the meantime.
LiveRun* RunSupervisor::takeAnswer(Worker& worker, const RunId& id, WorkerClock clock, TimePoint now)
{
    LiveRun* run = findRun(worker, id);
    if (!run)
        return nullptr;
    run->isOrderInFlight = false;
    worker.clock.note(clock, now);
    return run;
}

void RunSupervisor::startAnswered(const StartAnswered& answer, Step& step)
{
    Worker* worker = addressee(answer.worker, answer.token);
    LiveRun* run = worker ? takeAnswer(*worker, answer.run, answer.clock, step.now) : nullptr;
    if (!run)
        return;
    switch (answer.outcome) {
    case OrderOutcome::Accepted:
        noteStarted(*run, step.now);
        if (JobBook::Entry* entry = m_jobs.find(answer.run.task.job))
            entry->progress.noteBegun();
        return;
    case OrderOutcome::NotSent:
        startNotSent(*worker, *run, step);
        return;
    case OrderOutcome::Unknown:
        run->mayStartLate = true;
        return;
    case OrderOutcome::OtherLifetime:
        endLifetime(*worker, "another lifetime answered a start order", 0, step);
        return;
    case OrderOutcome::Rejected:
    case OrderOutcome::InsufficientCapacity:
    case OrderOutcome::Outdated:
        rejected(*worker, *run, answer.outcome, step);
        return;
    }
}

// The worker has to answer before it gets new runs. A run of which no start order was sent is not waited for.
void RunSupervisor::startNotSent(Worker& worker, LiveRun& run, Step& step)
{
    if (run.mayStartLate || run.acceptedAt)
        return;
    worker.unansweredHolds = std::max(worker.unansweredHolds, 1);
    worker.nextHoldAt = step.now;
    const RunId id = run.id;
    rejected(worker, run, OrderOutcome::NotSent, step);
    // It may be stopping, because another member of its gang has ended.
    if (findRun(worker, id))
        finish(worker, id, RunEnd::Stopped, {}, step);
}

void RunSupervisor::rejected(Worker& worker, LiveRun& run, OrderOutcome outcome, Step& step)
{
    step.warn("run.rejected",
        { { "job", run.id.task.job.value() }, { "run", std::to_string(run.id.run) },
            { "worker", worker.record.lifetime.id.value() }, { "reason", std::string(reasonOf(outcome)) } });
    if (outcome == OrderOutcome::InsufficientCapacity || outcome == OrderOutcome::NotSent)
        worker.noPlacementUntil = step.now + placementPause;
    if (outcome == OrderOutcome::Rejected)
        worker.health.orderRefused(step.now);
    if (run.phase == RunPhase::Stopping)
        return;
    if (run.mayStartLate) {
        abandonStart(worker, run, step);
        return;
    }
    finish(worker, RunId(run.id), RunEnd::Stopped, {}, step);
}

void RunSupervisor::stopAnswered(const StopAnswered& answer, Step& step)
{
    Worker* worker = addressee(answer.worker, answer.token);
    LiveRun* run = worker ? takeAnswer(*worker, answer.run, answer.clock, step.now) : nullptr;
    if (!run)
        return;
    recordSlowAnswer(*worker, "stop", run->orderedAt, answer.outcome, step);
    if (answer.outcome == OrderOutcome::OtherLifetime)
        endLifetime(*worker, "another lifetime answered a stop order", 0, step);
    else if (answer.outcome == OrderOutcome::Accepted && !run->stopAcceptedAt)
        run->stopAcceptedAt = step.now;
}

} // namespace anvilmoor::batch
