#pragma once

#include "anvilmoor/job.h"
#include "anvilmoor/time.h"

#include <cstddef>
#include <map>
#include <set>

namespace anvilmoor {

// Excludes workers from placement after tasks failed on them. The first failures exclude a worker for 3 s, so
// that the next attempt runs on another worker; the third consecutive one quarantines it for a minute, later
// ones for up to 64 minutes.
class WorkerQuarantine {
public:
    // True if this failure put the worker into quarantine.
    bool recordFailure(const WorkerId&, const JobId&, TimePoint now);
    void recordSuccess(const WorkerId&);
    bool isQuarantined(const WorkerId&, TimePoint now) const;

    // True if the worker's consecutive failures come from several jobs while at least half of the
    // `workerCount` workers have no failure: then the worker is at fault rather than the job.
    bool isAtFault(const WorkerId&, std::size_t workerCount) const;
    void clear() { m_workers.clear(); }

private:
    struct Entry {
        int failuresInRow = 0;
        std::set<JobId> jobs;
        TimePoint until {}; // of the quarantine
        TimePoint cooldownUntil {};
    };

    std::map<WorkerId, Entry> m_workers; // only those with failures
};

} // namespace anvilmoor
