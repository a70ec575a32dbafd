#include "batch/jobs/job_progress.h"

#include "anvilmoor/batch/bounds.h"
#include "batch/jobs/progress_codec.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace anvilmoor::batch {

namespace {

const std::string noCheckpoint;

RunId runOf(const TaskId& sibling, int index, int run)
{
    TaskId task = sibling;
    task.index = index;
    return { std::move(task), run };
}

} // namespace

JobProgress::JobProgress(AcceptedJob job)
    : m_job(std::move(job))
{
    for (const StepSpecification& step : m_job.specification.steps)
        m_tasksPerOccurrence += static_cast<std::size_t>(step.taskCount);
}

bool JobProgress::openDueOccurrences(WallTime now)
{
    if (isTerminal(state()))
        return false;
    bool hasOpened = false;
    while (true) {
        const std::optional<WallTime> due = nextDue();
        if (!due || *due > now)
            return hasOpened;
        m_record.open.emplace(m_nextOccurrence, emptyOccurrence(m_job.specification));
        skipKnownOccurrences();
        hasOpened = true;
    }
}

void JobProgress::skipKnownOccurrences()
{
    while (m_record.open.contains(m_nextOccurrence) || m_record.completed.contains(m_nextOccurrence))
        m_nextOccurrence = m_record.completed.firstMissing(m_nextOccurrence + 1);
}

bool JobProgress::mayOpenAnother() const
{
    return m_record.open.empty() || (m_record.open.size() + 1) * m_tasksPerOccurrence <= maxOpenTasks;
}

std::optional<WallTime> JobProgress::nextDue() const
{
    if (m_nextOccurrence >= m_job.occurrenceCount() || !mayOpenAnother())
        return std::nullopt;
    // A job without a schedule is due regardless of the wall clocks of the hosts.
    if (!m_job.specification.schedule.occurrences)
        return WallTime::min();
    return m_job.dueAt(m_nextOccurrence);
}

bool JobProgress::isReady(const OccurrenceProgress& occurrence, const StepSpecification& specification) const
{
    return std::all_of(specification.dependsOn.begin(), specification.dependsOn.end(),
        [&](int earlier) { return occurrence[static_cast<std::size_t>(earlier)].isDone(); });
}

bool JobProgress::hasReadyUnit(const StepProgress& step, const StepSpecification& specification) const
{
    const auto isWaiting = [](const TaskProgress& task) { return !task.isDone && !task.assignment; };
    if (specification.isGang)
        return std::all_of(step.tasks.begin(), step.tasks.end(), isWaiting);
    return std::any_of(step.tasks.begin(), step.tasks.end(), isWaiting);
}

std::vector<StepPosition> JobProgress::readySteps() const
{
    std::vector<StepPosition> ready;
    if (isTerminal(m_record.state))
        return ready;
    for (const auto& [occurrence, steps] : m_record.open) {
        for (std::size_t step = 0; step < steps.size(); ++step) {
            const StepSpecification& specification = m_job.specification.steps[step];
            if (hasReadyUnit(steps[step], specification) && isReady(steps, specification))
                ready.push_back({ occurrence, static_cast<int>(step) });
        }
    }
    return ready;
}

std::vector<PlacementUnit> JobProgress::unitsOf(const StepPosition& position) const
{
    return unitsOf(position, std::numeric_limits<std::size_t>::max());
}

PlacementUnit JobProgress::firstUnitOf(const StepPosition& position) const
{
    return std::move(unitsOf(position, 1).front());
}

std::vector<PlacementUnit> JobProgress::unitsOf(const StepPosition& position, std::size_t limit) const
{
    const StepProgress& progress
        = m_record.open.at(position.occurrence)[static_cast<std::size_t>(position.step)];
    std::vector<PlacementUnit> units;
    const bool isGang = specificationOf(position.step).isGang;
    for (std::size_t index = 0; index < progress.tasks.size(); ++index) {
        const TaskProgress& task = progress.tasks[index];
        if (task.isDone || task.assignment)
            continue;
        if (!isGang && units.size() == limit)
            break;
        if (!isGang || units.empty())
            units.push_back({ m_job.specification.id, position.occurrence, position.step, {}, 1 });
        units.back().tasks.push_back(static_cast<int>(index));
        units.back().run = std::max(units.back().run, task.lastRun + 1);
    }
    return units;
}

