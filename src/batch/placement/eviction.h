#pragma once

#include "batch/placement/placement_policy.h"

#include <cstddef>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// Runs that can only be stopped together: a single run or all runs of a gang.
struct EvictionCandidate {
    std::vector<RunId> runs; // empty if all of them end within the stop timeout without another stop order
    std::vector<std::pair<WorkerLifetime, Resources>> room; // resources that each run would free
    double cost = 0; // work lost by the stop, in core-seconds
};

// All candidates of a service, indexed by the workers on which they would free resources. Built once for
// several searches.
class EvictionCandidates {
public:
    // Resources that a candidate would free on a worker that accepts new runs.
    struct Freed {
        std::size_t candidate = 0; // index into all()
        std::size_t worker = 0; // index into the view's workers
        Resources resources;
    };

    EvictionCandidates(const CapacityView&, std::vector<EvictionCandidate>);

    const std::vector<EvictionCandidate>& all() const { return m_candidates; }
    std::span<const Freed> onWorker(std::size_t worker) const { return m_byWorker[worker]; }
    std::span<const Freed> byCandidate(std::size_t candidate) const { return m_byCandidate[candidate]; }
    // What all candidates together would free on the worker.
    const Resources& freeableOn(std::size_t worker) const { return m_freeable[worker]; }
    // Marks candidates whose runs are being stopped: waiting for them costs nothing more.
    void noteStopping(std::span<const std::size_t> candidates);

private:
    std::vector<EvictionCandidate> m_candidates;
    std::vector<std::vector<Freed>> m_byCandidate;
    std::vector<std::vector<Freed>> m_byWorker;
    std::vector<Resources> m_freeable; // by worker
};

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
