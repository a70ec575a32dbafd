#include "support/seed_range.h"

#include <cstdlib>

namespace anvilmoor::testing {

SeedRange seedsOr(const char* variable, SeedRange seeds)
{
    const char* text = std::getenv(variable);
    if (!text)
        return seeds;
    char* end = nullptr;
    seeds.first = std::strtoull(text, &end, 10);
    seeds.last = *end == '-' ? std::strtoull(end + 1, nullptr, 10) : seeds.first;
    return seeds;
}

} // namespace anvilmoor::testing
