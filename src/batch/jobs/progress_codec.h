#pragma once

#include "batch/jobs/job_codec.h"
#include "batch/jobs/progress_record.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

// Encodes the progress of jobs for the store as MessagePack arrays. What is done takes at most one bit a
// task, what has not begun takes nothing, and each worker is named once.

namespace anvilmoor::batch {

// The result has at most `maxBytes` if possible: what does not fit is left out as far as the job can go on
// without it. These are checkpoints of a job that has not ended, and assignments of one that has.
std::string encodeProgress(const ProgressRecord&, const JobSpecification&, std::size_t maxBytes);

// Bytes that the progress takes without the checkpoints.
std::size_t progressBytesWithoutCheckpoints(const ProgressRecord&, const JobSpecification&);

// Also decodes rows of the earlier format, which contains every task of every occurrence.
tl::expected<ProgressRecord, RowCodecError> decodeProgress(std::string_view bytes, const JobSpecification&);

// Decodes only the state.
tl::expected<JobState, RowCodecError> decodeJobState(std::string_view bytes);

} // namespace anvilmoor::batch
