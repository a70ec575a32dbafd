#include "batch/placement/eviction.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace anvilmoor::batch {

namespace {

constexpr double infiniteCost = std::numeric_limits<double>::max();

// Greedy search within a group of workers: places one task at a time on the worker where making room for it
// costs least. If a chosen victim is a gang, the resources that it frees on other workers are available to
// the following tasks.
class GroupSearch {
public:
    GroupSearch(const PlacementRequest& request, const CapacityView& view,
        const std::vector<EvictionCandidate>& candidates, const std::vector<std::size_t>& workers)
        : m_request(request)
        , m_candidates(candidates)
    {
        for (const std::size_t index : workers) {
            const WorkerCapacity& worker = view.workers()[index];
            m_places.emplace(worker.lifetime, Place { &worker, worker.room, {}, 0 });
        }
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            for (const auto& [lifetime, resources] : candidates[i].room) {
                const auto place = m_places.find(lifetime);
                if (place != m_places.end())
                    place->second.candidates.insert(i);
            }
        }
    }

    // Returns nullopt if no plan costs less than `limit`. Stops searching as soon as the limit is reached.
    std::optional<EvictionPlan> run(double limit)
    {
        for (int task = 0; task < m_request.tasks; ++task) {
            Place* best = nullptr;
            VictimSet cheapest;
            cheapest.cost = infiniteCost;
            for (auto& [lifetime, place] : m_places) {
                VictimSet selection = cheapestVictims(lifetime, place);
                if (selection.cost >= cheapest.cost)
                    continue;
                cheapest = std::move(selection);
                best = &place;
            }
            if (!best || m_plan.cost + cheapest.cost >= limit)
                return std::nullopt;
            take(*best, cheapest);
        }
        return std::move(m_plan);
    }

private:
    struct Place {
        const WorkerCapacity* worker = nullptr;
        Resources room;
        std::set<std::size_t> candidates;
        int taken = 0; // number of the unit's tasks that this plan places here
    };
    struct VictimSet {
        double cost = infiniteCost;
        std::vector<std::size_t> victims;
    };

    bool fitsOneMore(const Place& place, const Resources& room) const
    {
        // The limit of tasks per worker also counts the tasks that this plan has placed here.
        Resources free = room;
        for (int i = 0; i < place.taken; ++i)
            free += m_request.perTask;
        return tasksThatFit(m_request, *place.worker, free) > place.taken;
    }

    Resources freedOn(const WorkerLifetime& lifetime, std::size_t candidate) const
    {
        Resources freed;
        for (const auto& [where, resources] : m_candidates[candidate].room) {
            if (where == lifetime)
                freed += resources;
        }
        return freed;
    }

    // Selects victims on one worker until one more task fits, in ascending order of cost per accelerator that
    // they free there. Then drops the victims whose resources turn out not to be needed.
    VictimSet cheapestVictims(const WorkerLifetime& lifetime, const Place& place) const
    {
        VictimSet selection;
        selection.cost = 0;
        Resources room = place.room;
        if (fitsOneMore(place, room))
            return selection;
        std::vector<std::size_t> order(place.candidates.begin(), place.candidates.end());
        const auto price = [&](std::size_t candidate) {
            const auto freed = static_cast<double>(freedOn(lifetime, candidate).accelerators);
            return m_candidates[candidate].cost / std::max(freed, 0.5);
        };
        std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b) { return std::pair(price(a), a) < std::pair(price(b), b); });
        for (const std::size_t candidate : order) {
            room += freedOn(lifetime, candidate);
            selection.victims.push_back(candidate);
            if (fitsOneMore(place, room))
                break;
        }
        if (!fitsOneMore(place, room)) {
            selection.cost = infiniteCost;
            return selection;
        }
        for (std::size_t i = 0; i + 1 < selection.victims.size();) {
            Resources less = room;
            less -= freedOn(lifetime, selection.victims[i]);
            if (!fitsOneMore(place, less)) {
                ++i;
                continue;
            }
            room = less;
            selection.victims.erase(selection.victims.begin() + static_cast<std::ptrdiff_t>(i));
        }
        for (const std::size_t candidate : selection.victims)
            selection.cost += m_candidates[candidate].cost;
        return selection;
    }

    void take(Place& place, const VictimSet& selection)
    {
        for (const std::size_t candidate : selection.victims) {
            const EvictionCandidate& victim = m_candidates[candidate];
            m_plan.victims.insert(m_plan.victims.end(), victim.runs.begin(), victim.runs.end());
            for (const auto& [lifetime, resources] : victim.room) {
                const auto freed = m_places.find(lifetime);
                if (freed == m_places.end())
                    continue;
                freed->second.room += resources;
                freed->second.candidates.erase(candidate);
            }
        }
        place.room -= m_request.perTask;
        ++place.taken;
        m_plan.cost += selection.cost;
        m_plan.workers.push_back(place.worker->lifetime);
    }

    const PlacementRequest& m_request;
    const std::vector<EvictionCandidate>& m_candidates;
    std::map<WorkerLifetime, Place> m_places;
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

std::optional<EvictionPlan> planEviction(const PlacementRequest& request, const CapacityView& view,
    const std::vector<EvictionCandidate>& candidates)
{
    std::optional<EvictionPlan> best;
    for (const std::vector<std::size_t>& group : groupsFor(request, view)) {
        auto plan = GroupSearch(request, view, candidates, group).run(best ? best->cost : infiniteCost);
        if (plan)
            best = std::move(plan);
    }
    return best;
}

} // namespace anvilmoor::batch
