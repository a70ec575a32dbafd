#include "batch/placement/worker_holds.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <utility>

namespace anvilmoor::batch {

namespace {

// Share of a service's workers on which room is held at most. A single hold may take more.
constexpr double maxHeldShare = 0.35;
// Estimates are often wrong, so the choice of workers is made anew after this time.
constexpr Milliseconds reconsiderationInterval { 500 };

} // namespace

int urgencyRank(bool isGuaranteed, int priority) { return isGuaranteed ? 0 : priority + 1; }

void WorkerHolds::beginRound(std::span<const WaitingStep> waiting, CapacityViews& views)
{
    std::map<StepId, WorkerHold> holds;
    std::map<StepId, TimePoint> heldSince;
    for (const WaitingStep& step : waiting) {
        const auto since = m_heldSince.find(step.id());
        if (since != m_heldSince.end())
            heldSince.insert(*since);
        const auto held = m_holds.find(step.id());
        if (held == m_holds.end())
            continue;
        WorkerHold& hold = held->second;
        CapacityView& view = views[hold.service];
        const bool isComplete = std::all_of(hold.workers.begin(), hold.workers.end(),
            [&view](const WorkerLifetime& worker) { return view.find(worker); });
        if (!isComplete)
            continue;
        hold.rank = urgencyRank(step.isGuaranteed, step.job->job().terms.priority);
        holds.emplace(step.id(), std::move(hold));
    }
    m_holds = std::move(holds);
    m_heldSince = std::move(heldSince);
    m_appliedRank = nothingApplied;
    m_exhausted.clear();
}

void WorkerHolds::applyUpTo(int rank, CapacityViews& views)
{
    for (const auto& [step, hold] : m_holds) {
        if (hold.rank > m_appliedRank && hold.rank <= rank)
            take(hold, views[hold.service]);
    }
    m_appliedRank = std::max(m_appliedRank, rank);
}

template <typename Predicate>
WorkerHolds::Selection WorkerHolds::select(const ServiceId& service, Predicate isSelected) const
{
    Selection selection;
    for (const auto& [step, hold] : m_holds) {
        if (hold.service == service && isSelected(step, hold))
            selection.push_back(&hold);
    }
    return selection;
}

std::set<WorkerLifetime> WorkerHolds::workersHeldIn(const ServiceId& service, int rank) const
{
    std::set<WorkerLifetime> workers;
    for (const auto& [step, hold] : m_holds) {
        if (hold.service == service && hold.rank <= rank)
            workers.insert(hold.workers.begin(), hold.workers.end());
    }
    return workers;
}

std::size_t WorkerHolds::heldWorkers(const ServiceId& service) const
{
    return workersHeldIn(service, std::numeric_limits<int>::max()).size();
}

bool WorkerHolds::isWithinShare(const WorkerHold& added, const CapacityView& view) const
{
    // Less urgent holds do not count: the added step need not leave their room alone.
    std::set<WorkerLifetime> workers = workersHeldIn(added.service, added.rank);
    if (workers.empty())
        return true;
    workers.insert(added.workers.begin(), added.workers.end());
    return static_cast<double>(workers.size()) <= maxHeldShare * static_cast<double>(view.workers().size());
}

void WorkerHolds::add(const StepId& step, int rank, const PlacementRequest& request, const ServiceId& service,
    CapacityView& view, RoomForecast& forecast, TimePoint now)
{
    if (m_holds.contains(step) || m_exhausted.contains(service))
        return;
    auto fit = forecast.earliestFit(request, view);
    if (!fit) {
        // It may only be the room of other holds that the step lacks.
        const bool hasOthers = !select(service, [](const auto&, const auto&) { return true; }).empty();
        if (hasOthers && couldEverFit(request, view))
            m_exhausted.insert(service);
        return;
    }
    const auto known = m_heldSince.find(step);
    const TimePoint since = known == m_heldSince.end() ? now : known->second;
    WorkerHold hold { std::move(fit->workers), request.perTask, service, rank, since, now };
    if (!isWithinShare(hold, view)) {
        m_exhausted.insert(service);
        return;
    }
    take(hold, view);
    m_heldSince.emplace(step, since);
    m_holds.emplace(step, std::move(hold));
}

void WorkerHolds::reconsider(const StepId& step, const PlacementRequest& request, CapacityView& view,
    RoomForecast& forecast, TimePoint now)
{
    const auto found = m_holds.find(step);
    if (found == m_holds.end() || now < found->second.chosenAt + reconsiderationInterval)
        return;
    WorkerHold& hold = found->second;
    putBack(hold, view);
    if (auto fit = forecast.earliestFit(request, view))
        hold.workers = std::move(fit->workers);
    hold.chosenAt = now;
    take(hold, view);
}

void WorkerHolds::clear()
{
    m_holds.clear();
    m_heldSince.clear();
    m_exhausted.clear();
}

const WorkerHold* WorkerHolds::find(const StepId& step) const
{
    const auto found = m_holds.find(step);
    return found == m_holds.end() ? nullptr : &found->second;
}

WorkerHolds::Selection WorkerHolds::open(const ServiceId& service, const StepId& own, TimePoint now) const
{
    return select(service, [&](const StepId& step, const WorkerHold& hold) {
        return step != own && hold.rank <= m_appliedRank && now >= hold.exclusiveUntil;
    });
}

bool WorkerHolds::hasExclusive(const ServiceId& service, TimePoint now) const
{
    return std::any_of(m_holds.begin(), m_holds.end(), [&](const auto& entry) {
        return entry.second.service == service && now < entry.second.exclusiveUntil;
    });
}

std::vector<StepId> WorkerHolds::moreUrgentOn(const WorkerLifetime& worker, int rank) const
{
    std::vector<StepId> steps;
    for (const auto& [step, hold] : m_holds) {
        const bool holdsWorker
            = std::find(hold.workers.begin(), hold.workers.end(), worker) != hold.workers.end();
        if (hold.rank < rank && holdsWorker)
            steps.push_back(step);
    }
    return steps;
}

void WorkerHolds::makeExclusive(
    const StepId& step, std::vector<WorkerLifetime> workers, TimePoint until, TimePoint now)
{
    WorkerHold& hold = m_holds.at(step);
    hold.workers = std::move(workers);
    hold.chosenAt = now;
    hold.exclusiveUntil = until;
}

WorkerHolds::Selection WorkerHolds::upTo(int rank, const ServiceId& service, const StepId& own) const
{
    return select(service,
        [&](const StepId& step, const WorkerHold& hold) { return step != own && hold.rank <= rank; });
}

void WorkerHolds::take(const WorkerHold& hold, CapacityView& view)
{
    for (const WorkerLifetime& worker : hold.workers) {
        if (WorkerCapacity* capacity = view.find(worker))
            capacity->room -= hold.perTask;
    }
}

void WorkerHolds::putBack(const WorkerHold& hold, CapacityView& view)
{
    for (const WorkerLifetime& worker : hold.workers) {
        if (WorkerCapacity* capacity = view.find(worker))
            capacity->room += hold.perTask;
    }
}

void WorkerHolds::take(std::span<const WorkerHold* const> holds, CapacityView& view)
{
    for (const WorkerHold* hold : holds)
        take(*hold, view);
}

void WorkerHolds::putBack(std::span<const WorkerHold* const> holds, CapacityView& view)
{
    for (const WorkerHold* hold : holds)
        putBack(*hold, view);
}

bool WorkerHolds::fill(const WorkerHold& hold, const PlacementRequest& request, CapacityView& view)
{
    std::map<WorkerLifetime, int> tasks;
    for (const WorkerLifetime& worker : hold.workers)
        ++tasks[worker];
    for (const auto& [worker, count] : tasks) {
        const WorkerCapacity* capacity = view.find(worker);
        if (!capacity || tasksThatFit(request, *capacity, capacity->room) < count)
            return false;
    }
    take(hold, view);
    return true;
}

} // namespace anvilmoor::batch
