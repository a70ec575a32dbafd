#pragma once

#include "batch/workers/worker_pool.h"

#include <set>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// Tells which workers have to be looked at, so that a tick does not visit all of them.
class WorkerAgenda {
public:
    // Puts the worker on the agenda for the given time, unless it is due earlier.
    void add(Worker&, TimePoint at);
    // Removes the workers that are due from the agenda and returns them.
    std::vector<WorkerLifetime> takeDue(TimePoint now, WorkerPool&);
    void clear() { m_due.clear(); }

private:
    std::set<std::pair<TimePoint, WorkerLifetime>> m_due;
};

} // namespace anvilmoor::batch
