#pragma once

#include "anvilmoor/batch/job.h"
#include "anvilmoor/batch/rows.h"

#include <optional>
#include <string>

namespace anvilmoor::batch {

// Why the store cannot keep the job or its progress; empty if it can. `row` is the encoded job.
std::optional<std::string> reasonNotStorable(const JobSpecification&, const Row& row, const StoreLimits&);

} // namespace anvilmoor::batch
