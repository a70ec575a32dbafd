#include "batch/placement/backfill_runs.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::batch {

bool BackfillRuns::isRunning(const Unit& unit, const WorkerPool& workers)
{
    for (std::size_t i = 0; i < unit.runs.size(); ++i) {
        const auto worker = workers.all().find(unit.workers[i]);
        if (worker == workers.all().end())
            continue;
        const auto run = worker->second.runs.find(unit.runs[i].task);
        if (run != worker->second.runs.end() && run->second.id == unit.runs[i])
            return true;
    }
    return false;
}

void BackfillRuns::beginRound(const WorkerPool& workers, const WorkerHolds& holds)
{
    std::erase_if(m_units, [&](const Unit& unit) {
        const bool isLent = std::any_of(unit.lenders.begin(), unit.lenders.end(),
            [&holds](const StepId& step) { return holds.isWaiting(step); });
        return !isLent || !isRunning(unit, workers);
    });
}

void BackfillRuns::add(
    const PlacementUnit& unit, int rank, std::span<const WorkerLifetime> workers, std::vector<StepId> lenders)
{
    if (lenders.empty())
        return;
    Unit added { {}, { workers.begin(), workers.end() }, rank, std::move(lenders) };
    for (const int task : unit.tasks)
        added.runs.push_back({ { unit.job, unit.occurrence, unit.step, task }, unit.run });
    m_units.push_back(std::move(added));
}

void BackfillRuns::noteStopped(std::span<const RunId> runs, TimePoint endBy)
{
    for (Unit& unit : m_units) {
        if (std::find(runs.begin(), runs.end(), unit.runs.front()) != runs.end())
            unit.endBy = endBy;
    }
}

std::set<RunId> BackfillRuns::stoppableBy(int rank, TimePoint now) const
{
    std::set<RunId> runs;
    for (const Unit& unit : m_units) {
        const bool isOverdue = unit.endBy && now >= *unit.endBy;
        if (unit.rank > rank && !isOverdue)
            runs.insert(unit.runs.begin(), unit.runs.end());
    }
    return runs;
}

} // namespace anvilmoor::batch
