#pragma once

#include "anvilmoor/batch/job.h"
#include "anvilmoor/batch/worker.h"
#include "batch/placement/capacity_view.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace anvilmoor::batch {

// What a placement needs to know of a unit.
struct PlacementRequest {
    const StepSpecification& step;
    Resources perTask; // what counts against a worker's capacity
    int tasks = 1; // to be placed together
    // Of the step's tasks, how many run on a worker already. Counts only with a limit per worker.
    std::map<WorkerLifetime, int> siblings;
    const std::set<WorkerLifetime>* avoided = nullptr; // workers on which the job has failed; may be null
    bool prefersFastWorkers = false; // its objective leaves little time
    bool mayUseSlowPlaces = false; // racks without the data, or several racks for a gang that needs one
};

// Chooses workers for a task or for a whole gang.
class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    // One worker for each task, taken out of the view's room; empty if they do not all fit.
    virtual std::optional<std::vector<WorkerLifetime>> place(
        const PlacementRequest&, CapacityView&) const = 0;
};

// How many of the unit's tasks the worker could take if it had that room.
int tasksThatFit(const PlacementRequest&, const WorkerCapacity&, const Resources& room);

// True if the unit could be placed on these workers if they were idle.
bool couldEverFit(const PlacementRequest&, const CapacityView&);

} // namespace anvilmoor::batch
