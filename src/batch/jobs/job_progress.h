#pragma once

#include "anvilmoor/batch/job.h"
#include "anvilmoor/batch/worker.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// The run of a task that may be on a worker. It is stored before the worker is told.
struct Assignment {
    WorkerLifetime worker;
    int run = 0;

    bool operator==(const Assignment&) const = default;
};

struct TaskProgress {
    bool isDone = false;
    int lastRun = 0;
    int failures = 0; // of a gang, counted at its first task, once for each run
    int lastFailedRun = 0;
    std::string checkpoint; // of a gang, held by its first task
    std::optional<Assignment> assignment;
};

struct StepProgress {
    std::vector<TaskProgress> tasks;

    bool isDone() const;
};

// What is to be placed together: one task, or all tasks of a gang.
struct PlacementUnit {
    JobId job;
    int occurrence = 0;
    int step = 0;
    std::vector<int> tasks;
    int run = 0; // that the placed run gets
};

// A step of one occurrence.
struct StepPosition {
    int occurrence = 0;
    int step = 0;
};

// What the end of a run leads to.
struct RunConsequence {
    bool isKnown = false; // the run was assigned
    std::vector<RunId> toStop; // assigned runs that serve no purpose any more
    std::optional<JobState> newState;
};

// The life of one accepted job: which tasks are done, assigned or waiting. Holds what is stored of it and
// nothing else, so that another daemon goes on from the stored row.
class JobProgress {
public:
    explicit JobProgress(AcceptedJob);

    const AcceptedJob& job() const { return m_job; }
    JobState state() const { return m_state; }
    bool hasAssignments() const { return m_assignments > 0; }
    // False if no task has ever been assigned.
    bool hasBegun() const { return m_hasBegun; }

    // Opens the occurrences that are due. Returns whether one was opened.
    bool openDueOccurrences(WallTime);
    // The time at which the next occurrence is due; empty if all are open.
    std::optional<WallTime> nextDue() const;

    // Steps whose turn has come and that have tasks to be placed.
    std::vector<StepPosition> readySteps() const;
    // Of such a step, what is to be placed: the gang, or each waiting task by itself.
    std::vector<PlacementUnit> unitsOf(const StepPosition&) const;
    // Of all ready steps.
    std::vector<PlacementUnit> readyUnits() const;
    const StepSpecification& specificationOf(int step) const
    {
        return m_job.specification.steps[static_cast<std::size_t>(step)];
    }
    // Null if there is no such task.
    const TaskProgress* find(const TaskId&) const;
    const std::string& checkpointOf(const TaskId&) const;

    // Assigns the unit's tasks to workers, in the same order.
    void assign(const PlacementUnit&, std::span<const WorkerLifetime>);
    // A copy of an end, and the end of a run that was not assigned, change nothing but for a late "done".
    RunConsequence runEnded(const RunId&, RunEnd, const std::string& checkpoint);
    // Also for runs that are still active. Ignored for runs that are not assigned.
    void noteCheckpoint(const RunId&, const std::string& checkpoint);
    RunConsequence cancel();
    // All assigned runs.
    std::vector<RunId> assignedRuns() const;

    std::string encodeProgress() const;
    // Returns why the bytes are no progress of this job; the job is unchanged then.
    std::optional<std::string> restoreProgress(std::string_view bytes);

private:
    struct Location {
        int occurrence = 0;
        int step = 0;
    };

    std::vector<StepProgress> emptyOccurrence() const;
    StepProgress* stepOf(const TaskId&);
    bool isReady(const std::vector<StepProgress>&, const StepSpecification&) const;
    bool hasReadyUnit(const StepProgress&, const StepSpecification&) const;
    void clearAssignment(TaskProgress&);
    void endDone(StepProgress&, const RunId&, RunConsequence&);
    void endFailed(StepProgress&, const RunId&, RunConsequence&);
    void stopGangMates(const StepProgress&, const RunId&, RunConsequence&) const;
    void finishIfAllDone(RunConsequence&);
    RunConsequence conclude(JobState);
    TaskProgress& holderOf(StepProgress&, const TaskId&);

    AcceptedJob m_job;
    JobState m_state = JobState::Pending;
    bool m_hasBegun = false;
    int m_assignments = 0;
    std::map<int, std::vector<StepProgress>> m_occurrences; // the open ones
};

} // namespace anvilmoor::batch
