#include "batch/workers/silent_workers.h"

namespace anvilmoor::batch {

namespace {

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

std::map<WorkerLifetime, StoreClock> SilentWorkers::beginCommit(bool mayListMore, std::size_t maxBytes)
{
    std::map<WorkerLifetime, StoreClock> listed;
    std::size_t bytes = 0;
    for (const auto& [worker, leasesEndBy] : m_silent) {
        if (!mayListMore && !m_maybeListed.contains(worker))
            continue;
        bytes += worker.id.value().size() + bytesPerEntry;
        if (bytes > maxBytes)
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
