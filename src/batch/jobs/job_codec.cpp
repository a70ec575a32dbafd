#include "batch/jobs/job_codec.h"

#include "anvilmoor/batch/bounds.h"
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

} // namespace anvilmoor::batch
