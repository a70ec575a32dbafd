#pragma once

#include "anvilmoor/batch/job.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

// Encodes jobs for the store as MessagePack arrays. The format is compact because there are many rows and
// their bytes are charged for.

namespace anvilmoor::batch {

struct RowCodecError {
    std::string detail;
};

std::string encodeJob(const AcceptedJob&);
tl::expected<AcceptedJob, RowCodecError> decodeJob(std::string_view bytes);

} // namespace anvilmoor::batch
