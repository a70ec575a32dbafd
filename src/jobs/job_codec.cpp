#include "jobs/job_codec.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace anvilmoor {

namespace {

using Json = nlohmann::json;

constexpr std::size_t hexDigits = 16;

constexpr std::array<std::pair<JobState, std::string_view>, 6> stateNames { {
    { JobState::Queued, "queued" },
    { JobState::Placed, "placed" },
    { JobState::Running, "running" },
    { JobState::Finished, "finished" },
    { JobState::Cancelled, "cancelled" },
    { JobState::Failed, "failed" },
} };

std::string_view nameOf(JobState state)
{
    for (const auto& [candidate, name] : stateNames) {
        if (candidate == state)
            return name;
    }
    return "queued";
}

std::optional<JobState> stateOf(std::string_view name)
{
    for (const auto& [state, candidate] : stateNames) {
        if (candidate == name)
            return state;
    }
    return std::nullopt;
}

// Replaces invalid UTF-8, which submitters may send in names, instead of throwing an exception.
std::string dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

Json specificationJson(const JobSpecification& specification)
{
    return { { "account", specification.account.value() }, { "key", specification.key },
        { "zone", specification.zone.value() },
        { "class", specification.jobClass == JobClass::Guaranteed ? "guaranteed" : "borrowed" },
        { "accelerators", specification.accelerators }, { "adjacent", specification.adjacent },
        { "priority", specification.priority }, { "run_ms", specification.declaredRunTime.count() } };
}

JobSpecification readSpecification(const Json& json)
{
    JobSpecification specification;
    specification.account = ClientAccountId(json.at("account").get<std::string>());
    specification.key = json.at("key").get<std::string>();
    specification.zone = AvailabilityZoneId(json.at("zone").get<std::string>());
    specification.jobClass
        = json.at("class").get<std::string>() == "guaranteed" ? JobClass::Guaranteed : JobClass::Borrowed;
    specification.accelerators = json.at("accelerators").get<int>();
    specification.adjacent = json.at("adjacent").get<bool>();
    specification.priority = json.at("priority").get<int>();
    specification.declaredRunTime = Milliseconds(json.at("run_ms").get<std::int64_t>());
    return specification;
}

WallTime readWallTime(const Json& json) { return WallTime(Milliseconds(json.get<std::int64_t>())); }

JobRecord readRecord(const Json& json)
{
    JobRecord record;
    JobStatus& status = record.status;
    status.specification = readSpecification(json.at("spec"));
    status.specification.id = JobId(json.at("id").get<std::string>());
    status.state = stateOf(json.at("state").get<std::string>()).value();
    status.attempt = json.at("attempt").get<AttemptNumber>();
    status.token = json.at("token").get<FencingToken>();
    for (const Json& member : json.at("members"))
        status.members.push_back({ WorkerId(member.at(0).get<std::string>()), member.at(1).get<int>() });
    status.reason = json.at("reason").get<std::string>();
    status.checkpointed = Milliseconds(json.at("checkpoint_ms").get<std::int64_t>());
    status.submittedAt = readWallTime(json.at("submitted_at"));
    status.finishedAt = readWallTime(json.at("finished_at"));
    record.failedAttempts = json.at("failed_attempts").get<int>();
    record.excusedFailures = json.at("excused_failures").get<int>();
    return record;
}

} // namespace

std::string jobPrefix(const AvailabilityZoneId& zone) { return "job/" + zone.value() + "/"; }

std::string jobDonePrefix(const AvailabilityZoneId& zone) { return "jobdone/" + zone.value() + "/"; }

std::string jobNewPrefix(const AvailabilityZoneId& zone) { return "jobnew/" + zone.value() + "/"; }

std::string jobExpiryPrefix(const AvailabilityZoneId& zone) { return "jobexpiry/" + zone.value() + "/"; }

std::string jobCancelPrefix(const AvailabilityZoneId& zone) { return "jobcancel/" + zone.value() + "/"; }

