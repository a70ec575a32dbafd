#pragma once

#include "support/batch_cluster.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Finds accepted jobs that have nothing running beside free room. Workers that are gone, or that fail all
// runs, have no room.

namespace anvilmoor::testing {

struct IdleJob {
    JobId job;
    TimePoint since {};
    int starts = 0; // of its runs, until then
    double shareInUse = 0; // of the capacity of workers that are alive
    int fits = 0; // tasks of the job that would fit at once
};

class IdleJobWatch {
public:
    // A job is idle if it has nothing running for this long, while there is room for it twice over and under
    // half of the capacity is in use.
    static constexpr Milliseconds maxIdleTime { 3'000 };

    explicit IdleJobWatch(BatchCluster&);

    // Looks at the state of this moment. Jobs have one step without dependencies.
    void observe(const std::vector<JobId>& accepted);
    // What was seen so far does not count.
    void forget() { m_idle.clear(); }
    // Each job once.
    const std::vector<IdleJob>& idleJobs() const { return m_idleJobs; }

private:
    struct Usage {
        std::set<JobId> running;
        double share = 0;
        std::vector<batch::Resources> room; // of each worker
    };

    Usage usage();
    std::optional<IdleJob> besideRoom(const JobId&, const Usage&) const;

    BatchCluster& m_cluster;
    std::map<JobId, IdleJob> m_idle;
    std::set<JobId> m_reported;
    std::vector<IdleJob> m_idleJobs;
};

} // namespace anvilmoor::testing
