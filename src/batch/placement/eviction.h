#pragma once

#include "batch/placement/placement_policy.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace anvilmoor::batch {

// Runs that can only be stopped together: a single one, or a gang.
struct EvictionCandidate {
    std::vector<RunId> runs;
    std::vector<std::pair<WorkerLifetime, Resources>> room; // that it would free
    double lostWork = 0; // core-seconds that would have to be done again
};

struct EvictionPlan {
    std::vector<WorkerLifetime> workers; // one for each task of the unit
    std::vector<RunId> victims;
};

// Chooses what to stop so that the unit fits, with the least work lost. Empty if nothing helps.
std::optional<EvictionPlan> planEviction(
    const PlacementRequest&, const CapacityView&, std::vector<EvictionCandidate>, const PlacementPolicy&);

} // namespace anvilmoor::batch
