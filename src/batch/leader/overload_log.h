#pragma once

#include "batch/jobs/job_book.h"
#include "batch/placement/placement_round.h"
#include "batch/reducer/step.h"
#include "batch/workers/worker_pool.h"

namespace anvilmoor::batch {

// Records who uses a service while steps wait there for which no more room may be held, and how jobs of each
// size are served.
class OverloadLog {
public:
    OverloadLog(const JobBook&, const WorkerPool&, const PlacementRound&);

    // To be called regularly while the daemon leads.
    void tick(Step&);

private:
    void recordUse(const ServiceId&, Step&) const;
    void recordSizes(Step&) const;

    const JobBook& m_jobs;
    const WorkerPool& m_workers;
    const PlacementRound& m_placement;
    TimePoint m_recordedAt {};
};

} // namespace anvilmoor::batch
