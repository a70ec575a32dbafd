#include "batch/workers/worker_health.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::batch {

namespace {

// One or two consecutive failures may be caused by the runs themselves.
constexpr int failuresUntilSuspect = 3;
constexpr Milliseconds firstSuspension { 3'000 };
constexpr int maxDoublings = 3;

Milliseconds suspensionAfter(int earlierSuspensions)
{
    return firstSuspension * (1 << std::min(earlierSuspensions, maxDoublings));
}

} // namespace

void WorkerHealth::runSucceeded()
{
    m_consecutiveFailures = 0;
    m_suspicions = 0;
    m_isSuspect = false;
    m_isOnTrial = false;
    m_isStalled = false;
    m_stalls = 0;
}

bool WorkerHealth::recordStall(TimePoint now)
{
    if (std::exchange(m_isStalled, true))
        return false;
    suspendStalled(now);
    return true;
}

void WorkerHealth::trialStalled(TimePoint now)
{
    if (m_isStalled && m_isOnTrial)
        suspendStalled(now);
}

bool WorkerHealth::recordAdvance()
{
    m_stalls = 0;
    return std::exchange(m_isStalled, false);
}

void WorkerHealth::trialPassed()
{
    m_consecutiveFailures = failuresUntilSuspect - 1;
    m_isSuspect = false;
    m_isOnTrial = false;
    m_isStalled = false;
}

void WorkerHealth::suspendStalled(TimePoint now)
{
    m_isOnTrial = false;
    m_stalledUntil = now + suspensionAfter(m_stalls);
    ++m_stalls;
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
    const Milliseconds suspension = suspensionAfter(m_suspicions);
    if (!m_isSuspect || m_isOnTrial)
        ++m_suspicions;
    m_isSuspect = true;
    m_isOnTrial = false;
    m_suspectUntil = now + suspension;
}

bool WorkerHealth::isDueForTrial(TimePoint now) const
{
    if (isTrusted() || m_isOnTrial)
        return false;
    const bool isSuspended = m_isSuspect && now < m_suspectUntil;
    const bool isSuspendedAsStalled = m_isStalled && now < m_stalledUntil;
    return !isSuspended && !isSuspendedAsStalled;
}

} // namespace anvilmoor::batch
