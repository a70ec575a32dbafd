#include "batch/jobs/job_codec.h"

#include "anvilmoor/batch/bounds.h"
#include "batch/jobs/job_progress.h"
#include "batch/store/message_pack.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace anvilmoor::batch {

namespace {

using Json = nlohmann::json;

enum StepFlag : unsigned {
    Gang = 1U,
    OneRack = 2U,
    Checkpoints = 4U,
    Copies = 8U,
    UntilCancelled = 16U,
    SpareCpu = 32U,
};

unsigned flagsOf(const StepSpecification& step)
{
    return (step.isGang ? Gang : 0U) | (step.needsOneRack ? OneRack : 0U)
        | (step.savesCheckpoints ? Checkpoints : 0U) | (step.allowsCopies ? Copies : 0U)
        | (step.runsUntilCancelled ? UntilCancelled : 0U) | (step.usesSpareCpu ? SpareCpu : 0U);
}

Json encodeStep(const StepSpecification& step)
{
    return Json::array({ step.taskCount, step.perTask.cpuMillicores, step.perTask.memoryMb,
        step.perTask.accelerators, step.estimatedDuration.count(), step.dependsOn, flagsOf(step),
        step.requiredLabel, step.dataRack, step.maxTasksPerWorker });
}

int ordinal(const Json& value) { return static_cast<int>(integerIn(value, 0, maxOrdinal)); }

Milliseconds duration(const Json& value) { return Milliseconds(integerIn(value, 0, maxDuration.count())); }

WallTime wallTime(const Json& value) { return WallTime(Milliseconds(integerIn(value, 0, maxUnixTime))); }

std::int64_t resourceAmount(const Json& value) { return integerIn(value, 0, maxResourceAmount); }

JobState jobState(const Json& value)
{
    return static_cast<JobState>(integerIn(value, 0, static_cast<int>(JobState::Cancelled)));
}

StepSpecification decodeStep(const Json& row, std::size_t number)
{
    StepSpecification step;
    step.taskCount = static_cast<int>(integerIn(row.at(0), 1, maxTasksPerStep));
    step.perTask = { resourceAmount(row.at(1)), resourceAmount(row.at(2)), resourceAmount(row.at(3)) };
    step.estimatedDuration = duration(row.at(4));
    for (const Json& earlier : row.at(5))
        step.dependsOn.push_back(
            static_cast<int>(integerIn(earlier, 0, static_cast<std::int64_t>(number) - 1)));
    const auto flags = row.at(6).get<unsigned>();
    step.isGang = (flags & Gang) != 0U;
    step.needsOneRack = (flags & OneRack) != 0U;
    step.savesCheckpoints = (flags & Checkpoints) != 0U;
    step.allowsCopies = (flags & Copies) != 0U;
    step.runsUntilCancelled = (flags & UntilCancelled) != 0U;
    step.usesSpareCpu = (flags & SpareCpu) != 0U;
    step.requiredLabel = row.at(7).get<std::string>();
    step.dataRack = row.at(8).get<std::string>();
    step.maxTasksPerWorker = ordinal(row.at(9));
    return step;
}

Json encodeTask(const TaskProgress& task)
{
    Json row = Json::array({ task.isDone, task.lastRun, task.failures, task.lastFailedRun, task.checkpoint });
    if (task.assignment) {
        row.push_back(task.assignment->run);
        row.push_back(task.assignment->worker.id.value());
        row.push_back(task.assignment->worker.startedAtMs);
    }
    return row;
}

TaskProgress decodeTask(const Json& row)
{
    TaskProgress task { row.at(0).get<bool>(), ordinal(row.at(1)), ordinal(row.at(2)), ordinal(row.at(3)),
        row.at(4).get<std::string>(), std::nullopt };
    task.lastRunWhenRestored = task.lastRun;
    if (row.size() > 5) {
        const WorkerLifetime worker { WorkerId(row.at(6).get<std::string>()), row.at(7).get<std::int64_t>() };
        task.assignment = Assignment { worker, ordinal(row.at(5)) };
    }
    return task;
}

Json encodeOccurrence(const std::vector<StepProgress>& steps)
{
    Json rows = Json::array();
    for (const StepProgress& step : steps) {
        Json tasks = Json::array();
        for (const TaskProgress& task : step.tasks)
            tasks.push_back(encodeTask(task));
        rows.push_back(std::move(tasks));
    }
    return rows;
}

std::vector<StepProgress> decodeOccurrence(const Json& rows)
{
    std::vector<StepProgress> steps;
    for (const Json& tasks : rows) {
        StepProgress step;
        for (const Json& task : tasks)
            step.tasks.push_back(decodeTask(task));
        steps.push_back(std::move(step));
    }
    return steps;
}

bool hasShapeOf(const std::vector<StepProgress>& steps, const std::vector<StepProgress>& expected)
{
    return std::equal(steps.begin(), steps.end(), expected.begin(), expected.end(),
        [](const StepProgress& a, const StepProgress& b) { return a.tasks.size() == b.tasks.size(); });
}

} // namespace

