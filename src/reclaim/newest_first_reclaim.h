#pragma once

#include "reclaim/reclaim_policy.h"

namespace anvilmoor {

// Baseline for comparison: takes the first racks in which the claim can be placed, and evicts borrowed jobs
// there, newest first, regardless of the work that they lose.
class NewestFirstReclaim : public ReclaimPolicy {
public:
    std::optional<ReclaimChoice> choose(
        const ZoneInventory&, int accelerators, bool adjacent, TimePoint now) const override;
    std::optional<ReclaimChoice> chooseWithin(const PlacementRoom&, const ReclaimRequest&) const override;
};

} // namespace anvilmoor
