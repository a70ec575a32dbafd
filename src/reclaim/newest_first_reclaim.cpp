#include "reclaim/newest_first_reclaim.h"

#include "reclaim/reclaim_site.h"

#include <algorithm>
#include <numeric>

namespace anvilmoor {

namespace {

std::optional<ReclaimChoice> evictNewestFirst(
    const PlacementRoom& room, const ReclaimRequest& request, std::vector<std::size_t> racks)
{
    ReclaimSite site(room, request, std::move(racks));
    std::vector<ReclaimCandidate> candidates = site.candidates();
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const ReclaimCandidate& left, const ReclaimCandidate& right) {
            return left.holding->startedAt > right.holding->startedAt;
        });
    ReclaimChoice choice;
    for (const ReclaimCandidate& candidate : candidates) {
        if (site.missing() <= 0 && site.members())
            break;
        site.evict(candidate);
        choice.evictions.push_back(candidate.holding->job);
    }
    std::optional<std::vector<GangMember>> members = site.members();
    if (!members)
        return std::nullopt;
    choice.members = std::move(*members);
    return choice;
}

} // namespace

std::optional<ReclaimChoice> NewestFirstReclaim::choose(
    const ZoneInventory& inventory, int accelerators, bool adjacent, TimePoint now) const
{
    return chooseWithin(PlacementRoom(inventory),
        { .accelerators = accelerators, .adjacent = adjacent, .now = now, .rackLimits = {}, .mayEvict = {} });
}

std::optional<ReclaimChoice> NewestFirstReclaim::chooseWithin(
    const PlacementRoom& room, const ReclaimRequest& request) const
{
    if (request.accelerators <= 0)
        return std::nullopt;
    const std::vector<int> reach = reachFor(room, request);
    if (!request.adjacent) {
        std::vector<std::size_t> all(reach.size());
        std::iota(all.begin(), all.end(), std::size_t { 0 });
        return evictNewestFirst(room, request, std::move(all));
    }
    for (const RackRun& run : fittingRuns(reach, request.accelerators, room.inventory().rackSize())) {
        std::vector<std::size_t> racks(run.count);
        std::iota(racks.begin(), racks.end(), run.first);
        if (std::optional<ReclaimChoice> choice = evictNewestFirst(room, request, std::move(racks)))
            return choice;
    }
    return std::nullopt;
}

} // namespace anvilmoor
