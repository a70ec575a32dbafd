#pragma once

#include "anvilmoor/batch/worker.h"
#include "batch/workers/worker_pool.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// A worker that may get new runs.
struct WorkerCapacity {
    WorkerLifetime lifetime;
    RackId rack;
    std::string kind;
    Resources room;
    Resources whole;
    bool isOnTrial = false; // gets one task at the most, to show whether it is sound again
    double speed = 1; // beside other workers; 1 is usual

    bool isIdle() const { return room == whole; }
    bool hasLabel(std::string_view label) const { return rack.value() == label || kind == label; }
};

// The free room of a service's workers, grouped by rack. Placement changes a copy as it goes.
class CapacityView {
public:
    void add(WorkerCapacity);

    std::vector<WorkerCapacity>& workers() { return m_workers; }
    const std::vector<WorkerCapacity>& workers() const { return m_workers; }
    // Indices into workers().
    const std::map<RackId, std::vector<std::size_t>>& racks() const { return m_racks; }
    // Of the accelerators of all workers, the share that is in use.
    double usedShare() const;
    // Takes the room of up to `count` idle workers of each rack, the fastest ones, out of the view, until it
    // is restored.
    using Hidden = std::vector<std::pair<std::size_t, Resources>>;
    Hidden hideIdleWorkers(std::size_t count);
    void hide(const std::set<WorkerLifetime>&, Hidden&);
    void restore(const Hidden&);
    // Null if the worker gets no new runs.
    WorkerCapacity* find(const WorkerLifetime&);

private:
    std::vector<WorkerCapacity> m_workers;
    std::map<RackId, std::vector<std::size_t>> m_racks;
    std::map<WorkerLifetime, std::size_t> m_index;
};

// The workers that may get new runs now, by service.
std::map<ServiceId, CapacityView> capacityOf(const WorkerPool&, TimePoint now);

} // namespace anvilmoor::batch
