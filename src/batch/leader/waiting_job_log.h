#pragma once

#include "batch/jobs/job_book.h"
#include "batch/placement/placement_round.h"
#include "batch/reducer/step.h"
#include "batch/workers/worker_pool.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// Records which jobs have had nothing running for long although they could run, and what each waits for. A
// job that waits because the service is full is not recorded. The number of lines is bounded, whatever the
// number of jobs.
class WaitingJobLog {
public:
    WaitingJobLog(JobBook&, const WorkerPool&, PlacementRound&);

    // To be called regularly while the daemon leads.
    void tick(Step&);
    // Forgets all jobs, at the end of a leadership.
    void clear();

private:
    // What the job waits for, as it is recorded.
    struct Obstacle {
        std::string name; // empty if the service has no room for the job
        WorkerLifetime worker; // for jobs with an assignment, one of the assigned workers
    };

    void noteIdleJobs(Step&);
    std::set<JobId> runningJobs() const;
    std::vector<JobId> jobsToExamine(TimePoint now) const;
    Obstacle obstacleOf(JobBook::Entry&, const Step&);
    Obstacle obstacleOfAssignment(const JobProgress&) const;

    JobBook& m_jobs;
    const WorkerPool& m_workers;
    PlacementRound& m_placement;
    std::map<JobId, TimePoint> m_idleSince;
    TimePoint m_checkedAt {};
    TimePoint m_recordedAt {};
    JobId m_lastExamined;
};

} // namespace anvilmoor::batch