std::vector<PlacementUnit> JobProgress::readyUnits() const
{
    std::vector<PlacementUnit> units;
    for (const StepPosition& position : readySteps()) {
        for (PlacementUnit& unit : unitsOf(position))
            units.push_back(std::move(unit));
    }
    return units;
}

const TaskProgress* JobProgress::find(const TaskId& task) const
{
    const auto occurrence = m_record.open.find(task.occurrence);
    if (occurrence == m_record.open.end() || task.step < 0 || task.index < 0)
        return nullptr;
    if (static_cast<std::size_t>(task.step) >= occurrence->second.size())
        return nullptr;
    const StepProgress& step = occurrence->second[static_cast<std::size_t>(task.step)];
    if (static_cast<std::size_t>(task.index) >= step.tasks.size())
        return nullptr;
    return &step.tasks[static_cast<std::size_t>(task.index)];
}

bool JobProgress::isDone(const TaskId& task) const
{
    const TaskProgress* progress = find(task);
    return progress ? progress->isDone : m_record.completed.contains(task.occurrence);
}

StepProgress* JobProgress::stepOf(const TaskId& task)
{
    if (!find(task))
        return nullptr;
    return &m_record.open.at(task.occurrence)[static_cast<std::size_t>(task.step)];
}

// Returns the task that stores the failures and the checkpoint: for a gang, its first task.
TaskProgress& JobProgress::representativeOf(StepProgress& step, const TaskId& task)
{
    return step.tasks[specificationOf(task.step).isGang ? 0 : static_cast<std::size_t>(task.index)];
}

const std::string& JobProgress::checkpointOf(const TaskId& task) const
{
    TaskId representative = task;
    if (specificationOf(task.step).isGang)
        representative.index = 0;
    const TaskProgress* progress = find(representative);
    return progress ? progress->checkpoint : noCheckpoint;
}

void JobProgress::assign(const PlacementUnit& unit, std::span<const WorkerLifetime> workers)
{
    std::vector<StepProgress>& steps = m_record.open.at(unit.occurrence);
    StepProgress& step = steps[static_cast<std::size_t>(unit.step)];
    for (std::size_t i = 0; i < unit.tasks.size(); ++i) {
        TaskProgress& task = step.tasks[static_cast<std::size_t>(unit.tasks[i])];
        task.lastRun = unit.run;
        task.assignment = Assignment { workers[i], unit.run };
        ++m_assignments;
    }
    if (m_record.state == JobState::Pending)
        m_record.state = JobState::Running;
}

void JobProgress::clearAssignment(TaskProgress& task)
{
    task.assignment.reset();
    --m_assignments;
}

RunConsequence JobProgress::runEnded(const RunId& run, RunEnd end, const std::string& checkpoint)
{
    RunConsequence consequence;
    StepProgress* step = stepOf(run.task);
    if (!step)
        return consequence;
    TaskProgress& task = step->tasks[static_cast<std::size_t>(run.task.index)];
    const bool isCurrent = task.assignment && task.assignment->run == run.run;
    consequence.isKnown = isCurrent;
    if (!isCurrent && end != RunEnd::Done)
        return consequence;
    if (isCurrent) {
        noteCheckpoint(run, checkpoint);
        clearAssignment(task);
    }
    if (isTerminal(m_record.state))
        return consequence;
    if (task.isDone) {
        closeIfCompleted(run.task.occurrence);
        return consequence;
    }
    if (end == RunEnd::Done)
        endDone(*step, run, consequence);
    else if (end == RunEnd::Failed)
        endFailed(*step, run, consequence);
    // A gang makes progress only as a whole, so its remaining members are stopped.
    if (end != RunEnd::Done && !consequence.newState)
        consequence.toStop = gangMembers(run);
    closeIfCompleted(run.task.occurrence);
    return consequence;
}

void JobProgress::closeIfCompleted(int occurrence)
{
    const auto open = m_record.open.find(occurrence);
    const bool isCompleted = std::all_of(open->second.begin(), open->second.end(),
        [](const StepProgress& step) { return step.isDone() && !step.hasAssignment(); });
    if (!isCompleted)
        return;
    m_record.open.erase(open);
    m_record.completed.add(occurrence);
}

