#pragma once

#include "placement/placement_room.h"
#include "placement/zone_inventory.h"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace anvilmoor {

// Longest time from a claim to the start of its last member.
constexpr Milliseconds reclaimBound { 1'600 };
// Time for which an evicted borrowed task may save a checkpoint before it is stopped. The rest of
// reclaimBound covers the reserve, confirm and run commands on every member.
constexpr Milliseconds checkpointGrace { 800 };

// The members chosen for a claim and the borrowed jobs to evict from them.
struct ReclaimChoice {
    std::vector<GangMember> members;
    std::vector<JobId> evictions; // in the order in which to evict them
};

// A shape to make room for, and the racks and borrowed work that may be used for it.
struct ReclaimRequest {
    int accelerators = 0;
    bool adjacent = true;
    TimePoint now {};
    std::span<const int> rackLimits; // accelerators to take from each rack at most; empty: no limit
    std::function<bool(const Holding&)> mayEvict; // empty: all borrowed work may be evicted
};

// Chooses the borrowed work to evict for a guaranteed shape. Has no side effects.
class ReclaimPolicy {
public:
    virtual ~ReclaimPolicy() = default;

    // Empty only if guaranteed work and unusable workers leave too little room for the shape, or no adjacent
    // room if `adjacent` is set.
    virtual std::optional<ReclaimChoice> choose(
        const ZoneInventory&, int accelerators, bool adjacent, TimePoint now) const = 0;

    // Chooses within the room that a plan has not allocated yet, and within the limits of the request. The
    // default implementation calls choose() and rejects a choice that exceeds the room or the limits.
    virtual std::optional<ReclaimChoice> chooseWithin(const PlacementRoom&, const ReclaimRequest&) const;
};

} // namespace anvilmoor
