#include "batch/workers/worker_due_queue.h"

namespace anvilmoor::batch {

void WorkerDueQueue::add(Worker& worker, TimePoint at)
{
    if (at >= worker.dueAt)
        return;
    const WorkerLifetime& lifetime = worker.record.lifetime;
    m_due.erase({ worker.dueAt, lifetime });
    m_due.emplace(at, lifetime);
    worker.dueAt = at;
}

std::vector<WorkerLifetime> WorkerDueQueue::takeDue(TimePoint now, WorkerPool& workers)
{
    std::vector<WorkerLifetime> due;
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const WorkerLifetime lifetime = m_due.begin()->second;
        m_due.erase(m_due.begin());
        // The worker may have been forgotten since.
        Worker* worker = workers.find(lifetime);
        if (!worker)
            continue;
        worker->dueAt = TimePoint::max();
        due.push_back(lifetime);
    }
    return due;
}

} // namespace anvilmoor::batch