// A late "done" of an earlier run also completes the task; the later run is then stopped.
void JobProgress::endDone(StepProgress& step, const RunId& run, RunConsequence& consequence)
{
    if (specificationOf(run.task.step).runsUntilCancelled)
        return;
    const bool isGang = specificationOf(run.task.step).isGang;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        TaskProgress& task = step.tasks[index];
        if (!isGang && static_cast<int>(index) != run.task.index)
            continue;
        task.isDone = true;
        if (task.assignment && task.assignment->run != run.run)
            consequence.toStop.push_back(runOf(run.task, static_cast<int>(index), task.assignment->run));
    }
    consequence.isKnown = true;
    finishIfAllDone(consequence);
}

void JobProgress::endFailed(StepProgress& step, const RunId& run, RunConsequence& consequence)
{
    TaskProgress& representative = representativeOf(step, run.task);
    if (representative.lastFailedRun == run.run)
        return;
    representative.lastFailedRun = run.run;
    ++representative.failures;
    if (specificationOf(run.task.step).runsUntilCancelled
        || representative.failures < m_job.terms.maxAttempts)
        return;
    consequence = conclude(JobState::Failed);
}

std::vector<RunId> JobProgress::gangMembers(const RunId& run) const
{
    std::vector<RunId> members;
    if (!find(run.task) || !specificationOf(run.task.step).isGang)
        return members;
    const StepProgress& step = m_record.open.at(run.task.occurrence)[static_cast<std::size_t>(run.task.step)];
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        const auto& assignment = step.tasks[index].assignment;
        if (assignment && assignment->run == run.run)
            members.push_back(runOf(run.task, static_cast<int>(index), run.run));
    }
    return members;
}

void JobProgress::finishIfAllDone(RunConsequence& consequence)
{
    const int known = static_cast<int>(m_record.open.size()) + m_record.completed.size();
    if (known < m_job.occurrenceCount())
        return;
    for (const auto& [number, steps] : m_record.open) {
        for (const StepProgress& step : steps) {
            if (!step.isDone())
                return;
        }
    }
    m_record.state = JobState::Completed;
    consequence.newState = m_record.state;
}

RunConsequence JobProgress::conclude(JobState state)
{
    m_record.state = state;
    return { true, assignedRuns(), state };
}

RunConsequence JobProgress::cancel()
{
    if (isTerminal(m_record.state))
        return {};
    return conclude(JobState::Cancelled);
}

RunConsequence JobProgress::fail()
{
    if (isTerminal(m_record.state))
        return {};
    return conclude(JobState::Failed);
}

void JobProgress::noteCheckpoint(const RunId& run, const std::string& checkpoint)
{
    if (checkpoint.empty())
        return;
    StepProgress* step = stepOf(run.task);
    if (!step)
        return;
    const TaskProgress& task = step->tasks[static_cast<std::size_t>(run.task.index)];
    if (task.assignment && task.assignment->run == run.run)
        representativeOf(*step, run.task).checkpoint = checkpoint;
}

std::vector<RunId> JobProgress::assignedRuns() const
{
    std::vector<RunId> runs;
    for (const auto& [occurrence, steps] : m_record.open) {
        for (std::size_t step = 0; step < steps.size(); ++step) {
            const std::vector<TaskProgress>& tasks = steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (!tasks[index].assignment)
                    continue;
                const TaskId task { m_job.specification.id, occurrence, static_cast<int>(step),
                    static_cast<int>(index) };
                runs.push_back({ task, tasks[index].assignment->run });
            }
        }
    }
    return runs;
}

bool JobProgress::isPartlyPlaced(const StepPosition& position) const
{
    const StepProgress& step = m_record.open.at(position.occurrence)[static_cast<std::size_t>(position.step)];
    return std::any_of(step.tasks.begin(), step.tasks.end(),
        [](const TaskProgress& task) { return task.isDone || task.assignment; });
}

std::string JobProgress::encodeProgress(std::size_t maxBytes) const
{
    return batch::encodeProgress(m_record, m_job.specification, maxBytes);
}

std::size_t JobProgress::bytesWithoutCheckpoints() const
{
    return progressBytesWithoutCheckpoints(m_record, m_job.specification);
}

std::optional<std::string> JobProgress::restoreProgress(std::string_view bytes)
{
    auto record = decodeProgress(bytes, m_job.specification);
    if (!record)
        return record.error().detail;
    m_record = std::move(*record);
    m_assignments = static_cast<int>(assignedRuns().size());
    m_nextOccurrence = 0;
    skipKnownOccurrences();
    return std::nullopt;
}

} // namespace anvilmoor::batch
