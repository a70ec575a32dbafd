#include "clients/worker_codec.h"

#include "clients/json_reader.h"

#include <algorithm>
#include <array>

namespace anvilmoor::clients {

using nlohmann::json;

namespace {

template <typename Value> using Name = std::pair<std::string_view, Value>;

constexpr std::array<Name<TaskPhase>, 6> phaseNames { {
    { "reserved", TaskPhase::Reserved },
    { "confirmed", TaskPhase::Confirmed },
    { "running", TaskPhase::Running },
    { "checkpointing", TaskPhase::Checkpointing },
    { "finished", TaskPhase::Finished },
    { "failed", TaskPhase::Failed },
} };

constexpr std::array<Name<WorkerCommandKind>, 7> commandNames { {
    { "reserve", WorkerCommandKind::Reserve },
    { "confirm", WorkerCommandKind::Confirm },
    { "run", WorkerCommandKind::Run },
    { "release", WorkerCommandKind::Release },
    { "checkpoint", WorkerCommandKind::Checkpoint },
    { "throttle", WorkerCommandKind::Throttle },
    { "stop", WorkerCommandKind::Stop },
} };

constexpr std::array<Name<WorkerCommandResult>, 5> resultNames { {
    { "failed", WorkerCommandResult::Failed },
    { "ok", WorkerCommandResult::Ok },
    { "stale_token", WorkerCommandResult::StaleToken },
    { "no_capacity", WorkerCommandResult::NoCapacity },
    { "unknown_task", WorkerCommandResult::UnknownTask },
} };

// Returns the first name for a value that has none.
template <typename Value, std::size_t size>
std::string_view nameOf(const std::array<Name<Value>, size>& names, Value value)
{
    const auto found = std::ranges::find(names, value, &Name<Value>::second);
    return found == names.end() ? names.front().first : found->first;
}

std::int64_t millisecondsOf(Milliseconds time) { return std::max<std::int64_t>(time.count(), 0); }

AttemptNumber readAttempt(JsonReader& reader)
{
    return static_cast<AttemptNumber>(reader.number("attempt", std::numeric_limits<AttemptNumber>::max()));
}

json taskToJson(const TaskReport& task)
{
    return { { "job", task.job.value() }, { "attempt", task.attempt },
        { "phase", nameOf(phaseNames, task.phase) }, { "accelerators", std::max(task.accelerators, 0) },
        { "throttled", task.throttled }, { "progress_ms", millisecondsOf(task.progress) },
        { "checkpoint_ms", millisecondsOf(task.checkpointed) } };
}

TaskReport readTask(JsonReader& reader)
{
    TaskReport task;
    task.job = JobId(reader.text("job"));
    task.attempt = readAttempt(reader);
    task.phase = reader.oneOf<TaskPhase>("phase", phaseNames);
    task.accelerators = reader.nonNegativeInt("accelerators");
    task.throttled = reader.flag("throttled");
    task.progress = reader.milliseconds("progress_ms");
    task.checkpointed = reader.milliseconds("checkpoint_ms");
    return task;
}

} // namespace

Encoded encodeSync(const SyncRack& sync)
{
    json message { { "token", sync.token }, { "since", sync.since }, { "wait_ms", millisecondsOf(sync.wait) },
        { "renew", json::array() } };
    for (const LeaseRenewal& renewal : sync.renewals)
        message["renew"].push_back({ { "job", renewal.job.value() }, { "attempt", renewal.attempt } });
    return toText(message);
}

Decoded<SyncRack> decodeSync(std::string_view text, const RackId& rack)
{
    JsonReader reader(text);
    SyncRack sync { rack, reader.number("token"), reader.number("since"), reader.milliseconds("wait_ms"),
        {} };
    for (JsonReader& item : reader.items("renew")) {
        JobId job(item.text("job"));
        sync.renewals.push_back({ std::move(job), readAttempt(item) });
    }
    return reader.result(std::move(sync));
}

Encoded encodeRackReport(const RackSynced& report)
{
    json message { { "sequence", report.sequence }, { "complete", report.isComplete },
        { "workers", json::array() } };
    for (const WorkerReport& worker : report.workers) {
        json tasks = json::array();
        for (const TaskReport& task : worker.tasks)
            tasks.push_back(taskToJson(task));
        message["workers"].push_back(
            { { "id", worker.worker.value() }, { "live", worker.isLive }, { "tasks", std::move(tasks) } });
    }
    return toText(message);
}

Decoded<RackSynced> decodeRackReport(std::string_view text, const RackId& rack, FencingToken token)
{
    JsonReader reader(text);
    RackSynced report { rack, token, reader.number("sequence"), reader.flag("complete"), {} };
    for (JsonReader& item : reader.items("workers")) {
        WorkerReport worker { WorkerId(item.text("id")), item.flag("live"), {} };
        for (JsonReader& task : item.items("tasks"))
            worker.tasks.push_back(readTask(task));
        report.workers.push_back(std::move(worker));
    }
    return reader.result(std::move(report));
}

Encoded encodeCommand(const WorkerCommand& command)
{
    return toText({ { "token", command.token }, { "command", nameOf(commandNames, command.kind) },
        { "job", command.job.value() }, { "attempt", command.attempt },
        { "accelerators", std::max(command.accelerators, 0) }, { "ttl_ms", millisecondsOf(command.ttl) },
        { "run_ms", millisecondsOf(command.runTime) }, { "throttle", command.throttled } });
}

Decoded<WorkerCommand> decodeCommand(std::string_view text)
{
    JsonReader reader(text);
    WorkerCommand command;
    command.kind = reader.oneOf<WorkerCommandKind>("command", commandNames);
    command.token = reader.number("token");
    command.job = JobId(reader.text("job"));
    command.attempt = readAttempt(reader);
    command.accelerators = reader.nonNegativeInt("accelerators");
    command.ttl = reader.milliseconds("ttl_ms");
    command.runTime = reader.milliseconds("run_ms");
    command.throttled = reader.flag("throttle");
    return reader.result(std::move(command));
}

Encoded encodeCommandResult(WorkerCommandResult result)
{
    return toText({ { "result", nameOf(resultNames, result) } });
}

Decoded<WorkerCommandResult> decodeCommandResult(std::string_view text)
{
    JsonReader reader(text);
    return reader.result(reader.oneOf<WorkerCommandResult>("result", resultNames));
}

} // namespace anvilmoor::clients
