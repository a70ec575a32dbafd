#pragma once

#include "anvilmoor/batch/worker.h"
#include "anvilmoor/time.h"

#include <optional>

namespace anvilmoor::batch {

// Progress of a run at one time of its worker's clock.
struct ProgressReading {
    int percent = 0;
    WorkerClock at = 0;
};

// Derives the expected end, the rate and the pace of one run from the progress that its worker reports.
class RunProgress {
public:
    enum class Pace {
        Unknown,
        Advancing,
        Lagging, // much slower than before, or without progress over a whole window
    };

    RunProgress() = default;
    // A gang member may stay at 0% until all members have started.
    RunProgress(Milliseconds estimatedDuration, bool isGangMember);

    void note(const ProgressReading&);

    // Completed share of its work when the worker last reported it.
    int lastPercent() const { return m_last.percent; }
    // When the run completes if it continues at its mean rate. Empty if unknown.
    std::optional<WorkerClock> expectedEnd() const;
    // The run takes at least this long to complete from this time of its worker's clock, unless it becomes
    // much faster. Empty if it has not advanced far enough to tell, or lags.
    std::optional<Milliseconds> shortestTimeToEnd(WorkerClock now) const;
    // Fraction of its work that the run completes per second. Empty until it has advanced far enough to be
    // measured.
    std::optional<double> rate() const;
    Pace pace() const { return m_pace; }
    // Whether the run is known to advance after the other one was found lagging.
    bool advancesBeside(const RunProgress& lagging) const;

private:
    void judgePace(const ProgressReading&);
    void setPace(Pace, WorkerClock at);
    WorkerClock windowLength() const;

    Milliseconds m_window { 1'000 };
    bool m_mayWait = false; // for the other members of its gang
    std::optional<ProgressReading> m_first; // the first reading above 0%
    ProgressReading m_last;
    std::optional<ProgressReading> m_windowStart;
    ProgressReading m_begin; // the first reading that was judged
    ProgressReading m_risen; // the reading at which the percentage last rose
    double m_highestRate = 0; // highest rate of all windows so far, in percent per millisecond
    Pace m_pace = Pace::Unknown;
    WorkerClock m_paceSince = 0;
};

} // namespace anvilmoor::batch
