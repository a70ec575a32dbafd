#pragma once

#include "anvilmoor/batch/configuration.h"
#include "batch/jobs/job_book.h"
#include "batch/placement/placement_round.h"
#include "batch/workers/worker_pool.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace anvilmoor::testing {

// The worker `index` of a rack, with the given number of free accelerators of 8.
batch::WorkerCapacity makeCapacity(int rack, int index, std::int64_t accelerators = 8);

// What a leader knows of workers and jobs, and the time. Placed runs are taken as started at once.
class LeaderState {
public:
    LeaderState();

    // All are idle and have answered the leader.
    void addWorkers(int racks, int perRack);
    // A job with one step, accepted `age` ago.
    JobId addJob(const char* id, int priority, batch::StepSpecification, const char* account = "account-a",
        Milliseconds age = Milliseconds(0));
    batch::PlacementOutcome place(batch::PlacementRound&);
    // Ends the evicted runs as stopped.
    void stopEvicted(const batch::PlacementOutcome&);
    // Ends a run of the task as done.
    void endTask(const batch::TaskId&);
    void advance(Milliseconds duration);
    batch::Worker& worker(int rack, int index);
    std::size_t idleWorkers() const;

    static std::size_t placedTasks(const batch::PlacementOutcome&, const JobId&);

    batch::WorkerPool pool;
    batch::JobBook jobs;
    batch::Configuration configuration;
    TimePoint now { Seconds(100) };
    WallTime wallTime { Seconds(1'000) };

private:
    void attach(const batch::PlacementDecision&);
    void end(const batch::TaskId&, batch::RunEnd);
};

} // namespace anvilmoor::testing