std::string jobRowKey(const JobId& job)
{
    return jobPrefix(zoneOf(job).value_or(AvailabilityZoneId())) + job.value();
}

std::string jobDoneRowKey(const JobId& job)
{
    return jobDonePrefix(zoneOf(job).value_or(AvailabilityZoneId())) + job.value();
}

std::string jobNewRowKey(const JobId& job)
{
    return jobNewPrefix(zoneOf(job).value_or(AvailabilityZoneId())) + job.value();
}

std::string jobExpiryRowKey(const JobId& job)
{
    return jobExpiryPrefix(zoneOf(job).value_or(AvailabilityZoneId())) + job.value();
}

std::string jobCancelRowKey(const JobId& job)
{
    return jobCancelPrefix(zoneOf(job).value_or(AvailabilityZoneId())) + job.value();
}

std::string jobKeyRowKey(const ClientAccountId& account, const std::string& key)
{
    return "jobkey/" + account.value() + "/" + key;
}

JobId jobIdFor(const AvailabilityZoneId& zone, const ClientAccountId& account, const std::string& key)
{
    std::string input = account.value();
    input.push_back('\0');
    input += key;
    const std::uint64_t hash = XXH64(input.data(), input.size(), 0);
    return JobId(fmt::format("{}.{:016x}", zone.value(), hash));
}

std::optional<AvailabilityZoneId> zoneOf(const JobId& job)
{
    const std::string& text = job.value();
    const std::size_t dot = text.rfind('.');
    if (dot == std::string::npos || dot == 0 || text.size() - dot - 1 != hexDigits)
        return std::nullopt;
    const bool isHex = std::all_of(text.begin() + static_cast<std::ptrdiff_t>(dot) + 1, text.end(),
        [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    if (!isHex || text.find('/') != std::string::npos)
        return std::nullopt;
    return AvailabilityZoneId(text.substr(0, dot));
}

std::string specificationDigest(const JobSpecification& specification)
{
    const std::string text = dump(specificationJson(specification));
    return fmt::format("{:016x}", XXH64(text.data(), text.size(), 0));
}

std::string encodeJob(const JobRecord& record)
{
    const JobStatus& status = record.status;
    Json members = Json::array();
    for (const GangMember& member : status.members)
        members.push_back({ member.worker.value(), member.accelerators });
    return dump({ { "id", status.specification.id.value() },
        { "spec", specificationJson(status.specification) }, { "state", nameOf(status.state) },
        { "attempt", status.attempt }, { "token", status.token }, { "members", std::move(members) },
        { "reason", status.reason }, { "checkpoint_ms", status.checkpointed.count() },
        { "submitted_at", status.submittedAt.time_since_epoch().count() },
        { "finished_at", status.finishedAt.time_since_epoch().count() },
        { "failed_attempts", record.failedAttempts }, { "excused_failures", record.excusedFailures } });
}

std::optional<JobRecord> decodeJob(std::string_view text)
{
    try {
        return readRecord(Json::parse(text));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string encodeJobKey(const JobKeyRecord& record)
{
    return dump({ { "job", record.job.value() }, { "digest", record.digest } });
}

std::optional<JobKeyRecord> decodeJobKey(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        JobKeyRecord record { JobId(json.at("job").get<std::string>()),
            json.at("digest").get<std::string>() };
        if (!zoneOf(record.job))
            return std::nullopt;
        return record;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string encodeJobExpiry(const JobExpiryRecord& record)
{
    return dump(
        { { "finished_at", record.finishedAt.time_since_epoch().count() }, { "index", record.indexKey } });
}

std::optional<JobExpiryRecord> decodeJobExpiry(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        return JobExpiryRecord { readWallTime(json.at("finished_at")), json.at("index").get<std::string>() };
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

bool isTerminal(JobState state)
{
    return state == JobState::Finished || state == JobState::Cancelled || state == JobState::Failed;
}

} // namespace anvilmoor
