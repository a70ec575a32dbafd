#include "batch/placement/placement_round.h"

#include <algorithm>
#include <utility>

// How a placement round makes room for units that do not fit: evictions, holds and stops of backfill.

namespace anvilmoor::batch {

namespace {

// How long room is reserved for the unit for which runs were evicted. Evicted runs have ended once they are
// stopped; room that is still not free after this time is offered to all units again.
constexpr Milliseconds reservationTimeout { 2'500 };

// A step for which backfill was stopped has this much longer than a stop takes until it must have started.
constexpr Milliseconds startMargin { 300 };

} // namespace

// Evicts other work for an urgent unit that does not fit, or keeps workers for it.
void PlacementRound::makeRoomFor(const WaitingUnit& waiting, const PlacementRequest& request,
    CapacityView& view, PlacementOutcome& outcome, TimePoint now, WallTime wallTime)
{
    // Late work gains little from an eviction, so it may evict only if it is guaranteed.
    const AcceptedJob& job = waiting.job->job();
    const bool isInTime
        = wallTime + request.step.estimatedDuration < job.dueAt(waiting.unit.occurrence) + job.objective();
    const bool mayEvict = !job.terms.priority && (waiting.isGuaranteed || isInTime);
    if (mayEvict && evictFor(waiting, request, view, outcome, now))
        return;
    if (stopBackfillFor(waiting, request, view, outcome, now))
        return;
    holdFor(waiting, request, view, now);
    if (isDecidedByShape(waiting))
        noteUnplaceable(m_unplaceable, shapeOf(waiting, request), request.tasks);
}

// Keeps room for the unit, so that work behind it does not take the room as it becomes free.
void PlacementRound::holdFor(
    const WaitingUnit& waiting, const PlacementRequest& request, CapacityView& view, TimePoint now)
{
    const QueueTerms& terms = waiting.job->job().terms;
    m_holds.add(stepOf(waiting.unit), urgencyRank(waiting.isGuaranteed, terms.priority), request,
        terms.service, view, *m_forecast, now);
    if (m_holds.exhausted().contains(terms.service))
        m_lessUrgentShare.noteWaitingWithoutHold(terms.service, terms.priority);
}

EvictionCandidates& PlacementRound::candidatesFor(
    const CapacityView& view, const ServiceId& service, int priority, TimePoint now)
{
    const ServicePriority key(service, priority);
    const auto known = m_candidates.find(key);
    if (known != m_candidates.end())
        return known->second;
    const EvictionCandidateFinder finder(*m_workers, *m_jobs, m_evictionCounts, m_stopTimeout, now);
    return m_candidates.emplace(key, EvictionCandidates(view, finder.find(service, priority))).first->second;
}

void PlacementRound::addEviction(const WaitingUnit& waiting, EvictionPlan& plan, PlacementOutcome& outcome)
{
    std::set<JobId> stopped;
    for (const RunId& victim : plan.victims)
        stopped.insert(victim.task.job);
    for (const JobId& job : stopped)
        ++m_evictionCounts[job];
    if (!plan.victims.empty())
        outcome.evictions.push_back({ std::move(plan.victims), waiting.unit.job, plan.cost });
}

bool PlacementRound::evictFor(const WaitingUnit& waiting, const PlacementRequest& request, CapacityView& view,
    PlacementOutcome& outcome, TimePoint now)
{
    const QueueTerms& terms = waiting.job->job().terms;
    EvictionCandidates& candidates = candidatesFor(view, terms.service, terms.priority, now);
    auto plan = planEviction(request, view, candidates);
    if (!plan)
        return false;
    candidates.noteStopping(plan->candidates);
    addEviction(waiting, *plan, outcome);
    Reservation reservation { std::move(plan->workers), request.perTask, terms.service,
        now + reservationTimeout };
    reserve(view, reservation, true);
    m_reservations.emplace(keyOf(waiting.unit), std::move(reservation));
    return true;
}

// Room that is missing now, after the unit was placed, is held for other steps.
void PlacementRound::noteBackfill(
    const WaitingUnit& waiting, std::span<const WorkerLifetime> workers, CapacityView& view)
{
    const int rank = urgencyRank(waiting.isGuaranteed, waiting.job->job().terms.priority);
    std::vector<StepId> lenders;
    for (const WorkerLifetime& lifetime : workers) {
        const WorkerCapacity* worker = view.find(lifetime);
        if (!worker || Resources().fitsIn(worker->room))
            continue;
        const std::vector<StepId> steps = m_holds.moreUrgentOn(lifetime, rank);
        lenders.insert(lenders.end(), steps.begin(), steps.end());
    }
    m_backfill.add(waiting.unit, rank, workers, std::move(lenders));
}

bool PlacementRound::stopBackfillFor(const WaitingUnit& waiting, const PlacementRequest& request,
    CapacityView& view, PlacementOutcome& outcome, TimePoint now)
{
    const StepId step = stepOf(waiting.unit);
    const WorkerHold* const hold = m_holds.find(step);
    if (!hold || m_backfill.isEmpty())
        return false;
    const QueueTerms& terms = waiting.job->job().terms;
    const std::set<RunId> stoppable
        = m_backfill.stoppableBy(urgencyRank(waiting.isGuaranteed, terms.priority), now);
    if (stoppable.empty())
        return false;
    const EvictionCandidateFinder finder(*m_workers, *m_jobs, m_evictionCounts, m_stopTimeout, now);
    WorkerHolds::putBack(*hold, view);
    auto plan
        = planEviction(request, view, EvictionCandidates(view, finder.findAmong(terms.service, stoppable)));
    // Not renewed while it waits for earlier stops: a run may take long to end.
    if (plan && !plan->victims.empty()) {
        const TimePoint startBy = now + m_stopTimeout + startMargin;
        m_backfill.noteStopped(plan->victims, startBy);
        addEviction(waiting, *plan, outcome);
        m_holds.makeExclusive(step, std::move(plan->workers), startBy, now);
    }
    WorkerHolds::take(*hold, view);
    return plan.has_value();
}

} // namespace anvilmoor::batch
