#pragma once

#include "anvilmoor/time.h"

#include <utility>

namespace anvilmoor::batch {

// Judges a worker by the outcome of its runs and not by its own status reports: some workers report that they
// are healthy although every run on them fails or stalls. A worker with several consecutive failures is
// suspended, then gets a single run as a trial. The suspension grows each time the trial fails.
class WorkerHealth {
public:
    void runSucceeded();
    void runFailed(TimePoint now);
    // The worker rejected an order because it is unhealthy. Suspends it at once, whereas a single failed run
    // does not, since the run itself may be at fault.
    void orderRefused(TimePoint now);

    // None of the worker's runs advances. Returns whether the worker was not stalled before.
    bool recordStall(TimePoint now);
    // A run advances. Returns whether the worker was stalled before.
    bool recordAdvance() { return std::exchange(m_isStalled, false); }

    bool isTrusted() const { return !m_isSuspect && !m_isStalled; }
    // Whether the worker is not trusted but may get one trial run that shows whether it has recovered.
    bool isDueForTrial(TimePoint now) const;
    void trialStarted() { m_isOnTrial = true; }
    void trialAborted() { m_isOnTrial = false; }

private:
    void suspect(TimePoint now);

    int m_consecutiveFailures = 0;
    int m_suspicions = 0;
    bool m_isSuspect = false;
    bool m_isOnTrial = false;
    TimePoint m_suspectUntil {};
    bool m_isStalled = false;
    TimePoint m_stalledAt {}; // time of the last reported stall
};

} // namespace anvilmoor::batch
