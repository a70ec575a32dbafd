#include "jobs/job_store.h"
#include "jobs/table_rows.h"

#include <utility>

namespace anvilmoor {

namespace {

constexpr std::size_t maxRowsPerBatch = 64;
// An ended job stays in memory until no reply with a row from before its end can arrive.
constexpr Milliseconds endedRetention = 2 * operationTimeout;
constexpr Milliseconds terminalRetention { std::chrono::hours(7 * 24) };

} // namespace

void JobStore::deleteMarkers(const HeldRole& role, Step& step)
{
    if (m_deletableMarkers.empty() || !m_removals.empty() || m_isFenced)
        return;
    TableTransaction transaction;
    transaction.conditions = { { m_ownerKey, role.ownerVersion } };
    for (auto it = m_deletableMarkers.begin();
         it != m_deletableMarkers.end() && transaction.writes.size() < maxRowsPerBatch;) {
        transaction.writes.push_back({ jobNewRowKey(*it), std::nullopt });
        it = m_deletableMarkers.erase(it);
    }
    const OperationId id = m_counter.next();
    m_removals.emplace(id.sequence, step.now);
    step.emit(ExecuteTransaction { id, std::move(transaction) });
}

void JobStore::forgetEnded(TimePoint now)
{
    std::erase_if(m_jobs, [&](const auto& item) {
        return isTerminal(item.second.record.status.state) && !m_writes.contains(item.first)
            && now - item.second.knownAt >= endedRetention;
    });
}

void JobStore::removeExpired(const HeldRole& role, Step& step)
{
    forgetEnded(step.now);
    if (!m_areExpiriesRead && (!m_expiryOperation || step.now - m_expirySentAt >= operationTimeout)) {
        const OperationId id = m_counter.next();
        m_expiryOperation = id.sequence;
        m_expirySentAt = step.now;
        step.emit(ReadTable { id, { {}, { m_expiryPrefix } } });
    }
    if (!m_removals.empty() || m_isFenced)
        return;
    TableTransaction transaction;
    transaction.conditions = { { m_ownerKey, role.ownerVersion } };
    std::size_t rows = 0;
    for (auto it = m_uselessCancellations.begin();
         it != m_uselessCancellations.end() && rows < maxRowsPerBatch; ++rows) {
        transaction.writes.push_back({ jobCancelRowKey(*it), std::nullopt });
        it = m_uselessCancellations.erase(it);
    }
    for (auto it = m_expiries.begin(); it != m_expiries.end() && rows < maxRowsPerBatch;) {
        const auto& [job, expiry] = *it;
        if (step.wallTime - expiry.finishedAt <= terminalRetention) {
            ++it;
            continue;
        }
        transaction.writes.push_back({ jobDoneRowKey(job), std::nullopt });
        transaction.writes.push_back({ expiry.indexKey, std::nullopt });
        transaction.writes.push_back({ jobExpiryRowKey(job), std::nullopt });
        it = m_expiries.erase(it);
        ++rows;
    }
    if (transaction.writes.empty())
        return;
    const OperationId id = m_counter.next();
    m_removals.emplace(id.sequence, step.now);
    step.emit(ExecuteTransaction { id, std::move(transaction) });
}

} // namespace anvilmoor
