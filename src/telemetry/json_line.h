#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace anvilmoor::telemetry {

// Returns the text as a quoted JSON string. Each byte that is not part of valid UTF-8 becomes U+FFFD.
std::string jsonString(std::string_view);

// Builds one JSON object on a single line, with its members in the order in which they are added.
class JsonLine {
public:
    JsonLine& add(std::string_view name, std::string_view value);
    JsonLine& add(std::string_view name, std::int64_t value);

    // Returns the object followed by a line end. Must be called only once, after the last add().
    std::string finish();

private:
    void addName(std::string_view name);

    std::string m_text = "{";
};

} // namespace anvilmoor::telemetry
