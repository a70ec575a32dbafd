#pragma once

#include "anvilmoor/batch/job.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

// What the store holds of a job, as MessagePack arrays: rows are many, and their bytes are paid for.

namespace anvilmoor::batch {

struct RowCodecError {
    std::string detail;
};

std::string encodeJob(const AcceptedJob&);
tl::expected<AcceptedJob, RowCodecError> decodeJob(std::string_view bytes);

// The state alone, from the row that JobProgress::encodeProgress() wrote.
tl::expected<JobState, RowCodecError> decodeJobState(std::string_view bytes);

} // namespace anvilmoor::batch
