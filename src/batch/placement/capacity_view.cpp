#include "batch/placement/capacity_view.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::batch {

namespace {

WorkerCapacity makeCapacity(const WorkerLifetime& lifetime, const Worker& worker)
{
    return { lifetime, worker.record.rack, worker.record.kind, worker.room(), worker.record.capacity,
        !worker.health.isTrusted(), worker.speed.value(), worker.speed.band(), &worker };
}

} // namespace

void CapacityView::add(WorkerCapacity worker)
{
    const std::size_t index = m_workers.size();
    m_racks[worker.rack].push_back(index);
    m_index.emplace(worker.lifetime, index);
    m_workers.push_back(std::move(worker));
}

std::vector<Resources> CapacityView::rooms() const
{
    std::vector<Resources> rooms;
    rooms.reserve(m_workers.size());
    for (const WorkerCapacity& worker : m_workers)
        rooms.push_back(worker.room);
    return rooms;
}

void CapacityView::setRooms(std::span<const Resources> rooms)
{
    for (std::size_t i = 0; i < m_workers.size(); ++i)
        m_workers[i].room = rooms[i];
}

WorkerCapacity* CapacityView::find(const WorkerLifetime& lifetime)
{
    const auto index = indexOf(lifetime);
    return index ? &m_workers[*index] : nullptr;
}

std::optional<std::size_t> CapacityView::indexOf(const WorkerLifetime& lifetime) const
{
    const auto found = m_index.find(lifetime);
    return found == m_index.end() ? std::nullopt : std::optional(found->second);
}

double CapacityView::acceleratorUtilization() const
{
    std::int64_t whole = 0;
    std::int64_t free = 0;
    for (const WorkerCapacity& worker : m_workers) {
        whole += worker.whole.accelerators;
        free += std::max<std::int64_t>(worker.room.accelerators, 0);
    }
    return whole ? 1 - static_cast<double>(free) / static_cast<double>(whole) : 0;
}

CapacityView::Hidden CapacityView::hideIdleWorkers(std::size_t count)
{
    std::vector<std::size_t> idle;
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        if (m_workers[index].isIdle())
            idle.push_back(index);
    }
    std::stable_sort(idle.begin(), idle.end(), [this](std::size_t a, std::size_t b) {
        const WorkerCapacity& first = m_workers[a];
        const WorkerCapacity& second = m_workers[b];
        return first.rack != second.rack ? first.rack < second.rack : first.speed > second.speed;
    });
    Hidden hidden;
    std::size_t inRack = 0; // idle workers of the same rack so far
    for (std::size_t i = 0; i < idle.size(); ++i) {
        WorkerCapacity& worker = m_workers[idle[i]];
        const bool isFirstOfRack = !i || m_workers[idle[i - 1]].rack != worker.rack;
        inRack = isFirstOfRack ? 1 : inRack + 1;
        if (inRack <= count)
            hidden.emplace_back(idle[i], std::exchange(worker.room, Resources {}));
    }
    return hidden;
}

CapacityView::Hidden CapacityView::hideWorkersOnTrialBesideRuns()
{
    Hidden hidden;
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        if (m_workers[index].isOnTrialBesideRuns())
            hidden.emplace_back(index, std::exchange(m_workers[index].room, Resources {}));
    }
    return hidden;
}

void CapacityView::hide(const std::set<WorkerLifetime>& lifetimes, Hidden& hidden)
{
    for (const WorkerLifetime& lifetime : lifetimes) {
        if (const auto index = indexOf(lifetime))
            hidden.emplace_back(*index, std::exchange(m_workers[*index].room, Resources {}));
    }
}

void CapacityView::restore(const Hidden& hidden)
{
    // Restores in reverse order, so that a worker that was hidden twice gets back its original free
    // resources.
    for (auto entry = hidden.rbegin(); entry != hidden.rend(); ++entry)
        m_workers[entry->first].room = entry->second;
}

std::map<ServiceId, CapacityView> capacityOf(const WorkerPool& pool, TimePoint now)
{
    std::map<ServiceId, CapacityView> services;
    for (const auto& [lifetime, worker] : pool.all()) {
        if (!worker.isListed || !worker.isConfirmed || worker.record.isDraining)
            continue;
        if (worker.unansweredHolds || now < worker.noPlacementUntil)
            continue;
        if (!worker.health.isTrusted() && !worker.health.isDueForTrial(now))
            continue;
        services[worker.record.service].add(makeCapacity(lifetime, worker));
    }
    return services;
}

std::map<ServiceId, CapacityView> capacityWithClosedWorkers(const WorkerPool& pool)
{
    std::map<ServiceId, CapacityView> services;
    for (const auto& [lifetime, worker] : pool.all()) {
        if (!worker.isListed || worker.record.isDraining)
            continue;
        WorkerCapacity capacity = makeCapacity(lifetime, worker);
        capacity.isOnTrial = false;
        services[worker.record.service].add(std::move(capacity));
    }
    return services;
}

} // namespace anvilmoor::batch
