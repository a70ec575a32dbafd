#pragma once

#include "anvilmoor/batch/worker.h"
#include "batch/workers/worker_pool.h"

#include <map>
#include <string>
#include <string_view>
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
