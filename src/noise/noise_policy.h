#pragma once

#include "anvilmoor/configuration.h"
#include "placement/zone_inventory.h"

#include <vector>

namespace anvilmoor {

// The noise limit applies from this long before a lesson begins, so that borrowed work is throttled or
// evicted in time. A worker that receives no commands stops when its lease expires, after 38.5 s at most; a
// role hand-over takes 4 s, waiting for a throttle command 2 s, and a checkpoint 0.8 s. With 30 s, a room
// exceeded its limit during the first 0.5 s of a lesson.
constexpr Seconds noiseLead { 50 };

enum class NoiseActionKind { Throttle, Unthrottle, Evict };

struct NoiseAction {
    NoiseActionKind kind = NoiseActionKind::Throttle;
    JobId job;
};

// Decides which work to throttle or evict so that the noise estimate of a room stays within its limit in
// lesson hours. Has no side effects.
class NoisePolicy {
public:
    virtual ~NoisePolicy() = default;

    // Estimated level of all noise sources together, in dB.
    virtual double estimateDb(const ZoneInventory&) const = 0;

    // Limit in dB of a lesson that is in progress or begins within noiseLead; 0 if there is none.
    virtual double limitDb(const RoomConfiguration&, SecondOfWeek localTime) const;

    // True if the limit permits these members to become active now.
    virtual bool allowsStart(const ZoneInventory&, const RoomConfiguration&, std::span<const GangMember>,
        SecondOfWeek localTime) const = 0;

    // Actions that bring the estimate within the limit: throttles borrowed work first, then evicts it.
    // Unthrottles work when the limit allows it again.
    virtual std::vector<NoiseAction> plan(
        const ZoneInventory&, const RoomConfiguration&, SecondOfWeek localTime) const = 0;

    // Like plan(), but counts these members as active too: the actions on borrowed work that are needed
    // before a claim that allowsStart() refuses can start. The default implementation ignores the members.
    virtual std::vector<NoiseAction> planForStart(const ZoneInventory& inventory,
        const RoomConfiguration& room, std::span<const GangMember>, SecondOfWeek localTime) const
    {
        return plan(inventory, room, localTime);
    }
};

} // namespace anvilmoor
