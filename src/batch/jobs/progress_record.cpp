#include "batch/jobs/progress_record.h"

#include <algorithm>
#include <cstddef>

namespace anvilmoor::batch {

bool StepProgress::isDone() const
{
    return std::all_of(tasks.begin(), tasks.end(), [](const TaskProgress& task) { return task.isDone; });
}

bool StepProgress::hasAssignment() const
{
    return std::any_of(
        tasks.begin(), tasks.end(), [](const TaskProgress& task) { return task.assignment.has_value(); });
}

OccurrenceProgress emptyOccurrence(const JobSpecification& job)
{
    OccurrenceProgress steps;
    for (const StepSpecification& step : job.steps)
        steps.push_back({ std::vector<TaskProgress>(static_cast<std::size_t>(step.taskCount)) });
    return steps;
}

} // namespace anvilmoor::batch
