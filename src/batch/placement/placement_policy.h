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

// The requirements of a unit that is to be placed.
struct PlacementRequest {
    const StepSpecification& step;
    Resources perTask; // resources that each task takes from its worker's capacity
    int tasks = 1; // to be placed together
    // Number of the step's tasks that each worker already has. Used only if the step has a limit per worker.
    std::map<WorkerLifetime, int> stepTasksByWorker;
    // Workers on which the job has failed; may be null.
    const std::set<WorkerLifetime>* excludedWorkers = nullptr;
    bool prefersFastWorkers = false; // its objective leaves little time
    // Allows racks without the step's data, and several racks for a gang that asks for one.
    bool mayRelaxLocality = false;
};

// Chooses workers for a single task or for a whole gang.
class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    // Returns one worker per task and deducts the tasks' resources from the view. Returns nullopt, with the
    // view unchanged, if the tasks do not all fit.
    virtual std::optional<std::vector<WorkerLifetime>> place(
        const PlacementRequest&, CapacityView&) const = 0;
};

// Returns how many of the unit's tasks the worker could take if `room` were its free resources.
int tasksThatFit(const PlacementRequest&, const WorkerCapacity&, const Resources& room);

// Returns how many tasks like the request's would fit within its locality constraint if all workers were
// idle: in the rack with its data, and for a gang that asks for one rack in the largest rack.
int mostTasksWithinLocality(const PlacementRequest&, const CapacityView&);

// Returns whether the unit would fit on these workers if all of them were idle.
bool couldEverFit(const PlacementRequest&, const CapacityView&);

} // namespace anvilmoor::batch
