#pragma once

#include "anvilmoor/time.h"
#include "core/table_rows.h"

namespace anvilmoor {

// An operation without a reply after this time counts as lost. The table client replies well before it.
constexpr Milliseconds operationTimeout { 15'000 };

} // namespace anvilmoor
