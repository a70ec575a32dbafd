#pragma once

#include "configuration/declaration.h"

#include <span>
#include <string>
#include <tl/expected.hpp>

namespace anvilmoor::ctl {

// Reads and merges a base file followed by its overlays. Reports every file that cannot be read.
tl::expected<Declaration, ConfigurationProblems> readDeclarationFiles(std::span<const std::string> paths);

} // namespace anvilmoor::ctl
