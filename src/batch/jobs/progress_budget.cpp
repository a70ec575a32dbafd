#include "batch/jobs/progress_budget.h"

#include <algorithm>

namespace anvilmoor::batch {

namespace {

// Upper limits in bytes of what the encoded progress needs. A task has a few numbers, which are small for
// all but tasks that were restarted very often; a worker has its id and the start of its lifetime.
constexpr std::size_t taskBytes = 12;
constexpr std::size_t workerBytes = 12;
constexpr std::size_t stepBytes = 12;
constexpr std::size_t occurrenceBytes = 24;
constexpr std::size_t rowHeaderBytes = 64;
constexpr std::size_t tasksPerByte = 8; // of the bits that tell which tasks are done
// Part of a row that is kept for numbers that grow, such as those of runs and failures.
constexpr std::size_t reserveDivisor = 16;

std::size_t bytesForStep(const StepSpecification& step)
{
    return stepBytes + static_cast<std::size_t>(step.taskCount) / tasksPerByte;
}

std::size_t bytesForTasks(std::size_t tasks, std::size_t workerIdBytes)
{
    return tasks * (taskBytes + workerBytes + workerIdBytes);
}

std::size_t usableBytes(std::size_t rowBytes) { return rowBytes - rowBytes / reserveDivisor; }

} // namespace

ProgressBudget::ProgressBudget(const JobProgress& job, std::size_t rowBytes, std::size_t workerIdBytes)
    : m_job(job)
    , m_rowBytes(rowBytes)
    , m_workerIdBytes(workerIdBytes)
    , m_usedBytes(job.bytesWithoutCheckpoints())
    , m_hasAssignments(job.hasAssignments())
{
}

bool ProgressBudget::isNeeded(const JobProgress& job, std::size_t rowBytes, std::size_t workerIdBytes)
{
    std::size_t occurrence = occurrenceBytes;
    for (const StepSpecification& step : job.job().specification.steps)
        occurrence
            += bytesForStep(step) + bytesForTasks(static_cast<std::size_t>(step.taskCount), workerIdBytes);
    const auto occurrences = static_cast<std::size_t>(job.job().occurrenceCount());
    return rowHeaderBytes + occurrences * occurrence > rowBytes / 2;
}

bool ProgressBudget::fitsAlone(const JobSpecification& job, std::size_t rowBytes, std::size_t workerIdBytes)
{
    std::size_t steps = rowHeaderBytes + occurrenceBytes;
    std::size_t largestUnit = 0;
    for (const StepSpecification& step : job.steps) {
        const std::size_t tasks = step.isGang ? static_cast<std::size_t>(step.taskCount) : 1;
        steps += bytesForStep(step);
        largestUnit = std::max(largestUnit, bytesForTasks(tasks, workerIdBytes));
    }
    // Other steps of the job may be partly done.
    return steps <= rowBytes / 2 && steps + largestUnit <= usableBytes(rowBytes);
}

bool ProgressBudget::hasBegun(const PlacementUnit& unit) const
{
    const TaskProgress* task = m_job.find({ unit.job, unit.occurrence, unit.step, unit.tasks.front() });
    return task && task->lastRun;
}

std::size_t ProgressBudget::bytesFor(const PlacementUnit& unit) const
{
    const std::size_t tasks = bytesForTasks(unit.tasks.size(), m_workerIdBytes);
    if (hasBegun(unit))
        return tasks;
    return tasks + occurrenceBytes + bytesForStep(m_job.specificationOf(unit.step));
}

bool ProgressBudget::admits(const PlacementUnit& unit) const
{
    const bool mayTakeRest = hasBegun(unit) || !m_hasAssignments;
    const std::size_t limit = mayTakeRest ? usableBytes(m_rowBytes) : m_rowBytes / 2;
    return m_usedBytes + bytesFor(unit) <= limit;
}

void ProgressBudget::take(const PlacementUnit& unit)
{
    m_usedBytes += bytesFor(unit);
    m_hasAssignments = true;
}

} // namespace anvilmoor::batch
