#include "support/batch_cluster.h"
#include "support/batch_cluster_parts.h"

#include <utility>

// Keeps the workers' registry and sends its changes to the daemons.

namespace anvilmoor::testing {

using namespace batch;

namespace {

constexpr Milliseconds registryInterval { 1'500 };
constexpr Milliseconds registryExpiry = 3 * registryInterval;

} // namespace

void BatchCluster::setEntryReadable(const WorkerId& id, bool isReadable)
{
    if (isReadable)
        m_unreadable.erase(id);
    else
        m_unreadable.insert(id);
}

void BatchCluster::updateRegistry(
    bool isComplete, std::vector<WorkerRecord> changed, std::vector<WorkerId> removed, bool isAfterFailure)
{
    const WorkersUpdated update { isComplete, std::move(changed), std::move(removed), m_now, {},
        isAfterFailure };
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
        deliver(i, m_daemons[i].lifetime, storeDelay, update);
}

void BatchCluster::keepRegistryRows()
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        m_registry.push_back({ m_workers[i]->record, ++m_registryVersion, m_now });
        at(m_now + randomTime(0, static_cast<int>(registryInterval.count())), [this, i] { renewEntry(i); });
    }
    dropRegistryHistory();
}

void BatchCluster::dropRegistryHistory()
{
    for (Daemon& daemon : m_daemons)
        daemon.areWorkersListed = false;
}

void BatchCluster::renewEntry(std::size_t worker)
{
    at(m_now + registryInterval, [this, worker] { renewEntry(worker); });
    if (m_workers[worker]->isCutFromStore || isStoreDown)
        return;
    m_registry[worker] = { m_workers[worker]->record, ++m_registryVersion, m_now };
}

void BatchCluster::removeWorker(std::size_t worker)
{
    m_workers[worker]->leave();
    m_workers[worker]->isCutFromStore = true;
    m_registry[worker].isListed = false;
    m_registry[worker].version = ++m_registryVersion;
}

void BatchCluster::expireEntries()
{
    for (RegistryEntry& entry : m_registry) {
        if (!entry.isListed || m_now < entry.renewedAt + registryExpiry)
            continue;
        entry.isListed = false;
        entry.version = ++m_registryVersion;
    }
}

void BatchCluster::followRegistry(std::size_t index)
{
    Daemon& daemon = m_daemons[index];
    expireEntries();
    WorkersUpdated workers { !daemon.areWorkersListed, {}, {}, m_now };
    for (const RegistryEntry& entry : m_registry) {
        if (daemon.areWorkersListed && entry.version <= daemon.registrySeen)
            continue;
        if (entry.isListed)
            workers.changed.push_back(entry.record);
        else if (daemon.areWorkersListed)
            workers.removed.push_back(entry.record.lifetime.id);
    }
    daemon.registrySeen = m_registryVersion;
    daemon.areWorkersListed = true;
    // Answers take up to 0.8 s, and one request follows the other.
    daemon.registryAt = m_now + randomTime(static_cast<int>(storeDelay.count()), 800);
    at(daemon.registryAt,
        [this, index, lifetime = daemon.lifetime, reads = daemon.registryReads,
            workers = std::move(workers)] {
            if (isLifetime(index, lifetime) && m_daemons[index].registryReads == reads)
                dispatch(index, workers);
        });
}

} // namespace anvilmoor::testing
