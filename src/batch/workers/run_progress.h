#pragma once

#include "anvilmoor/batch/worker.h"
#include "anvilmoor/time.h"

#include <optional>

namespace anvilmoor::batch {

// How far a run was at a time on its worker's clock.
struct ProgressReading {
    int percent = 0;
    WorkerClock at = 0;
};

// What the looks at a worker tell of one run: when it will end, how fast it is, and whether it stands still.
class RunProgress {
public:
    enum class Pace {
        Unknown,
        Advancing,
        Lagging, // much slower than it was before, or without any progress for a while
    };

    RunProgress() = default;
    // The members of a gang wait for each other before they advance.
    RunProgress(Milliseconds estimatedDuration, bool isGangMember);

    void note(const ProgressReading&);

    // When all its work will be done if it goes on as up to now. Empty if unknown.
    std::optional<WorkerClock> expectedEnd() const;
    // The share of its work that it does in a second, once it has advanced far enough to tell.
    std::optional<double> rate() const;
    Pace pace() const { return m_pace; }

private:
    void judgePace(const ProgressReading&);

    Milliseconds m_window { 1'000 };
    bool m_mayWait = false;
    std::optional<ProgressReading> m_first; // once it has begun to work
    ProgressReading m_last;
    std::optional<ProgressReading> m_windowStart;
    double m_usualRate = 0; // the best of the windows so far, in percents a millisecond
    Pace m_pace = Pace::Unknown;
};

} // namespace anvilmoor::batch
