#pragma once

#include "anvilmoor/time.h"

#include <optional>
#include <string_view>

namespace anvilmoor {

// Parses a non-negative whole number with a unit: "800ms", "2s", "5m", "1h". Empty for any other text.
std::optional<Milliseconds> parseDuration(std::string_view);

} // namespace anvilmoor
