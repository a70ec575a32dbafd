#include "jobs/placement_queue.h"

#include <algorithm>

namespace anvilmoor {

namespace {

// Most jobs start sooner than this, and their rows need no reason.
constexpr Milliseconds reasonDelay { 5'000 };
constexpr Milliseconds reasonInterval { 60'000 };

std::string withoutDigits(std::string reason)
{
    std::erase_if(reason, [](char c) { return c >= '0' && c <= '9'; });
    return reason;
}

} // namespace

void PlacementQueue::add(const JobSpecification& specification, TimePoint queuedAt, TimePoint notBefore,
    const std::string& storedReason)
{
    const auto [found, isNew] = m_entries.try_emplace(specification.id);
    if (!isNew)
        return;
    Entry& entry = found->second;
    entry.job = { specification, queuedAt, {} };
    entry.notBefore = notBefore;
    entry.storedReasonWithoutDigits = withoutDigits(storedReason);
    m_order.emplace(std::pair(queuedAt, specification.id), &entry);
}

void PlacementQueue::remove(const JobId& job)
{
    const auto found = m_entries.find(job);
    if (found == m_entries.end())
        return;
    m_order.erase({ found->second.job.queuedAt, job });
    m_claims.erase(job);
    m_entries.erase(found);
}

void PlacementQueue::clear()
{
    m_order.clear();
    m_claims.clear();
    m_entries.clear();
}

std::vector<QueuedJob> PlacementQueue::ready(TimePoint now) const
{
    std::vector<QueuedJob> result;
    for (const auto& [key, entry] : m_order) {
        if (entry->notBefore <= now)
            result.push_back(entry->job);
    }
    return result;
}

const JobSpecification* PlacementQueue::find(const JobId& job) const
{
    const auto found = m_entries.find(job);
    return found == m_entries.end() ? nullptr : &found->second.job.specification;
}

void PlacementQueue::setClaim(const JobId& job, PlacementClaim claim)
{
    const auto found = m_entries.find(job);
    if (found == m_entries.end())
        return;
    found->second.job.claimedMembers = claim.members;
    m_claims.insert_or_assign(job, std::move(claim));
}

void PlacementQueue::dropClaim(const JobId& job)
{
    m_claims.erase(job);
    if (const auto found = m_entries.find(job); found != m_entries.end())
        found->second.job.claimedMembers.clear();
}

void PlacementQueue::dropClaims()
{
    m_claims.clear();
    for (auto& [job, entry] : m_entries)
        entry.job.claimedMembers.clear();
}

void PlacementQueue::setReason(const JobId& job, std::string reason)
{
    if (const auto found = m_entries.find(job); found != m_entries.end())
        found->second.reason = std::move(reason);
}

std::string PlacementQueue::reason(const JobId& job) const
{
    const auto found = m_entries.find(job);
    return found == m_entries.end() ? std::string() : found->second.reason;
}

std::vector<JobId> PlacementQueue::takeReasonsToStore(TimePoint now, std::size_t limit)
{
    std::vector<JobId> result;
    for (auto& [key, entry] : m_order) {
        if (result.size() >= limit)
            break;
        // A job cannot start while its row is being written, so a job that holds a claim is skipped.
        const bool isEarly = now - key.first < reasonDelay || !entry->job.claimedMembers.empty()
            || (entry->storedAt && now - *entry->storedAt < reasonInterval);
        if (isEarly || entry->reason.empty())
            continue;
        std::string kind = withoutDigits(entry->reason);
        if (kind == entry->storedReasonWithoutDigits)
            continue;
        entry->storedReasonWithoutDigits = std::move(kind);
        entry->storedAt = now;
        result.push_back(key.second);
    }
    return result;
}

} // namespace anvilmoor
