#pragma once

#include "batch/jobs/job_book.h"
#include "batch/placement/placement_round.h"
#include "batch/reducer/step.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace anvilmoor::batch {

// Records which jobs have waited longest for their first placement, how much work was placed before them
// although it came later, and since when workers have been held for them. The number of lines is bounded,
// whatever the number of jobs.
class LongWaitLog {
public:
    LongWaitLog(JobBook&, const PlacementRound&);

    // To be called at the first placement of each job.
    void notePlaced(const AcceptedJob&);
    // To be called regularly while the daemon leads.
    void tick(Step&);
    // Forgets all placements, at the end of a leadership.
    void clear() { m_placements.clear(); }

private:
    struct WaitingJob {
        WallTime since {};
        StepPosition position;
        const JobProgress* job = nullptr;
    };
    struct Placement {
        WallTime dueAt {};
        int priority = 0;
    };

    std::vector<WaitingJob> longWaiting(WallTime now);
    // Number of jobs of the same or a lower urgency that came later and were placed first.
    std::size_t jobsPlacedBefore(const WaitingJob&) const;
    void record(const WaitingJob&, std::size_t count, Step&) const;

    JobBook& m_jobs;
    const PlacementRound& m_placement;
    std::deque<Placement> m_placements; // the latest first placements of jobs, oldest first
    TimePoint m_recordedAt {};
};

} // namespace anvilmoor::batch
