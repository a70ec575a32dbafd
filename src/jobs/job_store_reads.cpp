#include "jobs/job_store.h"
#include "jobs/table_rows.h"

#include <algorithm>
#include <utility>

namespace anvilmoor {

namespace {

constexpr std::size_t maxReadsInFlight = 256; // with more, rows wait for the next poll
// Between complete polls, reading new markers and cancellations is enough, because every submission and every
// cancellation writes a row.
constexpr Milliseconds completePollInterval { 600'000 };

} // namespace

void JobStore::poll(Step& step)
{
    if (m_pollOperation && step.now - m_pollSentAt < operationTimeout)
        return;
    // Reads that never got a reply must not block later reads. This poll reads their rows.
    if (m_reads.size() >= maxReadsInFlight)
        m_reads.clear();
    const OperationId id = m_counter.next();
    m_pollOperation = id.sequence;
    m_pollSentAt = step.now;
    m_isPollComplete = true;
    step.emit(ReadTable { id, { {}, { m_jobPrefix, m_newPrefix, m_cancelPrefix } } });
}

void JobStore::pollSubmissions(Step& step)
{
    if (!m_lastPoll || step.now - *m_lastPoll >= completePollInterval) {
        poll(step);
        return;
    }
    if (m_pollOperation && step.now - m_pollSentAt < operationTimeout)
        return;
    const OperationId id = m_counter.next();
    m_pollOperation = id.sequence;
    m_pollSentAt = step.now;
    m_isPollComplete = false;
    step.emit(ReadTable { id, { {}, { m_newPrefix, m_cancelPrefix } } });
}

void JobStore::read(const JobId& job, Step& step)
{
    if (zoneOf(job) != m_zone || m_reads.size() >= maxReadsInFlight)
        return;
    const OperationId id = m_counter.next();
    m_reads.emplace(id.sequence, job);
    step.emit(ReadTable { id, { { jobRowKey(job), jobCancelRowKey(job) }, {} } });
}

void JobStore::pollReplied(const TableReply& reply, Step& step)
{
    if (reply.status != TableStatus::Ok)
        return;
    m_lastAnswer = step.now;
    if (m_isPollComplete) {
        takeAllRows(reply);
        m_lastPoll = m_pollSentAt;
    }
    takeMarkers(reply, step);
    for (const TableRow& row : reply.rows) {
        if (row.key.starts_with(m_cancelPrefix))
            takeCancellation(row);
    }
}

void JobStore::takeAllRows(const TableReply& reply)
{
    m_deletableMarkers.clear();
    std::unordered_set<std::string> keysFound;
    for (const TableRow& row : reply.rows) {
        if (row.key.starts_with(m_jobPrefix)) {
            keysFound.insert(row.key);
            take(row, m_pollSentAt);
        }
    }
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        const bool isGone = it->second.knownAt < m_pollSentAt && !m_writes.contains(it->first)
            && !keysFound.contains(jobRowKey(it->first));
        if (isGone)
            m_changed.insert(it->first);
        it = isGone ? m_jobs.erase(it) : std::next(it);
    }
}

// Reads the rows of marked jobs that are not known yet. Schedules the markers of known jobs for deletion.
void JobStore::takeMarkers(const TableReply& reply, Step& step)
{
    for (const TableRow& row : reply.rows) {
        if (!row.key.starts_with(m_newPrefix))
            continue;
        const JobId job(row.key.substr(m_newPrefix.size()));
        if (zoneOf(job) != m_zone)
            continue;
        if (m_jobs.contains(job))
            m_deletableMarkers.insert(job);
        else
            read(job, step);
    }
}

void JobStore::takeExpiries(const TableReply& reply)
{
    if (reply.status != TableStatus::Ok)
        return;
    m_areExpiriesRead = true;
    for (const TableRow& row : reply.rows) {
        if (!row.key.starts_with(m_expiryPrefix))
            continue;
        if (std::optional<JobExpiryRecord> expiry = decodeJobExpiry(row.value))
            m_expiries.emplace(JobId(row.key.substr(m_expiryPrefix.size())), std::move(*expiry));
    }
}

void JobStore::readReplied(const JobId& job, const TableReply& reply)
{
    if (reply.status != TableStatus::Ok)
        return;
    if (const TableRow* row = findRow(reply, jobRowKey(job)))
        take(*row, TimePoint {});
    else if (!m_jobs.contains(job))
        m_deletableMarkers.insert(job); // the job has ended
    if (const TableRow* row = findRow(reply, jobCancelRowKey(job)))
        takeCancellation(*row);
}

std::optional<JobId> JobStore::take(const TableRow& row, TimePoint knownAt)
{
    const JobId job(row.key.substr(std::min(m_jobPrefix.size(), row.key.size())));
    const auto found = m_jobs.find(job);
    if (found != m_jobs.end()) {
        found->second.knownAt = std::max(found->second.knownAt, knownAt);
        // A pending write reads the row itself if it conflicts. For an ended job, this row was read before
        // its end.
        if (isTerminal(found->second.record.status.state) || row.version <= found->second.version
            || m_writes.contains(job))
            return job;
    }
    const auto malformed = m_malformed.find(row.key);
    if (malformed != m_malformed.end() && malformed->second == row.version)
        return std::nullopt;
    std::optional<JobRecord> record = decodeJob(row.value);
    if (!record || record->status.specification.id != job || zoneOf(job) != m_zone) {
        m_malformed[row.key] = row.version;
        return std::nullopt;
    }
    JobEntry& entry = m_jobs[job];
    entry.record = std::move(*record);
    entry.version = row.version;
    entry.value = row.value;
    entry.knownAt = std::max(entry.knownAt, knownAt);
    m_changed.insert(job);
    return job;
}

void JobStore::takeCancellation(const TableRow& row)
{
    const JobId job(row.key.substr(std::min(m_cancelPrefix.size(), row.key.size())));
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end() || isTerminal(found->second.record.status.state)) {
        if (zoneOf(job) == m_zone)
            m_uselessCancellations.insert(job);
        return;
    }
    if (found->second.isCancelRequested)
        return;
    found->second.isCancelRequested = true;
    m_changed.insert(job);
}

} // namespace anvilmoor
