#include "batch/workers/worker_health.h"

#include <algorithm>

namespace anvilmoor::batch {

namespace {

// One or two consecutive failures may be caused by the runs themselves.
constexpr int failuresUntilSuspect = 3;
constexpr Milliseconds firstSuspension { 3'000 };
constexpr int maxDoublings = 3;

} // namespace

void WorkerHealth::runSucceeded()
{
    m_consecutiveFailures = 0;
    m_suspicions = 0;
    m_isSuspect = false;
    m_isOnTrial = false;
    m_isStalled = false;
}

bool WorkerHealth::recordStall(TimePoint now)
{
    m_stalledAt = now;
    m_isOnTrial = false;
    return !std::exchange(m_isStalled, true);
}

void WorkerHealth::runFailed(TimePoint now)
{
    ++m_consecutiveFailures;
    if (m_isOnTrial || m_consecutiveFailures >= failuresUntilSuspect)
        suspect(now);
}

void WorkerHealth::orderRefused(TimePoint now) { suspect(now); }

void WorkerHealth::suspect(TimePoint now)
{
    const int doublings = std::min(m_suspicions, maxDoublings);
    if (!m_isSuspect || m_isOnTrial)
        ++m_suspicions;
    m_isSuspect = true;
    m_isOnTrial = false;
    m_suspectUntil = now + firstSuspension * (1 << doublings);
}

bool WorkerHealth::isDueForTrial(TimePoint now) const
{
    if (isTrusted() || m_isOnTrial)
        return false;
    const bool isSuspended = m_isSuspect && now < m_suspectUntil;
    const bool hasJustStalled = m_isStalled && now < m_stalledAt + firstSuspension;
    return !isSuspended && !hasJustStalled;
}

} // namespace anvilmoor::batch
