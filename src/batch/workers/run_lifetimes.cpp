#include "batch/workers/run_supervisor.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

// Ends lifetimes of workers, and what was running in them.

namespace anvilmoor::batch {

namespace {

// An order without an answer is carried out at most this much later.
constexpr Milliseconds maxOrderDelay { 12'000 };

// Whether a later lifetime of the worker may have received the start order, or may still receive it: orders
// name the worker, but not its lifetime.
bool mayStartInNextLifetime(const LiveRun& run)
{
    return run.phase != RunPhase::AwaitingCommit && (run.mayStartLate || !run.wasListed);
}

} // namespace

void RunSupervisor::recordLifetimeEnd(
    const Worker& worker, std::string_view reason, std::int64_t nextStartedAtMs, Step& step)
{
    std::map<RunPhase, int> phases;
    int mayStartLate = 0;
    int furthestPercent = 0;
    for (const auto& [task, run] : worker.runs) {
        ++phases[run.phase];
        mayStartLate += run.mayStartLate;
        furthestPercent = std::max(furthestPercent, run.progress.lastPercent());
    }
    step.warn("worker.lifetime_over",
        { { "worker", worker.record.lifetime.id.value() },
            { "born_ms", std::to_string(worker.record.lifetime.startedAtMs) },
            { "next_born_ms", std::to_string(nextStartedAtMs) }, { "reason", std::string(reason) },
            { "starting", std::to_string(phases[RunPhase::Starting]) },
            { "running", std::to_string(phases[RunPhase::Running]) },
            { "stopping", std::to_string(phases[RunPhase::Stopping]) },
            { "may_start_late", std::to_string(mayStartLate) },
            { "furthest_percent", std::to_string(furthestPercent) },
            { "is_hold_open", worker.openHolds.empty() ? "no" : "yes" },
            { "hold_sent_ms_ago", std::to_string((step.now - worker.holdSentAt).count()) },
            { "unanswered_holds", std::to_string(worker.unansweredHolds) },
            { "ends_read", std::to_string(worker.processedEnd) },
            { "ends_stored", std::to_string(worker.storedEnd) },
            { "ends_acknowledged", std::to_string(worker.acknowledgedEnd) } });
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
    // The next leader shall wait for what the next lifetime may start.
    m_silentWorkers.forget(worker.record.lifetime);
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
    m_lateOrdersUntil = step.now + maxOrderDelay;
    for (LiveRun& run : moved) {
        m_workers.detach(worker, run.id.task);
        run.phase = RunPhase::Stopping;
        run.acceptedAt.reset();
        run.stopOrderedAt.reset();
        run.stopAcceptedAt.reset();
        sendStop(next, m_workers.attach(next, std::move(run)), step);
    }
    markDue(next);
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
    markDue(worker);
    forgetIfGone(WorkerLifetime(worker.record.lifetime));
}

void RunSupervisor::forgetIfGone(const WorkerLifetime& lifetime)
{
    const Worker* worker = m_workers.find(lifetime);
    // An answer that is still due would be taken for one to a later request if the worker were listed again.
    if (worker && !worker->isListed && worker->runs.empty() && worker->openHolds.empty())
        m_workers.erase(lifetime);
}

} // namespace anvilmoor::batch
