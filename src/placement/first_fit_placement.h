#pragma once

#include "placement/placement_policy.h"
#include "reclaim/newest_first_reclaim.h"

namespace anvilmoor {

// Baseline: places jobs in order of arrival, each in the first rack or racks with room, and skips jobs
// without room. A claim takes the first place that can be freed, even if other guarantees need it.
class FirstFitPlacement : public PlacementPolicy {
public:
    PlacementPlan plan(const ZoneInventory&, const Configuration&, std::span<const QueuedJob> queue,
        TimePoint now) const override;
    std::string reasonItCanNeverRun(
        const AvailabilityZoneConfiguration&, const Configuration&, const JobSpecification&) const override;
    int largestFreeShape(const ZoneInventory&) const override;

private:
    NewestFirstReclaim m_reclaim;
};

} // namespace anvilmoor
