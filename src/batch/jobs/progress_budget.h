#pragma once

#include "batch/jobs/job_progress.h"

#include <cstddef>

namespace anvilmoor::batch {

// Decides which units of a job may be assigned, so that the row with the job's progress stays within the
// store's limit. Work that has not begun leaves half of the row free while other work of the job is assigned.
// What has begun can thus always go on: it needs at most the rest, and takes less of the row once it is done.
class ProgressBudget {
public:
    // `workerIdBytes`: length of the longest id of a worker.
    ProgressBudget(const JobProgress&, std::size_t rowBytes, std::size_t workerIdBytes);

    bool admits(const PlacementUnit&) const;
    // Takes the unit's share; it is going to be assigned.
    void take(const PlacementUnit&);

    // Whether a job may need a budget at all: false if all of its tasks together fit.
    static bool isNeeded(const JobProgress&, std::size_t rowBytes, std::size_t workerIdBytes);
    // Whether the largest unit of the job fits into a row of its own.
    static bool fitsAlone(const JobSpecification&, std::size_t rowBytes, std::size_t workerIdBytes);

private:
    bool hasBegun(const PlacementUnit&) const;
    std::size_t bytesFor(const PlacementUnit&) const;

    const JobProgress& m_job;
    const std::size_t m_rowBytes;
    const std::size_t m_workerIdBytes;
    std::size_t m_usedBytes;
    bool m_hasAssignments;
};

} // namespace anvilmoor::batch
