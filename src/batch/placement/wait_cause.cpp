#include "batch/placement/placement_round.h"

// Finds out why a unit is not placed, by placing it under ever stricter conditions.

namespace anvilmoor::batch {

std::string_view nameOf(WaitCause cause)
{
    switch (cause) {
    case WaitCause::NoRoom:
        return "room";
    case WaitCause::ClosedWorkers:
        return "workers that get no new runs";
    case WaitCause::JobRow:
        return "room in the job's row";
    case WaitCause::Locality:
        return "its rack";
    case WaitCause::ReservedRoom:
        return "reserved room";
    case WaitCause::HeldForOthers:
        return "room held for another job";
    case WaitCause::Headroom:
        return "headroom for urgent work";
    case WaitCause::LessUrgentShare:
        return "the share for less urgent work";
    case WaitCause::Turn:
        return "its turn";
    }
    return "unknown";
}

bool PlacementRound::fits(const PlacementRequest& request, CapacityView view) const
{
    return m_placement.place(request, view).has_value();
}

WaitCause PlacementRound::waitCauseOf(
    const JobBook::Entry& entry, JobBook& jobs, const WorkerPool& workers, TimePoint now, WallTime wallTime)
{
    const std::vector<StepPosition> ready = entry.progress.readySteps();
    if (ready.empty())
        return WaitCause::Turn;
    beginRound(jobs, workers);
    const WaitingUnit waiting { entry.progress.firstUnitOf(ready.front()), &entry.progress, &entry.failedOn };
    const ServiceId& service = entry.progress.job().terms.service;
    CapacityView view = capacityOf(workers, now)[service];
    const PlacementRequest asked = requestFor(waiting, view, wallTime);
    PlacementRequest relaxed = asked;
    relaxed.mayRelaxLocality = true;
    if (!fits(relaxed, view))
        return fits(relaxed, capacityWithClosedWorkers(workers)[service]) ? WaitCause::ClosedWorkers
                                                                          : WaitCause::NoRoom;
    ProgressBudget* const budget = budgetOf(entry.progress);
    if (budget && !budget->admits(waiting.unit))
        return WaitCause::JobRow;
    if (!fits(asked, view))
        return WaitCause::Locality;
    for (const auto& [key, reservation] : m_reservations) {
        if (key != keyOf(waiting.unit) && reservation.service == service)
            reserve(view, reservation, true);
    }
    if (!fits(asked, view))
        return WaitCause::ReservedRoom;
    const int rank = urgencyRank(waiting.isGuaranteed, entry.progress.job().terms.priority);
    WorkerHolds::take(m_holds.upTo(rank, service, stepOf(waiting.unit)), view);
    if (!fits(asked, view))
        return WaitCause::HeldForOthers;
    if (!placeWithHeadroom(waiting, asked, view, now))
        return WaitCause::Headroom;
    return m_beyondShare.contains(stepOf(waiting.unit)) ? WaitCause::LessUrgentShare : WaitCause::Turn;
}

} // namespace anvilmoor::batch
