#pragma once

#include "batch/placement/placement_policy.h"

#include <optional>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// Runs that can only be stopped together: a single one, or a gang.
struct EvictionCandidate {
    std::vector<RunId> runs; // empty if they end by themselves as soon as a stop would end them
    std::vector<std::pair<WorkerLifetime, Resources>> room; // that it would free, for each run
    double cost = 0; // what the stop loses, in core-seconds
};

struct EvictionPlan {
    std::vector<WorkerLifetime> workers; // one for each task of the unit
    std::vector<RunId> victims;
    double cost = 0;
};

// Chooses what to stop so that the unit fits, at the least cost. Empty if nothing helps.
std::optional<EvictionPlan> planEviction(
    const PlacementRequest&, const CapacityView&, const std::vector<EvictionCandidate>&);

} // namespace anvilmoor::batch
