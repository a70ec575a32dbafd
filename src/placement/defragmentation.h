#pragma once

#include "placement/placement_policy.h"

#include <optional>
#include <vector>

namespace anvilmoor {

// Jobs that have run for less than this are not moved, because they may just have been moved.
constexpr Milliseconds minRunTimeBeforeMove { 5 * 60 * 1'000 };

// Proposes to move one borrowed job if that frees an adjacent shape. Has no side effects.
class DefragmentationPolicy {
public:
    // Moves that would lose this much uncheckpointed work, in accelerator-seconds, or more are not proposed.
    explicit DefragmentationPolicy(double lostAcceleratorSecondsLimit);

    // Proposes a move that makes room for a waiting gang. Empty if the gang already has room, or if no single
    // move below the limit makes room for it. Guaranteed jobs and jobs that are leaving are never moved. The
    // destination is adjacent, outside of the freed racks and free now.
    std::optional<DefragmentationMove> proposeForGang(const ZoneInventory&, int gangAccelerators) const;

    // Proposes the cheapest move after which one more whole shape is free, while no gang waits. Empty if the
    // shape is larger than a rack. The destination is adjacent, in another rack and free now.
    std::optional<DefragmentationMove> proposeForShape(const ZoneInventory&, int shape, TimePoint now) const;

private:
    double m_lostAcceleratorSecondsLimit;
};

} // namespace anvilmoor
