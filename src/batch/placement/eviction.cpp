#include "batch/placement/eviction.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace anvilmoor::batch {

namespace {

// The search for one group of workers: candidates go, cheapest for the room that they add first, until the
// unit fits.
class GroupSearch {
public:
    GroupSearch(const PlacementRequest& request, const CapacityView& view,
        const std::vector<EvictionCandidate>& candidates, const std::vector<std::size_t>& workers)
        : m_request(request)
        , m_view(view)
        , m_candidates(candidates)
    {
        for (const std::size_t index : workers)
            m_rooms.emplace(view.workers()[index].lifetime, &view.workers()[index]);
    }

    // Indices of the candidates that go; empty if they do not suffice.
    std::optional<std::vector<std::size_t>> run(double& lostWork)
    {
        for (const auto& [lifetime, worker] : m_rooms)
            m_room[lifetime] = worker->room;
        std::vector<std::size_t> chosen;
        std::set<std::size_t> left;
        for (std::size_t i = 0; i < m_candidates.size(); ++i)
            left.insert(i);
        int fitting = countFitting(m_room);
        while (fitting < m_request.tasks) {
            const auto next = cheapest(left, fitting);
            if (!next)
                return std::nullopt;
            free(m_room, m_candidates[*next]);
            lostWork += m_candidates[*next].lostWork;
            chosen.push_back(*next);
            left.erase(*next);
            fitting = countFitting(m_room);
        }
        return chosen;
    }

private:
    using Rooms = std::map<WorkerLifetime, Resources>;

    int fittingOn(const WorkerLifetime& lifetime, const Resources& room) const
    {
        return tasksThatFit(m_request, *m_rooms.at(lifetime), room);
    }

    int countFitting(const Rooms& rooms) const
    {
        int fitting = 0;
        for (const auto& [lifetime, room] : rooms)
            fitting += fittingOn(lifetime, room);
        return fitting;
    }

    static void free(Rooms& rooms, const EvictionCandidate& candidate)
    {
        for (const auto& [lifetime, resources] : candidate.room) {
            const auto room = rooms.find(lifetime);
            if (room != rooms.end())
                room->second += resources;
        }
    }

    // A candidate that makes no task fit yet still counts by the part of one that it frees.
    double gainOf(const EvictionCandidate& candidate) const
    {
        double gain = 0;
        for (const auto& [lifetime, resources] : candidate.room) {
            const auto room = m_room.find(lifetime);
            if (room == m_room.end())
                continue;
            Resources freed = room->second;
            const int before = fittingOn(lifetime, freed);
            freed += resources;
            gain += fittingOn(lifetime, freed) - before;
            if (m_request.perTask.accelerators && m_rooms.at(lifetime)->whole.accelerators)
                gain += partialWeight * static_cast<double>(resources.accelerators)
                    / static_cast<double>(m_request.perTask.accelerators);
        }
        return gain;
    }

    std::optional<std::size_t> cheapest(const std::set<std::size_t>& left, int) const
    {
        std::optional<std::size_t> best;
        double bestPrice = std::numeric_limits<double>::max();
        for (const std::size_t index : left) {
            const double gain = gainOf(m_candidates[index]);
            if (gain <= 0)
                continue;
            const double price = (m_candidates[index].lostWork + smallestLoss) / gain;
            if (price >= bestPrice)
                continue;
            best = index;
            bestPrice = price;
        }
        return best;
    }

    static constexpr double partialWeight = 0.3;
    static constexpr double smallestLoss = 1; // core-seconds; a stop is never free

    const PlacementRequest& m_request;
    const CapacityView& m_view;
    const std::vector<EvictionCandidate>& m_candidates;
    std::map<WorkerLifetime, const WorkerCapacity*> m_rooms;
    Rooms m_room;
};

std::vector<std::vector<std::size_t>> groupsFor(const PlacementRequest& request, const CapacityView& view)
{
    std::vector<std::vector<std::size_t>> groups;
    if (request.tasks > 1 && request.step.needsOneRack && !request.mayUseSlowPlaces) {
        for (const auto& [rack, workers] : view.racks())
            groups.push_back(workers);
        return groups;
    }
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < view.workers().size(); ++i) {
        const WorkerCapacity& worker = view.workers()[i];
        const bool isLocal = request.step.dataRack.empty() || worker.rack.value() == request.step.dataRack;
        if (isLocal || request.mayUseSlowPlaces)
            all.push_back(i);
    }
    groups.push_back(std::move(all));
    return groups;
}

} // namespace

std::optional<EvictionPlan> planEviction(const PlacementRequest& request, const CapacityView& view,
    std::vector<EvictionCandidate> candidates, const PlacementPolicy& placement)
{
    std::optional<std::vector<std::size_t>> best;
    double leastLost = std::numeric_limits<double>::max();
    for (const std::vector<std::size_t>& group : groupsFor(request, view)) {
        double lost = 0;
        auto chosen = GroupSearch(request, view, candidates, group).run(lost);
        if (!chosen || lost >= leastLost)
            continue;
        best = std::move(chosen);
        leastLost = lost;
    }
    if (!best)
        return std::nullopt;
    CapacityView freed = view;
    EvictionPlan plan;
    for (const std::size_t index : *best) {
        const EvictionCandidate& candidate = candidates[index];
        plan.victims.insert(plan.victims.end(), candidate.runs.begin(), candidate.runs.end());
        for (const auto& [lifetime, resources] : candidate.room) {
            if (WorkerCapacity* worker = freed.find(lifetime))
                worker->room += resources;
        }
    }
    auto workers = placement.place(request, freed);
    if (!workers)
        return std::nullopt;
    plan.workers = std::move(*workers);
    return plan;
}

} // namespace anvilmoor::batch
