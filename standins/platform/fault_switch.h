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
    Down, // refused with 503; nothing is done
    Slow, // done and answered after the delay, also if the client has gone
    LoseAnswers, // done, never answered
    Silent, // neither done nor answered
};

// The fault of one service of the platform and the requests it affects.
class FaultSwitch {
public:
    struct Setting {
        FaultMode mode = FaultMode::Up;
        Milliseconds delay { 0 }; // Slow
        std::optional<std::uint64_t> count; // requests still to affect; empty: all
        std::string keyPrefix; // affects only requests that name a key beginning so
        bool affectsReads = true;
        bool affectsWrites = true;
    };

    // A mode's name, or {mode, delay_ms, count, key_prefix, only: "reads" or "writes"}.
    static Setting read(clients::JsonReader& control, const std::string& service);

    void set(Setting setting) { m_setting = std::move(setting); }
    // What happens to a request with these keys. Counts it if it is affected.
    FaultMode next(std::span<const std::string> keys, bool isWrite);
    Milliseconds delay() const { return m_setting.delay; }
    nlohmann::json state() const;

private:
    Setting m_setting;
};

} // namespace anvilmoor::standin
