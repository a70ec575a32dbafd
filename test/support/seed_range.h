#pragma once

#include <cstdint>

namespace anvilmoor::testing {

// The first and the last seed.
struct SeedRange {
    std::uint64_t first = 1;
    std::uint64_t last = 1;
};

// Returns the seeds that the environment variable names, such as 1-500 or 7, or else those given.
SeedRange seedsOr(const char* variable, SeedRange);

} // namespace anvilmoor::testing
