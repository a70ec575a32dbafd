#pragma once

#include "batch/workers/worker_pool.h"

#include <set>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// Workers by the time at which they have to be visited next, so that a tick does not visit all of them.
class WorkerDueQueue {
public:
    // Makes the worker due at the given time, unless it is due earlier.
    void add(Worker&, TimePoint at);
    // Removes the workers that are due and returns them.
    std::vector<WorkerLifetime> takeDue(TimePoint now, WorkerPool&);
    void clear() { m_due.clear(); }

private:
    std::set<std::pair<TimePoint, WorkerLifetime>> m_due;
};

} // namespace anvilmoor::batch