std::string encodeJob(const AcceptedJob& job)
{
    Json steps = Json::array();
    for (const StepSpecification& step : job.specification.steps)
        steps.push_back(encodeStep(step));
    const Schedule& schedule = job.specification.schedule;
    return toMessagePack(Json::array({ job.specification.id.value(), job.specification.payload,
        std::move(steps), schedule.firstDue.time_since_epoch().count(), schedule.interval.count(),
        schedule.occurrences, job.terms.queue, job.terms.service.value(), job.terms.account.value(),
        job.terms.priority, job.terms.maxAttempts, job.terms.stretch, job.terms.latencyTarget.count(),
        job.acceptedAt.time_since_epoch().count() }));
}

tl::expected<AcceptedJob, RowCodecError> decodeJob(std::string_view bytes)
{
    try {
        const Json row = fromMessagePack(bytes);
        AcceptedJob job;
        job.specification.id = JobId(row.at(0).get<std::string>());
        job.specification.payload = row.at(1).get<std::string>();
        for (const Json& step : row.at(2))
            job.specification.steps.push_back(decodeStep(step, job.specification.steps.size()));
        if (job.specification.steps.empty())
            throw RowError("the job has no step");
        job.specification.schedule = { wallTime(row.at(3)), duration(row.at(4)),
            static_cast<int>(integerIn(row.at(5), 0, maxOccurrences)) };
        job.terms = { row.at(6).get<std::string>(), ServiceId(row.at(7).get<std::string>()),
            ClientAccountId(row.at(8).get<std::string>()), ordinal(row.at(9)), ordinal(row.at(10)),
            numberIn(row.at(11), 0, maxStretch), duration(row.at(12)) };
        job.acceptedAt = wallTime(row.at(13));
        return job;
    } catch (const std::exception& error) {
        return tl::unexpected(RowCodecError { fmt::format("cannot decode job row: {}", error.what()) });
    }
}

std::string JobProgress::encodeProgress() const
{
    Json occurrences = Json::array();
    for (const auto& [number, steps] : m_occurrences)
        occurrences.push_back(encodeOccurrence(steps));
    return toMessagePack(Json::array({ static_cast<int>(m_state), m_hasBegun, std::move(occurrences) }));
}

std::optional<std::string> JobProgress::restoreProgress(std::string_view bytes)
{
    try {
        const Json row = fromMessagePack(bytes);
        const JobState state = jobState(row.at(0));
        std::map<int, std::vector<StepProgress>> occurrences;
        for (const Json& steps : row.at(2)) {
            std::vector<StepProgress> occurrence = decodeOccurrence(steps);
            if (!hasShapeOf(occurrence, emptyOccurrence()))
                return "stored steps or task counts differ from those of the job";
            occurrences.emplace(static_cast<int>(occurrences.size()), std::move(occurrence));
        }
        m_hasBegun = row.at(1).get<bool>();
        m_state = state;
        m_occurrences = std::move(occurrences);
        m_assignments = static_cast<int>(assignedRuns().size());
        return std::nullopt;
    } catch (const std::exception& error) {
        return fmt::format("cannot decode job progress row: {}", error.what());
    }
}

tl::expected<JobState, RowCodecError> decodeJobState(std::string_view bytes)
{
    try {
        const Json row = fromMessagePack(bytes);
        return jobState(row.at(0));
    } catch (const std::exception& error) {
        return tl::unexpected(
            RowCodecError { fmt::format("cannot decode job progress row: {}", error.what()) });
    }
}

} // namespace anvilmoor::batch
