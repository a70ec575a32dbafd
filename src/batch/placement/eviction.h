#pragma once

#include "batch/placement/eviction_candidates.h"
#include "batch/placement/placement_policy.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace anvilmoor::batch {

struct EvictionPlan {
    std::vector<WorkerLifetime> workers; // one per task of the unit
    std::vector<RunId> victims;
    std::vector<std::size_t> candidates; // those that the victims belong to
    double cost = 0;
};

// Chooses the runs to stop so that the unit fits, at the lowest cost found. Returns nullopt if no eviction
// makes enough room. The view must contain the workers that the candidates were indexed with.
std::optional<EvictionPlan> planEviction(
    const PlacementRequest&, const CapacityView&, const EvictionCandidates&);

} // namespace anvilmoor::batch
