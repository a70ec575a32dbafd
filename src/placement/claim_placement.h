#pragma once

#include "placement/placement_room.h"
#include "reclaim/reclaim_policy.h"

#include <optional>
#include <span>

namespace anvilmoor {

// Places a guaranteed claim so that all other unclaimed guarantees still fit when all borrowed work is
// evicted. If they do not all fit even before the claim, because workers are dead, the claim takes precedence
// and room is kept for as many of them as the search finds, the largest first. Empty only if guaranteed work
// and unusable workers leave no room.
std::optional<ReclaimChoice> placeClaim(const ReclaimPolicy&, const PlacementRoom&, const JobSpecification&,
    std::span<const int> otherGuarantees, TimePoint now);

} // namespace anvilmoor
