#pragma once

#include "anvilmoor/time.h"

#include <cstdint>

namespace anvilmoor::batch {

// Milliseconds on the steady clock of another process, such as StoreClock or WorkerClock; 0: not reported.
using RemoteClock = std::int64_t;

// Lowest rate of such a clock.
constexpr std::int64_t slowestClockPercent = 98;

// Estimates the clock of another process from the readings in its answers. The estimate is never ahead of
// that clock, whose rate may differ by up to 2%. It lags behind by at most the transit time of the fastest
// recent answer and 4% of the time since then.
class RemoteClockEstimate {
public:
    void note(RemoteClock reading, TimePoint now);
    // 0 if no answer has reported the clock yet.
    RemoteClock at(TimePoint now) const;

private:
    RemoteClock m_reading = 0;
    TimePoint m_readAt {};
};

} // namespace anvilmoor::batch
