#pragma once

#include "anvilmoor/time.h"

#include <optional>

namespace anvilmoor::batch {

// Observes how late the event loop runs a repeating timer, and so whether the daemon keeps up with its input.
// It is late if it lacks CPU time, or if its host was suspended.
class LatenessMonitor {
public:
    // The beginning or the end of a time in which the daemon is late.
    struct Change {
        bool isLate = false;
        Milliseconds lateness { 0 }; // at the beginning: of this call; at the end: the largest
    };

    // `interval`: of the timer.
    explicit LatenessMonitor(Milliseconds interval);

    // Called each time the timer fires.
    std::optional<Change> timerFired(TimePoint now);
    // Of the last call.
    Milliseconds lateness() const { return m_lateness; }

private:
    Milliseconds m_interval;
    std::optional<TimePoint> m_firedAt;
    Milliseconds m_lateness { 0 };
    bool m_isLate = false;
    Milliseconds m_largest { 0 }; // since the daemon has been late
    TimePoint m_lastLateAt {};
};

} // namespace anvilmoor::batch
