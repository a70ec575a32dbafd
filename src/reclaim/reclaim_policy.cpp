#include "reclaim/reclaim_policy.h"

#include <algorithm>

namespace anvilmoor {

namespace {

bool isWithinLimits(
    const ZoneInventory& inventory, std::span<const GangMember> members, std::span<const int> limits)
{
    std::vector<int> left(limits.begin(), limits.end());
    return limits.empty() || std::all_of(members.begin(), members.end(), [&](const GangMember& member) {
        const WorkerCapacity* worker = inventory.find(member.worker);
        return worker && (left[worker->rack] -= member.accelerators) >= 0;
    });
}

} // namespace

std::optional<ReclaimChoice> ReclaimPolicy::chooseWithin(
    const PlacementRoom& room, const ReclaimRequest& request) const
{
    const ZoneInventory& inventory = room.inventory();
    std::optional<ReclaimChoice> choice
        = choose(inventory, request.accelerators, request.adjacent, request.now);
    if (!choice || !room.canReach(choice->members)
        || !isWithinLimits(inventory, choice->members, request.rackLimits))
        return std::nullopt;
    // After the evictions, each member's accelerators must be free or leaving.
    PlacementRoom after = room;
    for (const JobId& job : choice->evictions) {
        const Holding* holding = inventory.find(job);
        if (!holding || !room.isEvictable(*holding) || (request.mayEvict && !request.mayEvict(*holding)))
            return std::nullopt;
        after.evict(job);
    }
    for (const GangMember& member : choice->members) {
        const Room& worker = after.workers()[inventory.indexOf(member.worker)];
        if (worker.free + worker.leaving < member.accelerators)
            return std::nullopt;
    }
    return choice;
}

} // namespace anvilmoor
