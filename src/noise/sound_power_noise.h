#pragma once

#include "noise/noise_policy.h"

namespace anvilmoor {

// In or shortly before a lesson, work is unthrottled only if the estimate then stays this far below the
// limit. The margin keeps small changes of load from throttling and unthrottling the same work repeatedly.
constexpr double unthrottleMarginDb = 0.5;
// Work that would have to be throttled again for a lesson that begins within this time stays throttled.
constexpr Seconds unthrottleLeadTime { 120 };

// Adds the sound powers of idle workers and of active and throttled accelerators. Workers that don't answer
// still count as idle, and the accelerators booked on them as active, because they may be running.
class SoundPowerNoise : public NoisePolicy {
public:
    double estimateDb(const ZoneInventory&) const override;
    bool allowsStart(const ZoneInventory&, const RoomConfiguration&, std::span<const GangMember>,
        SecondOfWeek localTime) const override;
    std::vector<NoiseAction> plan(
        const ZoneInventory&, const RoomConfiguration&, SecondOfWeek localTime) const override;
    std::vector<NoiseAction> planForStart(const ZoneInventory&, const RoomConfiguration&,
        std::span<const GangMember>, SecondOfWeek localTime) const override;
};

} // namespace anvilmoor
