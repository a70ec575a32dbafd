#include "batch/store/tables.h"

namespace anvilmoor::batch {

namespace {

constexpr std::string_view submissionSuffix = ".job";
constexpr std::string_view cancelSuffix = ".cancel";

RowKey keyOf(std::string_view table, std::string key)
{
    return { std::string(table), std::string(ownPart), std::move(key) };
}

} // namespace

RowKey leaseKey() { return keyOf(leaseTable, "leader"); }

RowKey jobKey(const JobId& job) { return keyOf(jobTable, job.value() + std::string(submissionSuffix)); }

RowKey cancelKey(const JobId& job) { return keyOf(jobTable, job.value() + std::string(cancelSuffix)); }

RowKey progressKey(const JobId& job) { return keyOf(progressTable, job.value()); }

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
