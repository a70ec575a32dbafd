#pragma once

#include "placement/placement_policy.h"

#include <string>

namespace anvilmoor {

// See PlacementPolicy::reasonItCanNeverRun().
std::string reasonJobCanNeverRun(
    const AvailabilityZoneConfiguration&, const Configuration&, const JobSpecification&);

// The largest number of adjacent free accelerators such that every smaller adjacent shape fits as well.
int largestFreeAdjacentShape(const ZoneInventory&);

// The zone's largest guaranteed shape; 0 without guarantees.
int largestGuaranteedShape(const Configuration&, const AvailabilityZoneId&);

} // namespace anvilmoor
