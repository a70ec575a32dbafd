#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmoor::entry {

// A request target, split into parts and percent-decoded.
struct WirePath {
    std::vector<std::string> segments;
    std::map<std::string, std::string> query; // the last value for each name
};

// Empty if an escape sequence is invalid or the path does not start with "/".
std::optional<WirePath> parsePath(std::string_view target);

} // namespace anvilmoor::entry
