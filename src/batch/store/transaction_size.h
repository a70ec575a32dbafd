#pragma once

#include "anvilmoor/batch/rows.h"

#include <cstddef>

// Upper limits of the bytes that the parts of a transaction take in the request to the store.

namespace anvilmoor::batch {

std::size_t encodedBytes(const RowKey&);
std::size_t encodedBytes(const Row&);

} // namespace anvilmoor::batch
