#include "support/batch_cluster.h"
#include "support/batch_cluster_parts.h"

#include "batch/jobs/job_codec.h"
#include "batch/jobs/progress_codec.h"
#include "batch/store/tables.h"

#include <algorithm>
#include <utility>

// Performs commits, has daemons follow the tables, and reads and corrupts stored rows.

namespace anvilmoor::testing {

using namespace batch;

namespace {

constexpr Milliseconds commitTimeout { 700 };

} // namespace

bool BatchCluster::canReachStore(std::size_t daemon) const
{
    return !isStoreDown && !cutFromStore.contains(daemon);
}

void BatchCluster::follow(std::size_t index)
{
    if (!canReachStore(index))
        return;
    Daemon& daemon = m_daemons[index];
    const int lifetime = daemon.lifetime;
    deliver(index, lifetime, storeDelay, ConfigurationUpdated { { m_configuration }, m_now });
    RowKey start = leaseKey();
    start.key.clear();
    RowsUpdated lease { SchedulerTable::Lease, !daemon.isLeaseListed, {}, m_now, storeClock() };
    lease.rows
        = daemon.isLeaseListed ? m_store.changes(start.table, daemon.leaseSeen) : m_store.read(start, {});
    daemon.leaseSeen = m_store.version();
    daemon.isLeaseListed = true;
    deliver(index, lifetime, storeDelay, std::move(lease));
    if (!daemon.isFollowing)
        return;
    start.table = std::string(jobTable);
    RowsUpdated jobs { SchedulerTable::Jobs, !daemon.areJobsListed, {}, m_now };
    if (daemon.areJobsListed)
        jobs.rows = m_store.changes(start.table, daemon.jobsSeen);
    for (int part = 0; part < jobParts && !daemon.areJobsListed; ++part) {
        start.part = jobPartName(part);
        for (Row& row : m_store.read(start, {}))
            jobs.rows.push_back(std::move(row));
    }
    if (!areJobsSilent) {
        daemon.jobsSeen = m_store.version();
        daemon.areJobsListed = true;
        deliver(index, lifetime, storeDelay, std::move(jobs));
    }
    if (!m_registry.empty()) {
        if (m_now >= daemon.registryAt)
            followRegistry(index);
        return;
    }
    if (isRegistrySilent)
        return;
    WorkersUpdated workers { !daemon.areWorkersListed, {}, {}, m_now };
    for (const auto& worker : m_workers) {
        const WorkerId& id = worker->record.lifetime.id;
        if (m_unreadable.contains(id))
            workers.unreadable.push_back(id);
        else if (!m_unlisted.contains(id))
            workers.changed.push_back(worker->record);
        else if (daemon.areWorkersListed)
            workers.removed.push_back(worker->record.lifetime.id);
    }
    daemon.areWorkersListed = true;
    deliver(index, lifetime, storeDelay + registryDelay, std::move(workers));
}

CommitReply BatchCluster::perform(std::size_t daemon, int lifetime, const Commit& write, TimePoint sentAt)
{
    CommitReply reply = m_store.commit(write.transaction);
    if (reply.outcome != CommitOutcome::Applied || !isLifetime(daemon, lifetime))
        return reply;
    for (const Row& row : write.transaction.writes) {
        if (row.key != leaseKey())
            continue;
        const bool isRelease = batch::decodeLease(row.value).value().holder.empty();
        TimePoint& mayActUntil = m_daemons[daemon].mayActUntil;
        mayActUntil = isRelease ? m_now : std::max(mayActUntil, sentAt + batch::leaseDuration);
    }
    return reply;
}

void BatchCluster::commit(std::size_t daemon, const Commit& write)
{
    const int lifetime = m_daemons[daemon].lifetime;
    if (!canReachStore(daemon)) {
        deliver(daemon, lifetime, commitTimeout, CommitAnswered { write.operation });
        return;
    }
    const bool isLate = randomShare() < disturbances.lateCommitShare;
    if (isLate) {
        at(m_now + randomTime(1'000, 6'000),
            [this, daemon, lifetime, write, sentAt = m_now] { perform(daemon, lifetime, write, sentAt); });
        deliver(daemon, lifetime, commitTimeout, CommitAnswered { write.operation });
        return;
    }
    at(m_now + storeDelay / 2 + commitDelay, [this, daemon, lifetime, write, sentAt = m_now] {
        if (randomShare() < disturbances.freezeShare && isLifetime(daemon, lifetime))
            freeze(daemon, randomTime(50, 4'000));
        CommitReply reply = perform(daemon, lifetime, write, sentAt);
        reply.answeredAt = storeClock();
        const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < lostCommitReplyShare;
        if (isLost)
            deliver(daemon, lifetime, commitTimeout, CommitAnswered { write.operation });
        else
            deliver(daemon, lifetime, storeDelay / 2, CommitAnswered { write.operation, reply });
    });
}

void BatchCluster::corruptProgress(const JobId& job)
{
    m_store.commit({ {}, { { progressKey(job), "no row" } }, {} });
}

void BatchCluster::corruptLease() { m_store.commit({ {}, { { leaseKey(), "no row" } }, {} }); }

JobState BatchCluster::stateOf(const JobId& job) const
{
    const RowKey key = progressKey(job);
    const std::vector<Row> rows = m_store.read(key, key.key + '!');
    return rows.empty() ? JobState::Pending : decodeJobState(rows.front().value).value();
}

} // namespace anvilmoor::testing
