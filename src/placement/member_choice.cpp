#include "placement/member_choice.h"

#include <algorithm>

namespace anvilmoor {

namespace {

// The worker with the fewest accelerators that suffice for `amount`; if none suffices, the one with the most.
std::size_t bestWorker(std::span<const int> available, int amount)
{
    std::size_t best = 0;
    for (std::size_t worker = 1; worker < available.size(); ++worker) {
        const bool isTighter = available[worker] >= amount && available[worker] < available[best];
        const bool hasMore = available[worker] > available[best] && available[best] < amount;
        if (isTighter || hasMore)
            best = worker;
    }
    return best;
}

} // namespace

void appendMembers(const ZoneInventory& inventory, const RackCapacity& rack, std::span<const int> available,
    int amount, std::vector<GangMember>& members)
{
    std::vector<int> remaining(available.begin(), available.end());
    while (amount > 0 && !remaining.empty()) {
        const std::size_t worker = bestWorker(remaining, amount);
        const int taken = std::min(remaining[worker], amount);
        if (taken <= 0)
            return;
        members.push_back({ inventory.workers()[rack.firstWorker + worker].id, taken });
        remaining[worker] = 0;
        amount -= taken;
    }
}

} // namespace anvilmoor
