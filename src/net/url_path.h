#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmoor::net {

// Percent-encodes all characters, including '/', except unreserved ones and '@'.
std::string encodePathSegment(std::string_view);

// Decodes percent escapes. Empty if an escape is invalid.
std::optional<std::string> decodePathSegment(std::string_view);

// The decoded segments of a path without its query. Empty if an escape is invalid. "/v1/a%2Fb" gives
// {"v1", "a/b"}.
std::optional<std::vector<std::string>> splitPath(std::string_view path);

} // namespace anvilmoor::net
