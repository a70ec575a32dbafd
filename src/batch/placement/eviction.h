#pragma once

#include "batch/placement/placement_policy.h"

#include <optional>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// Runs that can only be stopped together: a single run or all runs of a gang.
struct EvictionCandidate {
    std::vector<RunId> runs; // empty if all of them end within the stop timeout without another stop order
    std::vector<std::pair<WorkerLifetime, Resources>> room; // resources that each run would free
    double cost = 0; // work lost by the stop, in core-seconds
};

struct EvictionPlan {
    std::vector<WorkerLifetime> workers; // one per task of the unit
    std::vector<RunId> victims;
    double cost = 0;
};

// Chooses the runs to stop so that the unit fits, at the lowest cost found. Returns nullopt if no eviction
// makes enough room.
std::optional<EvictionPlan> planEviction(
    const PlacementRequest&, const CapacityView&, const std::vector<EvictionCandidate>&);

} // namespace anvilmoor::batch
