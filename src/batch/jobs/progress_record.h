#pragma once

#include "anvilmoor/batch/job.h"
#include "anvilmoor/batch/worker.h"
#include "batch/jobs/occurrence_set.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// A run of a task that may be active on a worker. It is stored before the order is sent to the worker.
struct Assignment {
    WorkerLifetime worker;
    int run = 0;

    bool operator==(const Assignment&) const = default;
};

struct TaskProgress {
    bool isDone = false;
    int lastRun = 0; // the run of the assignment, if there is one
    int failures = 0; // for a gang: counted in its first task, once per run
    int lastFailedRun = 0;
    std::string checkpoint; // for a gang: stored in its first task
    std::optional<Assignment> assignment;
    int lastRunWhenRestored = 0; // lastRun as read from the store; 0 if this daemon has not read it
};

struct StepProgress {
    std::vector<TaskProgress> tasks;

    bool isDone() const;
    bool hasAssignment() const;
};

using OccurrenceProgress = std::vector<StepProgress>;

// The progress of one job.
struct ProgressRecord {
    JobState state = JobState::Pending;
    bool hasBegun = false; // a worker has started a task
    OccurrenceSet completed; // all tasks are done and none has an assignment
    std::map<int, OccurrenceProgress> open; // occurrences that were due and are not completed, by number
};

// An occurrence of the job of which no task has been assigned.
OccurrenceProgress emptyOccurrence(const JobSpecification&);

} // namespace anvilmoor::batch
