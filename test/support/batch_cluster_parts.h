#pragma once

#include "support/batch_cluster.h"

#include <string>

// What several source files of BatchCluster share.

namespace anvilmoor::testing {

constexpr Milliseconds storeDelay { 8 };
// Workers advance their runs this often.
constexpr Milliseconds advanceInterval { 10 };

std::string nameOf(const batch::RunId&);

} // namespace anvilmoor::testing
