#include "placement/gang_reservation.h"

#include "placement/fair_queue.h"
#include "placement/rack_runs.h"

#include <algorithm>
#include <numeric>

namespace anvilmoor {

GangReservation::GangReservation(const PlacementRoom& room, const QueuedJob& job, TimePoint now)
    : m_room(room)
    , m_job(job)
    , m_now(now)
    , m_waitTime(now - job.queuedAt)
    , m_priority(effectivePriority(job, now))
    , m_isLarge(job.specification.accelerators * 2 >= room.inventory().rackSize())
    , m_reach(room.reachPerRack())
    , m_obtainable(m_reach.size())
{
    for (std::size_t rack = 0; rack < m_reach.size(); ++rack)
        m_obtainable[rack] = std::min(m_reach[rack], obtainableRoom(rack));
}

bool GangReservation::mayEvict(const Holding& holding) const
{
    if (!mayEvict() || holding.priority > m_priority)
        return false;
    // The members are read last: in a large zone, each access to them is a cache miss.
    if (holding.startedAt > m_job.queuedAt
        && acceleratorsOf(holding.members) * 2 <= m_job.specification.accelerators)
        return true;
    return m_waitTime >= timeSlice && m_now - holding.startedAt >= timeSlice;
}

bool GangReservation::admits(const QueuedJob& backfill) const
{
    return m_isLarge && backfill.specification.accelerators * 2 <= m_job.specification.accelerators
        && backfill.specification.priority <= m_priority;
}

// Accelerators of the rack that are free, leaving or held by jobs that the gang may evict.
int GangReservation::obtainableRoom(std::size_t rack) const
{
    const RackCapacity& capacity = m_room.inventory().racks()[rack];
    int room = m_room.racks()[rack].free + m_room.racks()[rack].leaving;
    if (!mayEvict())
        return room;
    for (std::size_t worker = capacity.firstWorker; worker < capacity.firstWorker + capacity.workerCount;
         ++worker) {
        if (!m_room.inventory().workers()[worker].isUsable)
            continue;
        for (const WorkerUse& use : m_room.inventory().usesOf(worker)) {
            if (m_room.isEvictable(*use.holding) && mayEvict(*use.holding))
                room += use.accelerators;
        }
    }
    return room;
}

bool GangReservation::canMakeRoom() const
{
    const int accelerators = m_job.specification.accelerators;
    if (!m_job.specification.adjacent)
        return std::accumulate(m_obtainable.begin(), m_obtainable.end(), 0) >= accelerators;
    return !fittingRuns(m_obtainable, accelerators, m_room.inventory().rackSize()).empty();
}

std::vector<bool> GangReservation::racks() const
{
    if (!m_job.specification.adjacent)
        return scatteredRacks();
    std::vector<bool> reserved(m_reach.size());
    const auto obtainableIn = [&](const RackRun& run) {
        const auto begin = m_obtainable.begin() + static_cast<std::ptrdiff_t>(run.first);
        return std::accumulate(begin, begin + static_cast<std::ptrdiff_t>(run.count), 0);
    };
    const std::vector<RackRun> runs
        = fittingRuns(m_reach, m_job.specification.accelerators, m_room.inventory().rackSize());
    const auto best = std::max_element(runs.begin(), runs.end(),
        [&](const RackRun& left, const RackRun& right) { return obtainableIn(left) < obtainableIn(right); });
    for (std::size_t rack = 0; best != runs.end() && rack < best->count; ++rack)
        reserved[best->first + rack] = true;
    return reserved;
}

std::vector<bool> GangReservation::scatteredRacks() const
{
    std::vector<bool> reserved(m_reach.size());
    std::vector<std::size_t> order(m_reach.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::stable_sort(order.begin(), order.end(),
        [&](std::size_t left, std::size_t right) { return m_obtainable[left] > m_obtainable[right]; });
    int sum = 0;
    for (const std::size_t rack : order) {
        if (sum >= m_job.specification.accelerators)
            break;
        reserved[rack] = true;
        sum += m_reach[rack];
    }
    return reserved;
}

} // namespace anvilmoor
