#include "batch/workers/run_progress.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::batch {

namespace {

// Progress is reported in whole percent: over 20 percent, the error of the rate is at most 5%.
constexpr int minPercentForRate = 20;
// Below this advance, the error of the mean rate is too large to bound the rest of the run.
constexpr int minPercentForBound = 5;
// The pace is judged over windows of a tenth of the estimated duration, but of at least this length. The
// estimate is usually off by a factor of two at most.
constexpr Milliseconds minWindow { 1'000 };
constexpr int windowsPerEstimate = 10;
// A window lasts at least as long as the run takes for this many percent on average.
constexpr int minPercentPerWindow = 3;
// A run lags below this fraction of its highest rate. Workers differ in speed by less than a factor of two,
// and the rate of a single task varies by less than that over time.
constexpr double laggingShare = 0.35;
// By how much the rest of a run may be faster than its mean rate so far.
constexpr double fasterRate = 1.15;

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
        setPace(Pace::Unknown, reading.at);
        return;
    }
    if (!m_windowStart) {
        m_windowStart = reading;
        m_begin = reading;
        m_risen = reading;
    }
    const bool hasRisen = reading.percent > m_risen.percent;
    if (hasRisen)
        m_risen = reading;
    const bool hasShownPace = m_highestRate > 0;
    if (hasRisen && !hasShownPace)
        setPace(Pace::Advancing, reading.at);
    const WorkerClock elapsed = reading.at - m_windowStart->at;
    if (elapsed < windowLength())
        return;
    const int advance = reading.percent - m_windowStart->percent;
    const double rate = static_cast<double>(advance) / static_cast<double>(elapsed);
    const bool isLagging = !advance || rate < laggingShare * m_highestRate;
    setPace(isLagging ? Pace::Lagging : Pace::Advancing, reading.at);
    if (!advance && !hasShownPace)
        return;
    // The rate over one or two percent may be far off.
    if (advance >= minPercentPerWindow)
        m_highestRate = std::max(m_highestRate, rate);
    m_windowStart = reading;
}

void RunProgress::setPace(Pace pace, WorkerClock at)
{
    if (std::exchange(m_pace, pace) != pace)
        m_paceSince = at;
}

WorkerClock RunProgress::windowLength() const
{
    const int advance = m_risen.percent - m_begin.percent;
    const WorkerClock forAdvance = advance ? (m_risen.at - m_begin.at) * minPercentPerWindow / advance : 0;
    return std::max(WorkerClock { m_window.count() }, forAdvance);
}

bool RunProgress::advancesBeside(const RunProgress& lagging) const
{
    return m_pace == Pace::Advancing && m_windowStart && m_risen.at > lagging.m_paceSince;
}

std::optional<WorkerClock> RunProgress::expectedEnd() const
{
    if (!m_first || m_last.percent <= m_first->percent)
        return std::nullopt;
    const int advance = m_last.percent - m_first->percent;
    const WorkerClock elapsed = m_last.at - m_first->at;
    return m_last.at + elapsed * (100 - m_last.percent) / advance;
}

std::optional<Milliseconds> RunProgress::shortestTimeToEnd(WorkerClock now) const
{
    if (!m_first || m_pace == Pace::Lagging)
        return std::nullopt;
    // Whole percent are reported, so the true advance may be one percent more.
    const int advance = m_last.percent - m_first->percent;
    const auto elapsed = static_cast<double>(m_last.at - m_first->at);
    if (advance < minPercentForBound || elapsed <= 0)
        return std::nullopt;
    const double highestRate = (advance + 1) / elapsed * fasterRate;
    const int percentLeft = std::max(99 - m_last.percent, 0);
    const auto fromLastReading = static_cast<std::int64_t>(percentLeft / highestRate);
    return Milliseconds(std::max<std::int64_t>(m_last.at + fromLastReading - now, 0));
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
