#pragma once

#include "anvilmoor/batch/worker.h"
#include "batch/workers/worker_pool.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// The capacity of a worker that accepts new runs.
struct WorkerCapacity {
    WorkerLifetime lifetime;
    RackId rack;
    std::string kind;
    Resources room;
    Resources whole;
    bool isOnTrial = false; // takes at most one unit, which shows whether the worker has recovered
    double speed = 1; // relative to other workers; 1 is typical
    int speedBand = 0; // see WorkerSpeed::band()
    const Worker* worker = nullptr; // null if the view was not built from a pool

    bool isIdle() const { return room == whole; }
    bool isOnTrialBesideRuns() const { return isOnTrial && !isIdle(); }
    bool hasLabel(std::string_view label) const { return rack.value() == label || kind == label; }
};

// The free resources of a service's workers, grouped by rack. A placement round works on its own copy and
// updates it with each placement.
class CapacityView {
public:
    void add(WorkerCapacity);

    std::vector<WorkerCapacity>& workers() { return m_workers; }
    const std::vector<WorkerCapacity>& workers() const { return m_workers; }
    // Maps each rack to the indices of its workers in workers().
    const std::map<RackId, std::vector<std::size_t>>& racks() const { return m_racks; }
    // Returns the share of all workers' accelerators that is in use.
    double acceleratorUtilization() const;
    // The free resources of hidden workers, by index into workers().
    using Hidden = std::vector<std::pair<std::size_t, Resources>>;
    // Sets the free resources of the `count` fastest idle workers of each rack to zero, until restore() is
    // called.
    Hidden hideIdleWorkers(std::size_t count);
    // Sets the free resources of the workers to zero that would take a task on trial beside other runs, until
    // restore() is called.
    Hidden hideWorkersOnTrialBesideRuns();
    // Sets the free resources of the given workers to zero and adds them to the list for restore().
    void hide(const std::set<WorkerLifetime>&, Hidden&);
    void restore(const Hidden&);
    // The free resources of all workers, in the order of workers(). setRooms() takes them back after a search
    // under other assumptions.
    std::vector<Resources> rooms() const;
    void setRooms(std::span<const Resources>);
    // Returns null if the worker does not accept new runs.
    WorkerCapacity* find(const WorkerLifetime&);
    std::optional<std::size_t> indexOf(const WorkerLifetime&) const;

private:
    std::vector<WorkerCapacity> m_workers;
    std::map<RackId, std::vector<std::size_t>> m_racks;
    std::map<WorkerLifetime, std::size_t> m_index;
};

// Returns the workers that accept new runs at the time `now`, grouped by service.
std::map<ServiceId, CapacityView> capacityOf(const WorkerPool&, TimePoint now);
// Like capacityOf(), but includes workers that get no new runs at present because they are silent, suspended
// or stalled.
std::map<ServiceId, CapacityView> capacityWithClosedWorkers(const WorkerPool&);

} // namespace anvilmoor::batch
