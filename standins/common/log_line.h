#pragma once

#include <chrono>
#include <cstdio>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string_view>

namespace anvilmoor::standin {

// Writes one JSON line to stderr, with the name of the event and the time in ms since the Unix epoch.
inline void logLine(std::string_view event, nlohmann::json fields = nlohmann::json::object())
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    fields["event"] = event;
    fields["time_ms"]
        = duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    fmt::print(stderr, "{}\n", fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace anvilmoor::standin
