#pragma once

#include "anvilmoor/batch/job.h"
#include "batch/jobs/job_progress.h"

#include <set>
#include <vector>

namespace anvilmoor::batch {

// A step whose turn has come, with tasks that wait for room.
struct WaitingStep {
    StepPosition position;
    const JobProgress* job = nullptr;
    const std::set<WorkerLifetime>* failedOn = nullptr; // workers on which the job has failed
    bool isGuaranteed = false; // covered by its client account's guarantee
};

// Decides who is offered room first.
class QueueOrder {
public:
    virtual ~QueueOrder() = default;

    virtual void sort(std::vector<WaitingStep>&, WallTime now) const = 0;
};

// Guaranteed work first, then by priority. Within a priority, jobs that can still meet their objective come
// before those that are late anyway, and the one whose objective ends first leads.
class ObjectiveOrder : public QueueOrder {
public:
    void sort(std::vector<WaitingStep>&, WallTime now) const override;
};

} // namespace anvilmoor::batch
