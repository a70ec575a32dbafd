#pragma once

#include "anvilmoor/batch/job.h"
#include "batch/jobs/job_progress.h"
#include "batch/placement/worker_holds.h"
#include "batch/workers/worker_pool.h"

#include <optional>
#include <set>
#include <span>
#include <vector>

namespace anvilmoor::batch {

// Runs that were placed in room that is held for more urgent steps, because the service is mostly free and
// the steps may have to wait for long. They are stopped once that lets such a step start. The next leader
// does not know them, so steps wait there until these runs end.
class BackfillRuns {
public:
    // Forgets runs that have ended, and those of which no step whose room they use waits any more.
    void beginRound(const WorkerPool&, const WorkerHolds&);
    // Must be called when a unit of this rank (see urgencyRank()) was placed, with the steps whose held room
    // it uses. Does nothing if there are none.
    void add(const PlacementUnit&, int rank, std::span<const WorkerLifetime>, std::vector<StepId> lenders);
    // Must be called when these runs are ordered to stop. They should have ended by the given time.
    void noteStopped(std::span<const RunId>, TimePoint endBy);
    // Runs that a step of this rank may stop, or has ordered to stop. Without those that should have ended:
    // it is not known when they will.
    std::set<RunId> stoppableBy(int rank, TimePoint now) const;
    bool isEmpty() const { return m_units.empty(); }
    void clear() { m_units.clear(); }

private:
    struct Unit {
        std::vector<RunId> runs;
        std::vector<WorkerLifetime> workers; // one per run
        int rank = 0;
        std::vector<StepId> lenders;
        std::optional<TimePoint> endBy; // if ordered to stop
    };

    static bool isRunning(const Unit&, const WorkerPool&);

    std::vector<Unit> m_units;
};

} // namespace anvilmoor::batch
