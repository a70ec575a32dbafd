// The tables of steps and faults, and the names of cells.

#include "support/fault_matrix.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <stdexcept>

namespace anvilmoor::test {

namespace {

constexpr std::array<std::pair<MatrixPath, std::string_view>, 7> pathNames { {
    { MatrixPath::Job, "job" },
    { MatrixPath::Booking, "booking" },
    { MatrixPath::Quote, "quote" },
    { MatrixPath::Claim, "claim" },
    { MatrixPath::Configuration, "configuration" },
    { MatrixPath::Drain, "drain" },
    { MatrixPath::Role, "role" },
} };

constexpr std::array<std::pair<MatrixFault, std::string_view>, 25> faults { {
    { MatrixFault::EntryKilled, "entry killed" },
    { MatrixFault::HostReplaced, "host replaced" },
    { MatrixFault::AllReplaced, "all replaced" },
    { MatrixFault::WorkerDead, "worker dead" },
    { MatrixFault::WorkerRestarted, "worker restarted" },
    { MatrixFault::WorkerFailsAll, "worker fails all" },
    { MatrixFault::HolderPaused, "holder paused" },
    { MatrixFault::TableDown, "table down" },
    { MatrixFault::TableSlow, "table slow" },
    { MatrixFault::ReplyLost, "reply lost" },
    { MatrixFault::RequestLost, "request lost" },
    { MatrixFault::ObjectsDown, "objects down" },
    { MatrixFault::HostListFrozen, "host list frozen" },
    { MatrixFault::CutFromZones, "cut from zones" },
    { MatrixFault::CutFromPlatform, "cut from platform" },
    { MatrixFault::CutFromBoth, "cut from both" },
    { MatrixFault::ConnectionSilent, "connection silent" },
    { MatrixFault::MessageRepeated, "message repeated" },
    { MatrixFault::MessageDelayed, "message delayed" },
    { MatrixFault::OperatorsRace, "operators race" },
    { MatrixFault::CancellationWave, "cancellation wave" },
    { MatrixFault::RunTimeTooShort, "run time too short" },
    { MatrixFault::RunTimeTooLong, "run time too long" },
    { MatrixFault::JobNeverRuns, "job never runs" },
    { MatrixFault::Stopped, "stopped" },
} };

std::vector<MatrixStep> makeSteps()
{
    struct Row {
        MatrixPath path;
        std::string_view message;
        bool hasReply;
    };
    constexpr std::array rows {
        Row { MatrixPath::Job, "accept row", true },
        Row { MatrixPath::Job, "job notice", false },
        Row { MatrixPath::Job, "reserve", true },
        Row { MatrixPath::Job, "placement commit", true },
        Row { MatrixPath::Job, "confirm", true },
        Row { MatrixPath::Job, "run", true },
        Row { MatrixPath::Job, "running row", true },
        Row { MatrixPath::Job, "cancel row", true },
        Row { MatrixPath::Job, "stop", true },
        Row { MatrixPath::Job, "cancelled row", true },
        Row { MatrixPath::Job, "finish row", true },
        Row { MatrixPath::Job, "operator answer", false },
        Row { MatrixPath::Booking, "request claim", true },
        Row { MatrixPath::Booking, "call", true },
        Row { MatrixPath::Booking, "outcome record", true },
        Row { MatrixPath::Booking, "request answer", false },
        Row { MatrixPath::Quote, "call", true },
        Row { MatrixPath::Quote, "request answer", false },
        Row { MatrixPath::Claim, "accept row", true },
        Row { MatrixPath::Claim, "checkpoint", true },
        Row { MatrixPath::Claim, "requeue row", true },
        Row { MatrixPath::Claim, "reserve", true },
        Row { MatrixPath::Claim, "placement commit", true },
        Row { MatrixPath::Claim, "confirm", true },
        Row { MatrixPath::Claim, "run", true },
        Row { MatrixPath::Configuration, "configuration commit", true },
        Row { MatrixPath::Configuration, "configuration push", false },
        Row { MatrixPath::Configuration, "configuration poll", true },
        Row { MatrixPath::Configuration, "configuration adopted", false },
        Row { MatrixPath::Drain, "drain commit", true },
        Row { MatrixPath::Drain, "drain push", false },
        Row { MatrixPath::Drain, "operator answer", false },
        Row { MatrixPath::Role, "take-over", true },
        Row { MatrixPath::Role, "renewal", true },
        Row { MatrixPath::Role, "release", true },
        Row { MatrixPath::Role, "rack sync", true },
    };
    std::vector<MatrixStep> steps;
    for (const Row& row : rows) {
        steps.push_back({ row.path, std::string(row.message), Leg::Outgoing });
        if (row.hasReply)
            steps.push_back({ row.path, std::string(row.message), Leg::Reply });
    }
    return steps;
}

std::string jobRowName(const std::string& value)
{
    constexpr std::array<std::pair<std::string_view, std::string_view>, 6> names { {
        { "queued", "requeue row" },
        { "placed", "placement commit" },
        { "running", "running row" },
        { "finished", "finish row" },
        { "cancelled", "cancelled row" },
        { "failed", "failed row" },
    } };
    for (const auto& [state, name] : names) {
        if (value.find(fmt::format(R"("state":"{}")", state)) != std::string::npos)
            return std::string(name);
    }
    return {};
}

std::string transactionName(const TableTransaction& transaction)
{
    std::string name;
    for (const TableWrite& write : transaction.writes) {
        if (!write.value)
            continue;
        if (write.key.starts_with("jobkey/"))
            return "accept row";
        if (write.key.starts_with("jobcancel/"))
            return "cancel row";
        if (write.key.starts_with("job/") || write.key.starts_with("jobdone/"))
            name = jobRowName(*write.value);
        else if (write.key.starts_with("request/"))
            return write.value->find(R"("state":"claimed")") != std::string::npos ? "request claim"
                                                                                  : "outcome record";
        else if (write.key == "config/current")
            return "configuration commit";
        else if (write.key == "drains/current")
            return "drain commit";
        else if (write.key.ends_with("/owner"))
            return write.value->find(R"("released":true)") != std::string::npos ? "release" : "take-over";
        else if (write.key.ends_with("/heartbeat"))
            name = "renewal";
    }
    return name;
}

std::string commandName(WorkerCommandKind kind)
{
    switch (kind) {
    case WorkerCommandKind::Reserve:
        return "reserve";
    case WorkerCommandKind::Confirm:
        return "confirm";
    case WorkerCommandKind::Run:
        return "run";
    case WorkerCommandKind::Checkpoint:
        return "checkpoint";
    case WorkerCommandKind::Release:
        return "task release";
    case WorkerCommandKind::Throttle:
        return "throttle";
    case WorkerCommandKind::Stop:
        return "stop";
    }
    return {};
}

std::string peerMessageName(const PeerMessage& message)
{
    if (std::holds_alternative<ConfigurationPush>(message))
        return "configuration push";
    if (std::holds_alternative<DrainPush>(message))
        return "drain push";
    if (std::holds_alternative<JobNotice>(message))
        return "job notice";
    if (std::holds_alternative<RequestLookup>(message))
        return "request lookup";
    return {};
}

bool isLocal(const MatrixStep& step)
{
    return step.message.ends_with(" answer") || step.message == "configuration adopted";
}

bool isPeerMessage(const MatrixStep& step)
{
    return step.message == "job notice" || step.message.ends_with(" push");
}

bool isWorkerMessage(const MatrixStep& step)
{
    constexpr std::array<std::string_view, 7> names { "reserve", "confirm", "run", "checkpoint", "stop",
        "call", "rack sync" };
    return std::find(names.begin(), names.end(), step.message) != names.end();
}

bool hasJobs(MatrixPath path)
{
    return path == MatrixPath::Job || path == MatrixPath::Claim || path == MatrixPath::Role;
}

std::uint64_t seedOf(std::string_view name)
{
    // FNV-1a: the same on every machine.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : name) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    constexpr std::uint64_t shortSeed = 1'000'000;
    return hash % shortSeed;
}

std::string injectionsName(const MatrixCell& cell)
{
    std::string text;
    for (const MatrixInjection& injection : cell.injections)
        text += fmt::format(
            "{}{}|{}", text.empty() ? "" : "&", nameOf(injection.step), nameOf(injection.fault));
    return text;
}

MatrixInjection parseInjection(const std::string& text)
{
    const std::size_t bar = text.find('|');
    if (bar != std::string::npos) {
        for (const MatrixStep& step : matrixSteps()) {
            for (const auto& [fault, name] : faults) {
                if (nameOf(step) == text.substr(0, bar) && name == text.substr(bar + 1))
                    return { step, fault };
            }
            if (text == nameOf(step) + "|" + std::string(nameOf(MatrixFault::None)))
                return { step, MatrixFault::None };
        }
    }
    throw std::invalid_argument("no step and fault are named \"" + text + "\"");
}

} // namespace

std::span<const MatrixStep> matrixSteps()
{
    static const std::vector<MatrixStep> steps = makeSteps();
    return steps;
}

std::span<const std::pair<MatrixFault, std::string_view>> matrixFaults() { return faults; }

std::string_view nameOf(MatrixPath path)
{
    return std::find_if(pathNames.begin(), pathNames.end(), [path](const auto& item) {
        return item.first == path;
    })->second;
}

std::string_view nameOf(MatrixFault fault)
{
    if (fault == MatrixFault::None)
        return "no fault";
    return std::find_if(faults.begin(), faults.end(), [fault](const auto& item) {
        return item.first == fault;
    })->second;
}

std::string nameOf(const MatrixStep& step)
{
    return fmt::format("{}/{}{}", nameOf(step.path), step.message, step.leg == Leg::Reply ? " reply" : "");
}

std::string whyNotApplicable(const MatrixStep& step, MatrixFault fault)
{
    switch (fault) {
    case MatrixFault::RequestLost:
        return isLocal(step) || step.leg == Leg::Reply ? "no message to lose" : "";
    case MatrixFault::ReplyLost:
        return step.leg != Leg::Reply ? "no reply" : "";
    case MatrixFault::MessageRepeated:
        // Endpoints do not promise to detect copies of a call. At-most-once execution therefore depends on a
        // connection that delivers each call once and on a client that never resends by itself.
        if (step.path == MatrixPath::Booking && step.message == "call" && step.leg == Leg::Outgoing)
            return "a connection carries each call once";
        return isLocal(step) ? "no message" : "";
    case MatrixFault::MessageDelayed:
        return isLocal(step) ? "no message" : "";
    case MatrixFault::ConnectionSilent:
        return isPeerMessage(step) || isWorkerMessage(step) ? "" : "no connection to a peer or worker";
    case MatrixFault::OperatorsRace:
        return step.path == MatrixPath::Role ? "nobody submits anything" : "";
    case MatrixFault::CancellationWave:
    case MatrixFault::RunTimeTooShort:
    case MatrixFault::RunTimeTooLong:
    case MatrixFault::JobNeverRuns:
        return hasJobs(step.path) ? "" : "no jobs";
    default:
        return {};
    }
}

std::string messageName(const Effect& effect)
{
    if (const auto* transaction = std::get_if<ExecuteTransaction>(&effect))
        return transactionName(transaction->transaction);
    if (const auto* command = std::get_if<SendWorkerCommand>(&effect))
        return commandName(command->command.kind);
    if (const auto* peer = std::get_if<SendToPeer>(&effect))
        return peerMessageName(peer->message);
    if (const auto* read = std::get_if<ReadTable>(&effect)) {
        const std::vector<std::string>& keys = read->read.keys;
        return std::find(keys.begin(), keys.end(), "config/version") != keys.end() ? "configuration poll"
                                                                                   : "";
    }
    if (std::holds_alternative<CallEndpoint>(effect))
        return "call";
    if (std::holds_alternative<SyncRack>(effect))
        return "rack sync";
    if (std::holds_alternative<AnswerRequest>(effect))
        return "request answer";
    if (std::holds_alternative<AnswerOperator>(effect))
        return "operator answer";
    if (std::holds_alternative<ConfigurationAdopted>(effect))
        return "configuration adopted";
    return {};
}

MatrixCell cellOf(std::vector<MatrixInjection> injections)
{
    MatrixCell cell { std::move(injections), 0 };
    cell.seed = seedOf(injectionsName(cell));
    return cell;
}

std::string formatCell(const MatrixCell& cell)
{
    return fmt::format("{}#{}", injectionsName(cell), cell.seed);
}

MatrixCell parseCell(const std::string& text)
{
    const std::size_t hash = text.rfind('#');
    if (hash == std::string::npos)
        throw std::invalid_argument("\"" + text + "\" has no seed after #");
    MatrixCell cell;
    cell.seed = std::stoull(text.substr(hash + 1));
    std::size_t begin = 0;
    while (begin < hash) {
        const std::size_t end = std::min(text.find('&', begin), hash);
        cell.injections.push_back(parseInjection(text.substr(begin, end - begin)));
        begin = end + 1;
    }
    return cell;
}

} // namespace anvilmoor::test
