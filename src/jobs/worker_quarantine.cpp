#include "jobs/worker_quarantine.h"

#include <algorithm>

namespace anvilmoor {

namespace {

constexpr int failuresToQuarantine = 3;
// Longer than it takes to place a claim again, including its evictions.
constexpr Milliseconds failureCooldown { 3'000 };
constexpr Milliseconds firstQuarantine { 60'000 };
constexpr int maxDoublings = 6; // at most 64 minutes
constexpr std::size_t maxJobsRemembered = 8;

} // namespace

bool WorkerQuarantine::recordFailure(const WorkerId& worker, const JobId& job, TimePoint now)
{
    Entry& entry = m_workers[worker];
    ++entry.failuresInRow;
    if (entry.jobs.size() < maxJobsRemembered)
        entry.jobs.insert(job);
    entry.cooldownUntil = now + failureCooldown;
    if (entry.failuresInRow < failuresToQuarantine || now < entry.until)
        return false;
    const int doublings = std::min(entry.failuresInRow - failuresToQuarantine, maxDoublings);
    entry.until = now + firstQuarantine * (1 << doublings);
    return true;
}

void WorkerQuarantine::recordSuccess(const WorkerId& worker) { m_workers.erase(worker); }

bool WorkerQuarantine::isQuarantined(const WorkerId& worker, TimePoint now) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && now < std::max(found->second.until, found->second.cooldownUntil);
}

bool WorkerQuarantine::isAtFault(const WorkerId& worker, std::size_t workerCount) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.jobs.size() > 1 && m_workers.size() * 2 <= workerCount;
}

} // namespace anvilmoor
