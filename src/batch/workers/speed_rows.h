#pragma once

#include "anvilmoor/batch/rows.h"
#include "batch/workers/worker_pool.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

// Stores the estimated worker speeds as rows, so that the next leader does not have to measure them again.

namespace anvilmoor::batch {

// Number of rows that hold the speeds of all workers; at least one.
std::size_t speedRowCount(const WorkerPool&);
// Encodes the row with this index.
Row encodeSpeeds(const WorkerPool&, std::size_t index);
// Applies those stored speeds that have more weight than the ones in the pool. Ignores worker lifetimes that
// are not in the pool. Returns the reason if the bytes cannot be decoded.
std::optional<std::string> restoreSpeeds(std::string_view bytes, WorkerPool&);

} // namespace anvilmoor::batch
