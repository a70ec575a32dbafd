#include "batch/workers/run_progress.h"

#include <algorithm>

namespace anvilmoor::batch {

namespace {

// Progress is reported in whole percent: over 20 percent, the error of the rate is at most 5%.
constexpr int minPercentForRate = 20;
// The pace is judged over windows of a tenth of the estimated duration, but of at least this length. The
// estimate is usually off by a factor of two at most.
constexpr Milliseconds minWindow { 1'000 };
constexpr int windowsPerEstimate = 10;
// A run lags below this fraction of its highest rate. Workers differ in speed by less than a factor of two,
// and the rate of a single task varies by less than that over time.
constexpr double laggingShare = 0.35;

} // namespace

RunProgress::RunProgress(Milliseconds estimatedDuration, bool isGangMember)
    : m_window(std::max(minWindow, estimatedDuration / windowsPerEstimate))
    , m_mayWait(isGangMember)
{
}

void RunProgress::note(const ProgressReading& reading)
{
    judgePace(reading);
    if (reading.percent <= 0)
        return;
    if (!m_first)
        m_first = reading;
    m_last = reading;
}

void RunProgress::judgePace(const ProgressReading& reading)
{
    const bool isWaiting = m_mayWait && reading.percent <= 0;
    if (isWaiting || reading.percent >= 100) {
        m_windowStart.reset();
        m_pace = Pace::Unknown;
        return;
    }
    if (!m_windowStart)
        m_windowStart = reading;
    const WorkerClock elapsed = reading.at - m_windowStart->at;
    if (elapsed < m_window.count())
        return;
    const int advance = reading.percent - m_windowStart->percent;
    const double rate = static_cast<double>(advance) / static_cast<double>(elapsed);
    const bool isLagging = !advance || rate < laggingShare * m_highestRate;
    m_pace = isLagging ? Pace::Lagging : Pace::Advancing;
    m_highestRate = std::max(m_highestRate, rate);
    m_windowStart = reading;
}

std::optional<WorkerClock> RunProgress::expectedEnd() const
{
    if (!m_first || m_last.percent <= m_first->percent)
        return std::nullopt;
    const int advance = m_last.percent - m_first->percent;
    const WorkerClock elapsed = m_last.at - m_first->at;
    return m_last.at + elapsed * (100 - m_last.percent) / advance;
}

std::optional<double> RunProgress::rate() const
{
    if (!m_first || m_last.percent >= 100)
        return std::nullopt;
    const int advance = m_last.percent - m_first->percent;
    const WorkerClock elapsed = m_last.at - m_first->at;
    if (advance < minPercentForRate || elapsed <= 0)
        return std::nullopt;
    constexpr double perSecond = 1'000.0 / 100;
    return perSecond * advance / static_cast<double>(elapsed);
}

} // namespace anvilmoor::batch
