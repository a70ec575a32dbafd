#include "batch/jobs/job_book.h"

#include "batch/store/tables.h"
#include "batch/store/transaction_size.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::batch {

namespace {

// Empty if the job is not counted.
std::optional<bool> servedStateOf(const JobProgress& progress)
{
    if (progress.job().specification.schedule.occurrences || progress.state() == JobState::Cancelled)
        return std::nullopt;
    return progress.hasAssignments() || isTerminal(progress.state());
}

} // namespace

JobBook::Entry* JobBook::add(AcceptedJob job)
{
    const JobId id = job.specification.id;
    const auto [position, isNew] = m_entries.try_emplace(id, Entry(std::move(job)));
    if (!isNew)
        return nullptr;
    m_open.insert(id);
    recount(position->second);
    return &position->second;
}

JobBook::Entry* JobBook::find(const JobId& job)
{
    const auto found = m_entries.find(job);
    return found == m_entries.end() ? nullptr : &found->second;
}

const JobBook::Entry* JobBook::find(const JobId& job) const
{
    const auto found = m_entries.find(job);
    return found == m_entries.end() ? nullptr : &found->second;
}

void JobBook::requestCancel(const JobId& job, RowVersion version, TimePoint now)
{
    m_cancelRequests.note(job, version, now);
}

std::vector<JobId> JobBook::findUnusedCancelRequests(TimePoint now, std::size_t limit) const
{
    std::vector<JobId> unused;
    for (const auto& [notedAt, job] : m_cancelRequests.byTime()) {
        if (now < notedAt + cancelRetention || unused.size() >= limit)
            break;
        if (m_entries.contains(job))
            continue;
        if (unused.empty() || cancelKey(job).part == cancelKey(unused.front()).part)
            unused.push_back(job);
    }
    return unused;
}

void JobBook::noteCancelRequestRemoved(const JobId& job) { m_cancelRequests.erase(job); }

void JobBook::noteChange(Entry& entry, TimePoint now)
{
    const JobId& job = entry.progress.job().specification.id;
    m_changed.erase(entry.change);
    entry.change = ++m_lastChange;
    m_changed.emplace(entry.change, job);
    recount(entry);
    noteEnd(entry, now);
}

void JobBook::noteRestored(Entry& entry, TimePoint now)
{
    entry.storedState = entry.progress.state();
    recount(entry);
    noteEnd(entry, now);
}

void JobBook::noteUnreadable(Entry& entry)
{
    entry.isUnreadable = true;
    setCounted(entry, std::nullopt);
    m_open.erase(entry.progress.job().specification.id);
}

void JobBook::recount(Entry& entry) { setCounted(entry, servedStateOf(entry.progress)); }

void JobBook::setCounted(Entry& entry, std::optional<bool> isServed)
{
    if (entry.isCountedAsServed == isServed)
        return;
    const std::string& queue = entry.progress.job().terms.queue;
    if (entry.isCountedAsServed)
        m_sizeCounts.remove(queue, entry.sizeClass, *entry.isCountedAsServed);
    if (isServed)
        m_sizeCounts.add(queue, entry.sizeClass, *isServed);
    entry.isCountedAsServed = isServed;
}

void JobBook::noteEnd(Entry& entry, TimePoint now)
{
    if (!isTerminal(entry.progress.state()))
        return;
    const JobId& job = entry.progress.job().specification.id;
    if (!entry.endedAt) {
        entry.endedAt = now;
        m_ended.emplace(now, job);
    }
    if (!entry.progress.hasAssignments())
        m_open.erase(job);
}

bool JobBook::mayBeRemoved(const Entry& entry) const
{
    return entry.isStored() && !entry.progress.hasAssignments();
}

std::optional<JobId> JobBook::findExpired(TimePoint now) const
{
    for (const auto& [endedAt, job] : m_ended) {
        if (now < endedAt + jobRetention)
            return std::nullopt;
        if (mayBeRemoved(m_entries.at(job)) && !m_cancelRequests.isInForce(job, now))
            return job;
    }
    return std::nullopt;
}

void JobBook::noteRowsRemoved(const JobId& job)
{
    const Entry* entry = find(job);
    if (!entry || !entry->endedAt)
        return;
    m_ended.erase({ *entry->endedAt, job });
    m_expired.insert(job);
}

JobBook::Changes JobBook::collectChanges(const ChangeLimits& limits) const
{
    Changes changes;
    std::size_t bytes = 0;
    for (const auto& [change, job] : m_changed) {
        const Entry& entry = m_entries.at(job);
        if (entry.isSuspect && !changes.writes.empty())
            return changes;
        const std::size_t maxBytes = std::min(limits.rowBytes, entry.maxRowBytes);
        Row row { progressKey(job), entry.progress.encodeProgress(maxBytes) };
        if (row.value.size() > maxBytes) {
            changes.unstorable.push_back(job);
            continue;
        }
        bytes += encodedBytes(row);
        const bool isFull = changes.writes.size() >= limits.rows || bytes > limits.bytes;
        if (isFull && !changes.writes.empty())
            return changes;
        changes.jobs.push_back({ job, change, entry.progress.state(), row.value.size() });
        changes.writes.push_back(std::move(row));
        if (entry.isSuspect)
            return changes;
    }
    for (const JobId& job : m_expired) {
        if (changes.writes.size() + changes.removals.size() >= limits.rows)
            return changes;
        changes.expired.push_back(job);
        changes.removals.push_back(progressKey(job));
    }
    return changes;
}

void JobBook::noteStored(const Changes& changes)
{
    for (const Changes::Job& job : changes.jobs) {
        Entry* entry = find(job.id);
        if (!entry)
            continue;
        entry->isSuspect = false;
        entry->storedChange = job.change;
        entry->storedState = job.state;
        m_changed.erase(job.change);
    }
    for (const JobId& job : changes.expired) {
        if (Entry* entry = find(job))
            setCounted(*entry, std::nullopt);
        m_entries.erase(job);
        m_expired.erase(job);
        m_open.erase(job);
        m_cancelRequests.erase(job);
    }
}

void JobBook::noteRejected(const Changes& changes)
{
    for (const Changes::Job& job : changes.jobs) {
        Entry* entry = find(job.id);
        if (!entry)
            continue;
        // A suspect is stored alone.
        if (entry->isSuspect)
            m_rejected = job;
        entry->isSuspect = true;
    }
}

std::optional<JobId> JobBook::shrinkRejected()
{
    if (!m_rejected)
        return std::nullopt;
    const Changes::Job rejected = *std::exchange(m_rejected, std::nullopt);
    if (Entry* entry = find(rejected.id))
        entry->maxRowBytes = rejected.rowBytes / 2;
    return rejected.id;
}

void JobBook::noteUnwritable(const JobId& job)
{
    Entry& entry = m_entries.at(job);
    m_changed.erase(entry.change);
    m_open.erase(job);
    setCounted(entry, std::nullopt);
}

std::vector<JobBook::Entry*> JobBook::openEntries()
{
    std::vector<Entry*> entries;
    for (const JobId& job : m_open)
        entries.push_back(&m_entries.at(job));
    return entries;
}

std::map<std::string, std::uint64_t> JobBook::waitingJobs() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const JobId& job : m_open) {
        const JobProgress& progress = m_entries.at(job).progress;
        if (!progress.hasBegun() && !isTerminal(progress.state()))
            ++counts[progress.job().terms.queue];
    }
    return counts;
}

} // namespace anvilmoor::batch
