#pragma once

#include "batch/placement/placement_policy.h"

#include <span>

namespace anvilmoor::batch {

// Fills workers that are partly used before it breaks into idle ones, and takes the rack that is left with
// the least room: small tasks leave whole workers and racks to the gangs that need them.
class PackingPlacement : public PlacementPolicy {
public:
    std::optional<std::vector<WorkerLifetime>> place(const PlacementRequest&, CapacityView&) const override;

private:
    // How many tasks each of the workers can take.
    struct Fit {
        std::size_t worker = 0;
        int tasks = 0;
        int speedBand = 0; // higher is faster
    };

    static std::vector<Fit> fitsOn(
        const PlacementRequest&, const CapacityView&, std::span<const std::size_t> workers);
    static std::optional<std::vector<Fit>> choose(
        const PlacementRequest&, const CapacityView&, std::vector<Fit> fits);
    // Tasks of this size that the workers have room for, beyond those of the unit too.
    static int placesOn(const PlacementRequest&, const CapacityView&, std::span<const Fit>);
    static int slowestBand(std::span<const Fit> chosen);
    static std::vector<WorkerLifetime> take(
        const PlacementRequest&, CapacityView&, std::span<const Fit> chosen);
};

} // namespace anvilmoor::batch
