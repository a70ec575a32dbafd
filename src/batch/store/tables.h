#pragma once

#include "anvilmoor/batch/job.h"
#include "anvilmoor/batch/rows.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

// Names of the scheduler's own tables, and keys of their rows.

namespace anvilmoor::batch {

// The rows of the lease and of the progress share a part, so that each commit of the leader can depend on the
// version of the lease row.
constexpr std::string_view leaderPart = "leader";
// Jobs are distributed over this many parts by their id. A part executes one transaction at a time, so with a
// single part and a slow store, callers and the leader would wait for each other.
constexpr int jobParts = 8;
constexpr std::string_view leaseTable = "lease";
constexpr std::string_view jobTable = "job"; // accepted jobs and cancel requests
constexpr std::string_view progressTable = "progress";
constexpr std::string_view speedTable = "speed"; // speeds of the workers

std::string jobPartName(int index);
RowKey leaseKey();
RowKey jobKey(const JobId&);
RowKey cancelKey(const JobId&);
RowKey progressKey(const JobId&);
RowKey speedKey(std::size_t index);

enum class JobRowKind { Submission, CancelRequest };

struct JobRowName {
    JobRowKind kind = JobRowKind::Submission;
    JobId job;
};

// Empty if the key belongs neither to a job nor to a cancel request.
std::optional<JobRowName> parseJobKey(std::string_view key);

} // namespace anvilmoor::batch
