#include "batch/workers/fencing_token.h"

#include <algorithm>

namespace anvilmoor::batch {

namespace {

// The token has to fit into 53 bits, as JSON readers may treat numbers as floating point: 18 bits are left
// for the epoch.
constexpr int startBits = 35;
constexpr std::int64_t largestStart = (std::int64_t { 1 } << startBits) - 1;
// A restart takes longer than this, so two lifetimes of a worker never have the same token.
constexpr std::int64_t startUnitMs = 64;

} // namespace

std::uint64_t fencingTokenOf(std::uint64_t epoch, const WorkerLifetime& lifetime)
{
    const std::int64_t start
        = std::clamp(lifetime.startedAtMs / startUnitMs, std::int64_t { 0 }, largestStart);
    return (epoch << startBits) | static_cast<std::uint64_t>(start);
}

} // namespace anvilmoor::batch
