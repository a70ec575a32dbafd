#pragma once

#include "anvilmoor/time.h"

#include <utility>

namespace anvilmoor::batch {

// Judges a worker by the runs that it had, not by what it says of itself: some workers fail or stall all that
// they start while their reports look sound. One that fails several runs on end gets nothing for a while,
// then one run as a trial, and waits longer each time the trial fails.
class WorkerHealth {
public:
    void runSucceeded();
    void runFailed(TimePoint now);
    // The worker refused an order as unhealthy. Counts more than a failure, which may be the run's own fault.
    void orderRefused(TimePoint now);

    // What runs here does not advance. Returns whether that is news.
    bool noteStall(TimePoint now);
    // Something advances again. Returns whether nothing did before.
    bool noteAdvance() { return std::exchange(m_isStalled, false); }

    bool isTrusted() const { return !m_isSuspect && !m_isStalled; }
    // Not trusted, but due for one run that shows whether it has recovered.
    bool isDueForTrial(TimePoint now) const;
    void trialStarted() { m_isOnTrial = true; }
    void trialAborted() { m_isOnTrial = false; }

private:
    void suspect(TimePoint now);

    int m_failuresOnEnd = 0;
    int m_suspicions = 0;
    bool m_isSuspect = false;
    bool m_isOnTrial = false;
    TimePoint m_suspectUntil {};
    bool m_isStalled = false;
    TimePoint m_stalledAt {}; // when a stall was last seen
};

} // namespace anvilmoor::batch
