#include "batch/workers/silent_workers.h"

#include <algorithm>
#include <cstddef>

namespace anvilmoor::batch {

namespace {

// Limits the size of the lease row, which each commit rewrites. An id has up to 200 bytes.
constexpr std::size_t maxListed = 256;
constexpr std::size_t maxListedBytes = 8 * 1'024;
constexpr std::size_t bytesPerEntry = 24; // beside the id

} // namespace

LeaseBound EarlierLeases::of(const WorkerLifetime& worker) const
{
    const auto found = silentWorkers.find(worker);
    if (found == silentWorkers.end() || all.latest < found->second.latest)
        return all;
    return found->second;
}

void SilentWorkers::begin(const EarlierLeases& earlier)
{
    m_silent.clear();
    m_lastListed.clear();
    for (const auto& [worker, bound] : earlier.silentWorkers)
        m_lastListed.insert(worker);
    m_maybeListed = m_lastListed;
}

void SilentWorkers::add(const WorkerLifetime& worker, StoreClock leasesEndBy)
{
    if (leasesEndBy)
        m_silent.emplace(worker, leasesEndBy);
}

std::map<WorkerLifetime, StoreClock> SilentWorkers::list(bool mayListMore)
{
    std::map<WorkerLifetime, StoreClock> listed;
    std::size_t bytes = 0;
    for (const auto& [worker, leasesEndBy] : m_silent) {
        if (!mayListMore && !m_maybeListed.contains(worker))
            continue;
        bytes += worker.id.value().size() + bytesPerEntry;
        if (listed.size() == maxListed || bytes > maxListedBytes)
            break;
        listed.emplace(worker, leasesEndBy);
    }
    m_lastListed.clear();
    for (const auto& [worker, leasesEndBy] : listed)
        m_lastListed.insert(worker);
    m_maybeListed.insert(m_lastListed.begin(), m_lastListed.end());
    return listed;
}

} // namespace anvilmoor::batch
