#pragma once

#include "anvilmoor/batch/job.h"
#include "anvilmoor/batch/rows.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

// The names of the scheduler's own tables and keys.

namespace anvilmoor::batch {

// Lease and progress share a part, so that each commit of the leader can depend on the lease's row.
constexpr std::string_view leaderPart = "leader";
// Jobs are spread over this many parts by their id: a part takes one transaction after the other, and a slow
// store would make callers and leader wait for each other.
constexpr int jobParts = 8;
constexpr std::string_view leaseTable = "lease";
constexpr std::string_view jobTable = "job"; // accepted jobs and cancel requests
constexpr std::string_view progressTable = "progress";
constexpr std::string_view speedTable = "speed"; // of the workers

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

// Empty if the key is none of those above.
std::optional<JobRowName> parseJobKey(std::string_view key);

} // namespace anvilmoor::batch
