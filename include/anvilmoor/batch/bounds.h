#pragma once

#include "anvilmoor/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

// Ranges of the numbers in bodies, entries and rows that other programs write. Within them, the arithmetic of
// the scheduler cannot overflow.

namespace anvilmoor::batch {

constexpr int maxTasksPerStep = 10'000;
// Of one job, in all occurrences that are open at the same time.
constexpr std::size_t maxOpenTasks = 20'000;
constexpr int maxOccurrences = 100'000;
// Of a run, an attempt or a priority.
constexpr int maxOrdinal = 1'000'000'000;
// In thousandths of a core, MB or accelerators.
constexpr std::int64_t maxResourceAmount = 1'000'000'000;
constexpr Milliseconds maxDuration = std::chrono::days(366);
constexpr double maxStretch = 10'000;
// In Unix ms, about the year 5138.
constexpr std::int64_t maxUnixTime = 100'000'000'000'000;

} // namespace anvilmoor::batch
