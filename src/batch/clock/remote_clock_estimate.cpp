#include "batch/clock/remote_clock_estimate.h"

namespace anvilmoor::batch {

void RemoteClockEstimate::note(RemoteClock reading, TimePoint now)
{
    // An answer that was delayed in transit may be less accurate than the estimate from an earlier one.
    if (!reading || reading < at(now))
        return;
    m_reading = reading;
    m_readAt = now;
}

RemoteClock RemoteClockEstimate::at(TimePoint now) const
{
    // Assuming the slowest rate keeps the estimate from running ahead.
    return m_reading ? m_reading + (now - m_readAt).count() * slowestClockPercent / 100 : 0;
}

} // namespace anvilmoor::batch
