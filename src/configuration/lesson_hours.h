#pragma once

#include "anvilmoor/configuration.h"

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace anvilmoor {

// Parses "mon-fri 08:00-12:00" or "sat 09:00-11:30" into one interval per day. The error is a message that
// quotes the text.
tl::expected<std::vector<LessonHours>, std::string> parseLessonHours(std::string_view text);

// Sorts intervals and merges those that touch or overlap.
std::vector<LessonHours> normalizeLessonHours(std::vector<LessonHours>);

} // namespace anvilmoor
