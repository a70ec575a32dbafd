#include "batch/placement/capacity_view.h"

#include <utility>

namespace anvilmoor::batch {

void CapacityView::add(WorkerCapacity worker)
{
    const std::size_t index = m_workers.size();
    m_racks[worker.rack].push_back(index);
    m_index.emplace(worker.lifetime, index);
    m_workers.push_back(std::move(worker));
}

WorkerCapacity* CapacityView::find(const WorkerLifetime& lifetime)
{
    const auto found = m_index.find(lifetime);
    return found == m_index.end() ? nullptr : &m_workers[found->second];
}

std::map<ServiceId, CapacityView> capacityOf(const WorkerPool& pool, TimePoint now)
{
    std::map<ServiceId, CapacityView> services;
    for (const auto& [lifetime, worker] : pool.all()) {
        if (!worker.isListed || !worker.isConfirmed || worker.record.isDraining)
            continue;
        if (worker.unansweredHolds || now < worker.roomDoubtedUntil)
            continue;
        const bool isOnTrial = !worker.health.isTrusted(now);
        if (isOnTrial && (!worker.health.isDueForTrial(now) || !worker.runs.empty()))
            continue;
        services[worker.record.service].add({ lifetime, worker.record.rack, worker.record.kind, worker.room(),
            worker.record.capacity, isOnTrial });
    }
    return services;
}

} // namespace anvilmoor::batch
