#pragma once

#include "placement/placement_policy.h"
#include "reclaim/reclaim_policy.h"

namespace anvilmoor {

// Places guaranteed claims first: a claim inside a guarantee starts wherever guaranteed work and unusable
// workers leave room, if necessary by evicting borrowed work. It is never placed where another unclaimed
// guarantee would no longer fit, unless the guarantees do not all fit anyway.
// Borrowed work follows by priority with ageing, account share and arrival, within the quota, and is placed
// where it takes the least space from whole shapes and unclaimed guarantees. The first borrowed job that
// finds no room gets a reservation.
//
// The quota is compared with the accelerators that the account holds in this zone: its holdings in other
// zones are not known here.
class GuaranteeAwarePlacement : public PlacementPolicy {
public:
    // The reclaim policy must outlive this object.
    explicit GuaranteeAwarePlacement(const ReclaimPolicy&);

    PlacementPlan plan(const ZoneInventory&, const Configuration&, std::span<const QueuedJob> queue,
        TimePoint now) const override;
    // A move is worthwhile if the work that it may lose is less than the freed shape could do until the next
    // move.
    std::optional<DefragmentationMove> proposeMove(
        const ZoneInventory&, const Configuration&, TimePoint now) const override;
    std::string reasonItCanNeverRun(
        const AvailabilityZoneConfiguration&, const Configuration&, const JobSpecification&) const override;
    int largestFreeShape(const ZoneInventory&) const override;

private:
    const ReclaimPolicy& m_reclaim;
};

} // namespace anvilmoor
