#pragma once

#include "anvilmoor/batch/rows.h"
#include "batch/workers/worker_pool.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

// The workers' speeds as rows of the store, so that the next leader need not learn them again.

namespace anvilmoor::batch {

// How many rows the speeds of all workers take, at least one.
std::size_t speedRowCount(const WorkerPool&);
// One of these rows.
Row encodeSpeeds(const WorkerPool&, std::size_t index);
// Takes over speeds of which more has been observed than here; lifetimes that are not in the pool are passed
// over. Returns why the bytes cannot be read.
std::optional<std::string> restoreSpeeds(std::string_view bytes, WorkerPool&);

} // namespace anvilmoor::batch
