#include "batch/placement/eviction.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace anvilmoor::batch {

namespace {

constexpr double infiniteCost = std::numeric_limits<double>::max();

// Greedy search within a group of workers: places one task at a time on the worker where making room for it
// costs least. If a chosen victim is a gang, the resources that it frees on other workers are available to
// the following tasks.
class GroupSearch {
public:
    // `workers`: indices into the view's workers, in ascending order.
    GroupSearch(const PlacementRequest& request, const CapacityView& view,
        const EvictionCandidates& candidates, std::span<const std::size_t> workers)
        : m_request(request)
        , m_view(view)
        , m_candidates(candidates)
        , m_workers(workers)
    {
    }

    // Returns nullopt if no plan costs less than `limit`. Stops searching as soon as the limit is reached.
    std::optional<EvictionPlan> run(double limit)
    {
        if (!couldFit())
            return std::nullopt;
        addPlaces();
        for (int task = 0; task < m_request.tasks; ++task) {
            Place* best = nullptr;
            for (Place& place : m_places) {
                if (!place.cheapest)
                    place.cheapest = cheapestVictims(place);
                if (place.cheapest->cost < (best ? best->cheapest->cost : infiniteCost))
                    best = &place;
            }
            if (!best || m_plan.cost + best->cheapest->cost >= limit)
                return std::nullopt;
            take(*best);
        }
        return std::move(m_plan);
    }

private:
    struct VictimSet {
        double cost = infiniteCost;
        std::vector<std::size_t> victims;
    };
    struct Place {
        const WorkerCapacity* worker = nullptr;
        Resources room;
        std::vector<EvictionCandidates::Freed> candidates; // those that this plan does not stop yet
        int taken = 0; // number of the unit's tasks that this plan places here
        std::optional<VictimSet> cheapest; // for one more task; empty if it has to be determined again
    };

    // Whether the unit would fit if all candidates were stopped.
    bool couldFit() const
    {
        int tasks = 0;
        for (const std::size_t index : m_workers) {
            const WorkerCapacity& worker = m_view.workers()[index];
            Resources room = worker.room;
            room += m_candidates.freeableOn(index);
            tasks += tasksThatFit(m_request, worker, room);
            if (tasks >= m_request.tasks)
                return true;
        }
        return false;
    }

    void addPlaces()
    {
        m_places.reserve(m_workers.size());
        for (const std::size_t index : m_workers) {
            const WorkerCapacity& worker = m_view.workers()[index];
            const auto candidates = m_candidates.onWorker(index);
            m_places.push_back({ &worker, worker.room, { candidates.begin(), candidates.end() } });
        }
    }

    Place* placeOn(std::size_t worker)
    {
        const auto found = std::lower_bound(m_workers.begin(), m_workers.end(), worker);
        if (found == m_workers.end() || *found != worker)
            return nullptr;
        return &m_places[static_cast<std::size_t>(found - m_workers.begin())];
    }

    bool fitsOneMore(const Place& place, const Resources& room) const
    {
        // The limit of tasks per worker also counts the tasks that this plan has placed here.
        Resources free = room;
        for (int i = 0; i < place.taken; ++i)
            free += m_request.perTask;
        return tasksThatFit(m_request, *place.worker, free) > place.taken;
    }

    double costOf(const EvictionCandidates::Freed& freed) const
    {
        return m_candidates.all()[freed.candidate].cost;
    }

    // Selects victims on one worker until one more task fits, in ascending order of cost per accelerator that
    // they free there. Then drops the victims whose resources turn out not to be needed.
    VictimSet cheapestVictims(const Place& place) const
    {
        VictimSet selection;
        selection.cost = 0;
        Resources room = place.room;
        if (fitsOneMore(place, room))
            return selection;
        std::vector<EvictionCandidates::Freed> order = place.candidates;
        const auto price = [this](const EvictionCandidates::Freed& freed) {
            const auto accelerators = static_cast<double>(freed.resources.accelerators);
            return std::pair(costOf(freed) / std::max(accelerators, 0.5), freed.candidate);
        };
        std::sort(order.begin(), order.end(),
            [&price](const auto& a, const auto& b) { return price(a) < price(b); });
        std::vector<EvictionCandidates::Freed> victims;
        for (const EvictionCandidates::Freed& freed : order) {
            room += freed.resources;
            victims.push_back(freed);
            if (fitsOneMore(place, room))
                break;
        }
        if (!fitsOneMore(place, room)) {
            selection.cost = infiniteCost;
            return selection;
        }
        for (std::size_t i = 0; i + 1 < victims.size();) {
            Resources less = room;
            less -= victims[i].resources;
            if (!fitsOneMore(place, less)) {
                ++i;
                continue;
            }
            room = less;
            victims.erase(victims.begin() + static_cast<std::ptrdiff_t>(i));
        }
        for (const EvictionCandidates::Freed& freed : victims) {
            selection.victims.push_back(freed.candidate);
            selection.cost += costOf(freed);
        }
        return selection;
    }

    void take(Place& place)
    {
        const VictimSet selection = *std::exchange(place.cheapest, std::nullopt);
        for (const std::size_t candidate : selection.victims) {
            const std::vector<RunId>& runs = m_candidates.all()[candidate].runs;
            m_plan.victims.insert(m_plan.victims.end(), runs.begin(), runs.end());
            m_plan.candidates.push_back(candidate);
            for (const EvictionCandidates::Freed& freed : m_candidates.byCandidate(candidate)) {
                Place* where = placeOn(freed.worker);
                if (!where)
                    continue;
                where->room += freed.resources;
                where->cheapest.reset();
                std::erase_if(where->candidates,
                    [candidate](const auto& other) { return other.candidate == candidate; });
            }
        }
        place.room -= m_request.perTask;
        ++place.taken;
        m_plan.cost += selection.cost;
        m_plan.workers.push_back(place.worker->lifetime);
    }

    const PlacementRequest& m_request;
    const CapacityView& m_view;
    const EvictionCandidates& m_candidates;
    std::span<const std::size_t> m_workers;
    std::vector<Place> m_places; // in the order of m_workers
    EvictionPlan m_plan;
};

std::vector<std::vector<std::size_t>> groupsFor(const PlacementRequest& request, const CapacityView& view)
{
    std::vector<std::vector<std::size_t>> groups;
    if (request.tasks > 1 && request.step.needsOneRack && !request.mayRelaxLocality) {
        for (const auto& [rack, workers] : view.racks())
            groups.push_back(workers);
        return groups;
    }
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < view.workers().size(); ++i) {
        const WorkerCapacity& worker = view.workers()[i];
        const bool isLocal = request.step.dataRack.empty() || worker.rack.value() == request.step.dataRack;
        if (isLocal || request.mayRelaxLocality)
            all.push_back(i);
    }
    groups.push_back(std::move(all));
    return groups;
}

} // namespace

std::optional<EvictionPlan> planEviction(
    const PlacementRequest& request, const CapacityView& view, const EvictionCandidates& candidates)
{
    std::optional<EvictionPlan> best;
    for (const std::vector<std::size_t>& group : groupsFor(request, view)) {
        auto plan = GroupSearch(request, view, candidates, group).run(best ? best->cost : infiniteCost);
        if (plan)
            best = std::move(plan);
        if (best && best->cost <= 0)
            break;
    }
    return best;
}

} // namespace anvilmoor::batch
