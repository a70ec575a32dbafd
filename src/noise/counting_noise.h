#pragma once

#include "noise/noise_policy.h"

namespace anvilmoor {

// Baseline for comparison: a constant cap on active accelerators in lesson hours. It counts throttled
// accelerators like any others and ignores the noise of idle workers, so a room with many workers can exceed
// its limit while the count is below the cap.
class CountingNoise : public NoisePolicy {
public:
    // `cap`: number of accelerators that may be active in lesson hours.
    explicit CountingNoise(int cap);

    double estimateDb(const ZoneInventory&) const override;
    bool allowsStart(const ZoneInventory&, const RoomConfiguration&, std::span<const GangMember>,
        SecondOfWeek localTime) const override;
    std::vector<NoiseAction> plan(
        const ZoneInventory&, const RoomConfiguration&, SecondOfWeek localTime) const override;

private:
    int m_cap;
};

} // namespace anvilmoor
