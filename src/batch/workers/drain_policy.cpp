#include "batch/workers/drain_policy.h"

#include <algorithm>

namespace anvilmoor::batch {

namespace {

// Until the end of a run is read and stored, or an order to stop it has arrived.
constexpr Milliseconds endReportTime { 200 };

// The remaining time of an entry passes in real time, but its age is read on a clock that may be slow. The
// estimate of that clock may be behind the time of the entry.
Milliseconds longestRealTime(WorkerClock elapsed)
{
    return Milliseconds(
        (std::max<WorkerClock>(elapsed, 0) * 100 + slowestClockPercent - 1) / slowestClockPercent);
}

} // namespace

std::optional<TimePoint> earliestDeparture(const Worker& worker, TimePoint now)
{
    const WorkerRecord& record = worker.record;
    const WorkerClock clock = worker.clock.at(now);
    if (!record.isDraining || !clock)
        return std::nullopt;
    if (record.writtenAt)
        return now - longestRealTime(clock - record.writtenAt) + record.remaining;
    // Without a known age of the entry, all of the remaining time may have passed.
    return worker.changedAfter ? *worker.changedAfter + record.remaining : now;
}

DrainPolicy::DrainPolicy(Milliseconds stopTimeout)
    : m_stopTimeout(stopTimeout)
{
}

TimePoint DrainPolicy::lastStopAt(TimePoint leavesAt) const
{
    return leavesAt - endReportTime - m_stopTimeout;
}

bool DrainPolicy::shouldStop(const DrainingRun& run, TimePoint leavesAt, TimePoint now) const
{
    // A run that seems certain to end in time may still become slower, and then end unread.
    if (now >= lastStopAt(leavesAt))
        return true;
    // All further work of a run that cannot end until then is lost, unless it saves checkpoints.
    const Milliseconds timeLeft = lastStopAt(leavesAt) - now;
    return !run.savesCheckpoints && run.shortestTimeToEnd && *run.shortestTimeToEnd > timeLeft;
}

TimePoint DrainPolicy::nextDecisionAt(TimePoint leavesAt, TimePoint now) const
{
    return now < lastStopAt(leavesAt) ? lastStopAt(leavesAt) : TimePoint::max();
}

} // namespace anvilmoor::batch
