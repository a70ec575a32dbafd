#include "batch/placement/placement_round.h"

#include <algorithm>

// What a placement round asks for on behalf of a unit, and which requests it knows to fit nowhere.

namespace anvilmoor::batch {

Resources PlacementRound::resourcesOf(const WaitingUnit& waiting)
{
    const Resources perTask = waiting.job->specificationOf(waiting.unit.step).countedPerTask();
    Resources sum;
    for (std::size_t i = 0; i < waiting.unit.tasks.size(); ++i)
        sum += perTask;
    return sum;
}

PlacementRound::Shape PlacementRound::shapeOf(const WaitingUnit& waiting, const PlacementRequest& request)
{
    return { waiting.job->job().terms.service.value(), request.perTask, request.step.needsOneRack,
        request.mayRelaxLocality, request.step.requiredLabel, request.step.dataRack };
}

PlacementRequest PlacementRound::requestFor(
    const WaitingUnit& waiting, const CapacityView& view, WallTime wallTime)
{
    const StepSpecification& step = waiting.job->specificationOf(waiting.unit.step);
    PlacementRequest request { step, step.countedPerTask(), static_cast<int>(waiting.unit.tasks.size()) };
    // A failure may be the job's own fault, but a faulty worker must not use up the job's attempts, so
    // workers on which the job has failed are avoided as long as the unit could fit on others.
    request.excludedWorkers = waiting.failedOn;
    request.prefersFastWorkers = !waiting.job->job().terms.priority;
    if (!waiting.failedOn->empty() && !couldEverFit(request, view))
        request.excludedWorkers = nullptr;
    if (step.maxTasksPerWorker) {
        const auto placed = m_stepTasksByWorker.find(stepOf(waiting.unit));
        if (placed != m_stepTasksByWorker.end())
            request.stepTasksByWorker = placed->second;
        for (const RunId& run : waiting.job->assignedRuns()) {
            if (run.task.occurrence == waiting.unit.occurrence && run.task.step == waiting.unit.step)
                ++request.stepTasksByWorker[waiting.job->find(run.task)->assignment->worker];
        }
    }
    if (!step.needsOneRack && step.dataRack.empty())
        return request;
    // Placement away from the data or across racks is slow. It pays off only if the unit can never fit
    // otherwise, or if it has waited so long that even a slow run would have finished by now.
    const Milliseconds waited = wallTime - waiting.job->job().dueAt(waiting.unit.occurrence);
    request.mayRelaxLocality = waited > waiting.job->job().objective();
    if (request.mayRelaxLocality)
        return request;
    request.mayRelaxLocality = mustRelaxLocality(request, shapeOf(waiting, request), view);
    return request;
}

// Returns whether the unit does not fit within its locality constraints even if all workers were idle.
bool PlacementRound::mustRelaxLocality(
    const PlacementRequest& request, const Shape& shape, const CapacityView& view)
{
    const auto [most, isNew] = m_mostTasksWithinLocality.try_emplace(shape);
    if (isNew)
        most->second = mostTasksWithinLocality(request, view);
    return request.tasks > most->second;
}

bool PlacementRound::isKnownUnplaceable(const SmallestByShape& unplaceable, const Shape& shape, int tasks)
{
    const auto known = unplaceable.find(shape);
    return known != unplaceable.end() && tasks >= known->second;
}

void PlacementRound::noteUnplaceable(SmallestByShape& unplaceable, const Shape& shape, int tasks)
{
    int& smallest = unplaceable.try_emplace(shape, tasks).first->second;
    smallest = std::min(smallest, tasks);
}

// Excluded workers and a limit per worker apply to one job only.
bool PlacementRound::isDecidedByShape(const WaitingUnit& waiting)
{
    const StepSpecification& step = waiting.job->specificationOf(waiting.unit.step);
    return !step.maxTasksPerWorker && waiting.failedOn->empty();
}

} // namespace anvilmoor::batch
