#pragma once

#include "anvilmoor/configuration.h"
#include "configuration/configuration_problem.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <tl/expected.hpp>

namespace anvilmoor {

// Converts a merged document to a configuration. Checks for unknown fields, types, units, ranges and
// references, and that all guarantees fit the racks and the lesson-hours capacity at the same time. Reports
// all problems, not only the first.
tl::expected<Configuration, ConfigurationProblems> readConfiguration(const nlohmann::json& document);

// Same as readConfiguration(), for the JSON text of a document as committed to the table.
tl::expected<Configuration, ConfigurationProblems> readConfigurationText(std::string_view text);

} // namespace anvilmoor
