#include "batch/daemon/lateness_monitor.h"

#include <algorithm>

namespace anvilmoor::batch {

namespace {

// A leader that is this late loses a large part of the time in which it has to renew its lease.
constexpr Milliseconds lateThreshold { 250 };
// The daemon counts as late until it has been on time for this long, so that the log has one pair of lines
// for a time with many delays.
constexpr Milliseconds recoveryTime { 2'000 };

} // namespace

LatenessMonitor::LatenessMonitor(Milliseconds interval)
    : m_interval(interval)
{
}

std::optional<LatenessMonitor::Change> LatenessMonitor::timerFired(TimePoint now)
{
    const TimePoint due = m_firedAt.value_or(now - m_interval) + m_interval;
    m_firedAt = now;
    m_lateness = std::max(now - due, Milliseconds(0));
    if (m_lateness >= lateThreshold) {
        m_largest = std::max(m_largest, m_lateness);
        m_lastLateAt = now;
        if (m_isLate)
            return std::nullopt;
        m_isLate = true;
        return Change { true, m_lateness };
    }
    if (!m_isLate || now < m_lastLateAt + recoveryTime)
        return std::nullopt;
    const Change recovery { false, m_largest };
    m_isLate = false;
    m_largest = {};
    return recovery;
}

} // namespace anvilmoor::batch
