#pragma once

#include "anvilmoor/batch/event.h"

// Each module sets its own bit in the ids of its store operations, so that answers can be routed back to it.

namespace anvilmoor::batch {

constexpr OperationId speedReadBit = OperationId { 1 } << 57U;
constexpr OperationId removalOperationBit = OperationId { 1 } << 58U;
constexpr OperationId writerOperationBit = OperationId { 1 } << 59U;
constexpr OperationId intakeOperationBit = OperationId { 1 } << 60U;
constexpr OperationId progressReadBit = OperationId { 1 } << 61U;
constexpr OperationId commitOperationBit = OperationId { 1 } << 62U;

} // namespace anvilmoor::batch
