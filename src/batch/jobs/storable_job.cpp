#include "batch/jobs/storable_job.h"

#include "anvilmoor/batch/bounds.h"
#include "batch/jobs/progress_budget.h"
#include "batch/store/transaction_size.h"

#include <cstddef>
#include <fmt/format.h>

namespace anvilmoor::batch {

namespace {

// Assumed length of the ids of workers, which are known only to the leader.
constexpr std::size_t workerIdBytes = 48;

std::size_t tasksPerOccurrence(const JobSpecification& job)
{
    std::size_t tasks = 0;
    for (const StepSpecification& step : job.steps)
        tasks += static_cast<std::size_t>(step.taskCount);
    return tasks;
}

} // namespace

std::optional<std::string> reasonNotStorable(
    const JobSpecification& job, const Row& row, const StoreLimits& limits)
{
    if (tasksPerOccurrence(job) > maxOpenTasks)
        return fmt::format("the steps have more than {} tasks", maxOpenTasks);
    if (row.value.size() > limits.rowBytes || encodedBytes(row) > limits.transactionBytes)
        return fmt::format("the encoded job has more than {} bytes", limits.rowBytes);
    if (!ProgressBudget::fitsAlone(job, limits.rowBytes, workerIdBytes))
        return "a gang, or the number of steps, is too large for its progress to be stored";
    return std::nullopt;
}

} // namespace anvilmoor::batch
