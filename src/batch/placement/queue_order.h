#pragma once

#include "anvilmoor/batch/job.h"
#include "batch/jobs/job_progress.h"

#include <set>
#include <vector>

namespace anvilmoor::batch {

// A step whose dependencies are complete and that has tasks waiting to be placed.
struct WaitingStep {
    StepPosition position;
    const JobProgress* job = nullptr;
    const std::set<WorkerLifetime>* failedOn = nullptr; // workers on which the job has failed
    bool isGuaranteed = false; // covered by its client account's guarantee
    double relativeServedShare = 1; // of jobs of its size, see SizeCounts

    StepId id() const { return { job->job().specification.id, position.occurrence, position.step }; }
};

// Determines the order in which waiting steps are placed.
class QueueOrder {
public:
    virtual ~QueueOrder() = default;

    virtual void sort(std::vector<WaitingStep>&, WallTime now) const = 0;
};

// Puts guaranteed work first, then sorts by priority. Within a priority, a job that has waited for very long
// comes first, one at a time. Jobs without a guarantee whose size is served less often than its queue come
// next, the size that is served least first. Then jobs that can still meet their objective come before late
// ones; among these, the earliest objective deadline comes first.
class ObjectiveOrder : public QueueOrder {
public:
    void sort(std::vector<WaitingStep>&, WallTime now) const override;
};

} // namespace anvilmoor::batch
