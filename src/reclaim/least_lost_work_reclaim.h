#pragma once

#include "reclaim/reclaim_policy.h"

namespace anvilmoor {

// Accelerator-seconds of work that evicting the job would lose: its progress since the last checkpoint, times
// the accelerators of all its members.
double lostAcceleratorSeconds(const Holding&);

// Cost of an eviction besides the lost work: the job has to be queued, placed and started again.
constexpr double evictionCostAcceleratorSeconds = 60;

// Places a claim where the evictions lose the least uncheckpointed work and few jobs have to be evicted.
// Accelerators of jobs that are already leaving count as available.
class LeastLostWorkReclaim : public ReclaimPolicy {
public:
    std::optional<ReclaimChoice> choose(
        const ZoneInventory&, int accelerators, bool adjacent, TimePoint now) const override;
    std::optional<ReclaimChoice> chooseWithin(const PlacementRoom&, const ReclaimRequest&) const override;
};

} // namespace anvilmoor
