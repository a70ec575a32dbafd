#pragma once

#include "anvilmoor/time.h"

namespace anvilmoor::batch {

// Bounds how long a leader may take to load. One that takes longer releases the lease: a daemon with too
// little network bandwidth or CPU time would otherwise hold the lease without scheduling anything. In case
// all daemons are too slow, each doubles its time-out after it expires, up to a maximum, and claims a free
// lease later than those that have failed less often.
class LoadTimeout {
public:
    void begin(TimePoint now) { m_begunAt = now; }
    bool isOver(TimePoint now) const { return now >= m_begunAt + m_limit; }
    // Called when loading is given up.
    void noteExpired();
    // Called when loading has finished. Resets the time-out and the claim delay.
    void noteLoaded();

    Milliseconds limit() const { return m_limit; }
    // How much longer than others this daemon waits before it claims a free lease.
    Milliseconds claimDelay() const;

private:
    // Loading takes about 0.3 s with 350 workers.
    static constexpr Milliseconds initialLimit { 2'000 };

    TimePoint m_begunAt {};
    Milliseconds m_limit { initialLimit };
    int m_expiries = 0; // since this daemon has loaded last
};

} // namespace anvilmoor::batch
