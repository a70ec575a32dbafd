#pragma once

#include "anvilmoor/time.h"
#include "clients/json_reader.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>

namespace anvilmoor::standin {

enum class FaultMode {
    Up,
    Down, // refused with 503 and not executed
    Slow, // executed and answered after the delay, also if the client has disconnected
    LoseAnswers, // executed and never answered
    Silent, // neither executed nor answered
};

// The injected fault of one service of the platform, and the requests that it affects.
class FaultSwitch {
public:
    struct Setting {
        FaultMode mode = FaultMode::Up;
        Milliseconds delay { 0 }; // Slow
        std::optional<std::uint64_t> count; // number of requests still to affect; all if empty
        std::string keyPrefix; // affects only requests with a key that has this prefix
        bool affectsReads = true;
        bool affectsWrites = true;
    };

    // Reads the name of a mode, or {mode, delay_ms, count, key_prefix, only: "reads" or "writes"}.
    static Setting read(clients::JsonReader& control, const std::string& service);

    void set(Setting setting) { m_setting = std::move(setting); }
    // Returns the mode that applies to a request with these keys, and counts the request if it is affected.
    FaultMode next(std::span<const std::string> keys, bool isWrite);
    Milliseconds delay() const { return m_setting.delay; }
    nlohmann::json state() const;

private:
    Setting m_setting;
};

} // namespace anvilmoor::standin
