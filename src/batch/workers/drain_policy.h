#pragma once

#include "anvilmoor/time.h"
#include "batch/workers/worker_pool.h"

#include <optional>

namespace anvilmoor::batch {

// An answer of a draining worker that is this late is asked for again beside the open request: the worker may
// leave before a lost packet is sent again. Longer than a round trip to another availability zone.
constexpr Milliseconds overdueAnswerTime { 60 };

// When a draining worker leaves at the earliest. Empty if it doesn't drain, or hasn't told this leader its
// clock.
std::optional<TimePoint> earliestDeparture(const Worker&, TimePoint now);

// What the decision whether to stop a run depends on.
struct DrainingRun {
    std::optional<Milliseconds> shortestTimeToEnd; // empty: unknown, or it lasts until it is stopped
    bool savesCheckpoints = false; // a stop loses none of its work
};

// Decides when the runs of a draining worker are stopped. How a run ended can't be learned from a worker that
// has left, so each run has to end, and its end has to be read and stored, while the worker is sure to be
// there.
class DrainPolicy {
public:
    // `stopTimeout`: longest time that a worker takes to stop a run.
    explicit DrainPolicy(Milliseconds stopTimeout);

    // `leavesAt`: when the worker may leave at the earliest.
    bool shouldStop(const DrainingRun&, TimePoint leavesAt, TimePoint now) const;
    // When a run that is not to be stopped yet has to be judged again if nothing else changes. The latest
    // time if no run may go on.
    TimePoint nextDecisionAt(TimePoint leavesAt, TimePoint now) const;

private:
    // The end of a run that is stopped later may not be read.
    TimePoint lastStopAt(TimePoint leavesAt) const;

    Milliseconds m_stopTimeout;
};

} // namespace anvilmoor::batch
