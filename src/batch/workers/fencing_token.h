#pragma once

#include "anvilmoor/batch/worker.h"

#include <cstdint>

namespace anvilmoor::batch {

// Returns the fencing token of a leader's orders to one lifetime of a worker. A worker rejects orders with a
// lower token than the highest one that it has seen. Tokens rise with the leader's epoch and, within an
// epoch, with the start of the worker's lifetime: orders for an earlier lifetime that are delivered late are
// thus rejected by a later lifetime under the same id, once it has seen its own token.
std::uint64_t fencingTokenOf(std::uint64_t epoch, const WorkerLifetime&);

} // namespace anvilmoor::batch
