#include "batch/store/tables.h"

#include <utility>
#include <xxhash.h>

namespace anvilmoor::batch {

namespace {

constexpr std::string_view submissionSuffix = ".job";
constexpr std::string_view cancelSuffix = ".cancel";

RowKey leaderKey(std::string_view table, std::string key)
{
    return { std::string(table), std::string(leaderPart), std::move(key) };
}

RowKey keyOfJob(const JobId& job, std::string_view suffix)
{
    const std::string& id = job.value();
    const auto part = static_cast<int>(XXH3_64bits(id.data(), id.size()) % jobParts);
    return { std::string(jobTable), jobPartName(part), id + std::string(suffix) };
}

} // namespace

std::string jobPartName(int index) { return "jobs-" + std::to_string(index); }

RowKey leaseKey() { return leaderKey(leaseTable, "leader"); }

RowKey jobKey(const JobId& job) { return keyOfJob(job, submissionSuffix); }

RowKey cancelKey(const JobId& job) { return keyOfJob(job, cancelSuffix); }

RowKey progressKey(const JobId& job) { return leaderKey(progressTable, job.value()); }

RowKey speedKey(std::size_t index) { return leaderKey(speedTable, std::to_string(index)); }

std::optional<JobRowName> parseJobKey(std::string_view key)
{
    const auto named = [key](std::string_view suffix, JobRowKind kind) -> std::optional<JobRowName> {
        if (!key.ends_with(suffix) || key.size() == suffix.size())
            return std::nullopt;
        return JobRowName { kind, JobId(std::string(key.substr(0, key.size() - suffix.size()))) };
    };
    if (auto submission = named(submissionSuffix, JobRowKind::Submission))
        return submission;
    return named(cancelSuffix, JobRowKind::CancelRequest);
}

} // namespace anvilmoor::batch
