#pragma once

#include "anvilmoor/batch/job.h"
#include "anvilmoor/batch/worker.h"
#include "batch/jobs/progress_record.h"

#include <cstddef>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// Tasks to be placed together: a single task, or all tasks of a gang.
struct PlacementUnit {
    JobId job;
    int occurrence = 0;
    int step = 0;
    std::vector<int> tasks;
    int run = 0; // number that the placed run receives
};

// A step of one occurrence.
struct StepPosition {
    int occurrence = 0;
    int step = 0;
};

// The result of a run's end or of a cancellation.
struct RunConsequence {
    bool isKnown = false; // the run was assigned, or reported a late "done" that counts
    std::vector<RunId> toStop; // assigned runs that are no longer needed
    std::optional<JobState> newState;
};

// Progress of one accepted job: which tasks are done, assigned or waiting. Contains only state that is
// stored, so that another daemon can continue from the stored row.
class JobProgress {
public:
    explicit JobProgress(AcceptedJob);

    const AcceptedJob& job() const { return m_job; }
    JobState state() const { return m_record.state; }
    bool hasAssignments() const { return m_assignments > 0; }
    // Whether a worker has started one of its tasks, as far as is known.
    bool hasBegun() const { return m_record.hasBegun; }
    // Must be called when a worker has confirmed a start, or lists a run as active or ended. The next row
    // with the progress contains it; until then, another leader learns it from the worker.
    void noteBegun() { m_record.hasBegun = true; }

    // Opens the occurrences that are due, as long as not too many tasks are open. Returns whether any was
    // opened.
    bool openDueOccurrences(WallTime);
    // The time at which the next occurrence is due; empty if there is none, or if it has to wait until others
    // are completed.
    std::optional<WallTime> nextDue() const;

    // Steps whose dependencies are done and that have tasks to be placed.
    std::vector<StepPosition> readySteps() const;
    // The units to be placed for a ready step: the whole gang, or each waiting task separately.
    std::vector<PlacementUnit> unitsOf(const StepPosition&) const;
    // The first of unitsOf(). There must be one.
    PlacementUnit firstUnitOf(const StepPosition&) const;
    // Whether some tasks of the step have been placed or are done, and others wait.
    bool isPartlyPlaced(const StepPosition&) const;
    // The units of all ready steps.
    std::vector<PlacementUnit> readyUnits() const;
    const StepSpecification& specificationOf(int step) const
    {
        return m_job.specification.steps[static_cast<std::size_t>(step)];
    }
    // Null if there is no such task, or if its occurrence is not open.
    const TaskProgress* find(const TaskId&) const;
    bool isDone(const TaskId&) const;
    const std::string& checkpointOf(const TaskId&) const;

    // Assigns the unit's tasks to workers, in the same order.
    void assign(const PlacementUnit&, std::span<const WorkerLifetime>);
    // Handles the end of a run. A repeated report, or the end of a run that is not assigned, changes nothing
    // unless it is a late "done".
    RunConsequence runEnded(const RunId&, RunEnd, const std::string& checkpoint);
    // Records the checkpoint of a run, which may still be active. Ignored if the run is not assigned.
    void noteCheckpoint(const RunId&, const std::string& checkpoint);
    RunConsequence cancel();
    RunConsequence fail();
    std::vector<RunId> assignedRuns() const;
    // The assigned runs of the same start of a gang, including this one; empty if the task is not in a gang.
    std::vector<RunId> gangMembers(const RunId&) const;

    // See progress_codec.h.
    std::string encodeProgress(std::size_t maxBytes = std::numeric_limits<std::size_t>::max()) const;
    std::size_t bytesWithoutCheckpoints() const;
    // Returns an error message if the bytes are not progress of this job; the job is then unchanged.
    std::optional<std::string> restoreProgress(std::string_view bytes);

private:
    void skipKnownOccurrences();
    void closeIfCompleted(int occurrence);
    bool mayOpenAnother() const;
    std::vector<PlacementUnit> unitsOf(const StepPosition&, std::size_t limit) const;
    StepProgress* stepOf(const TaskId&);
    bool isReady(const OccurrenceProgress&, const StepSpecification&) const;
    bool hasReadyUnit(const StepProgress&, const StepSpecification&) const;
    void clearAssignment(TaskProgress&);
    void endDone(StepProgress&, const RunId&, RunConsequence&);
    void endFailed(StepProgress&, const RunId&, RunConsequence&);
    void finishIfAllDone(RunConsequence&);
    RunConsequence conclude(JobState);
    TaskProgress& representativeOf(StepProgress&, const TaskId&);

    AcceptedJob m_job;
    std::size_t m_tasksPerOccurrence = 0;
    ProgressRecord m_record;
    int m_assignments = 0;
    int m_nextOccurrence = 0; // the smallest number that is neither open nor completed
};

} // namespace anvilmoor::batch
