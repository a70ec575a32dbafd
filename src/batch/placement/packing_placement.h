#pragma once

#include "batch/placement/placement_policy.h"

#include <span>

namespace anvilmoor::batch {

// Best-fit placement: fills partly used workers before idle ones and prefers the rack that is left with the
// fewest free resources. Small tasks thus leave whole workers and racks free for the gangs that need them.
class PackingPlacement : public PlacementPolicy {
public:
    std::optional<std::vector<WorkerLifetime>> place(const PlacementRequest&, CapacityView&) const override;

private:
    // How many tasks a worker can take.
    struct Fit {
        std::size_t worker = 0;
        int tasks = 0;
        int speedBand = 0; // higher is faster
    };

    static std::vector<Fit> fitsOn(
        const PlacementRequest&, const CapacityView&, std::span<const std::size_t> workers);
    // Workers on which the request's locality constraint allows tasks, by index into the view's workers.
    static std::vector<std::size_t> permittedWorkers(const PlacementRequest&, const CapacityView&);
    static int totalTasks(std::span<const Fit>);
    static std::optional<std::vector<Fit>> choose(
        const PlacementRequest&, const CapacityView&, std::vector<Fit> fits);
    // Counts the tasks of this size for which the workers have room, not limited to the number of the unit's
    // tasks.
    static int taskSlotsOn(const PlacementRequest&, const CapacityView&, std::span<const Fit>);
    static int slowestBand(std::span<const Fit> chosen);
    static std::optional<std::vector<WorkerLifetime>> placeOnWorkersWithRoom(
        const PlacementRequest&, CapacityView&);
    static std::vector<WorkerLifetime> take(
        const PlacementRequest&, CapacityView&, std::span<const Fit> chosen);
};

} // namespace anvilmoor::batch
