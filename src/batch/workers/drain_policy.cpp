#include "batch/workers/drain_policy.h"

namespace anvilmoor::batch {

namespace {

// Until the end of a run is read and stored, or an order to stop it has arrived.
constexpr Milliseconds endReportTime { 200 };

} // namespace

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
    const Milliseconds timeLeft = leavesAt - endReportTime - now;
    if (timeLeft <= Milliseconds(0))
        return true;
    if (run.timeToEnd && run.timeToEnd->longest <= timeLeft)
        return false;
    if (now >= lastStopAt(leavesAt))
        return true;
    // All further work of a run that cannot end in time is lost, unless it saves checkpoints.
    return !run.savesCheckpoints && run.timeToEnd && run.timeToEnd->shortest > timeLeft;
}

TimePoint DrainPolicy::nextDecisionAt(TimePoint leavesAt, TimePoint now) const
{
    if (now < lastStopAt(leavesAt))
        return lastStopAt(leavesAt);
    const TimePoint lastEndAt = leavesAt - endReportTime;
    return now < lastEndAt ? lastEndAt : TimePoint::max();
}

} // namespace anvilmoor::batch
