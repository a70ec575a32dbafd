#include "configuration/duration.h"

#include <charconv>

namespace anvilmoor {

std::optional<Milliseconds> parseDuration(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    constexpr std::int64_t maxValue = 1'000'000'000;
    if (error != std::errc() || value < 0 || value > maxValue)
        return {};
    const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
    if (unit == "ms")
        return Milliseconds(value);
    if (unit == "s")
        return Seconds(value);
    if (unit == "m")
        return std::chrono::minutes(value);
    if (unit == "h")
        return std::chrono::hours(value);
    return {};
}

} // namespace anvilmoor
