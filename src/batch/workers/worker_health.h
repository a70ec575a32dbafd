#pragma once

#include "anvilmoor/time.h"

namespace anvilmoor::batch {

// Judges a worker by the outcome of its runs and not by its own status reports: some workers report that they
// are healthy although every run on them fails or stalls. A worker with several consecutive failures is
// suspended, then gets a single run as a trial. So is a worker whose runs have stalled, even while it still
// has them. The suspension grows each time the trial fails or stalls.
class WorkerHealth {
public:
    void runSucceeded();
    void runFailed(TimePoint now);
    // The worker rejected an order because it is unhealthy. Suspends it at once, whereas a single failed run
    // does not, since the run itself may be at fault.
    void orderRefused(TimePoint now);

    // None of the worker's runs advances. Returns whether the worker was not stalled before, and suspends it
    // in that case.
    bool recordStall(TimePoint now);
    // The trial run of a stalled worker does not advance either.
    void trialStalled(TimePoint now);
    // A run advances. Returns whether the worker was stalled before.
    bool recordAdvance();

    bool isTrusted() const { return !m_isSuspect && !m_isStalled; }
    bool isStalled() const { return m_isStalled; }
    // Whether the worker is not trusted but may get one trial run, or the runs of one gang, that show whether
    // it has recovered.
    bool isDueForTrial(TimePoint now) const;
    void trialStarted() { m_isOnTrial = true; }
    void trialAborted() { m_isOnTrial = false; }
    // The trial run has gone on for long without a failure. The worker is trusted again, but the next failure
    // suspends it.
    void trialPassed();

private:
    void suspect(TimePoint now);
    void suspendStalled(TimePoint now);

    int m_consecutiveFailures = 0;
    int m_suspicions = 0;
    bool m_isSuspect = false;
    bool m_isOnTrial = false;
    TimePoint m_suspectUntil {};
    bool m_isStalled = false;
    int m_stalls = 0; // the first stall and those of trial runs since
    TimePoint m_stalledUntil {};
};

} // namespace anvilmoor::batch
