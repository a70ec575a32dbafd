#pragma once

#include "placement/placement_policy.h"

#include <string>
#include <vector>

namespace anvilmoor {

// Returns one sentence for each rule that the plan violates. Computes free capacity independently of the
// policy and checks that no worker is overbooked or unusable, that shapes are adjacent, that only borrowed
// jobs are evicted, and that unclaimed guarantees fit afterwards if they did before. With `checkClaimsStart`,
// also checks that every claim inside its guarantee starts or waits for jobs that are leaving.
std::vector<std::string> planViolations(const ZoneInventory&, const Configuration&,
    std::span<const QueuedJob> queue, const PlacementPlan&, bool checkClaimsStart);

} // namespace anvilmoor
