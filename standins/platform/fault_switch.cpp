#include "platform/fault_switch.h"

#include <algorithm>
#include <array>

namespace anvilmoor::standin {

namespace {

constexpr std::array<std::pair<std::string_view, FaultMode>, 5> modeNames { {
    { "up", FaultMode::Up },
    { "down", FaultMode::Down },
    { "slow", FaultMode::Slow },
    { "lose_answers", FaultMode::LoseAnswers },
    { "silent", FaultMode::Silent },
} };

std::string_view nameOf(FaultMode mode)
{
    return std::ranges::find(modeNames, mode, &std::pair<std::string_view, FaultMode>::second)->first;
}

} // namespace

FaultSwitch::Setting FaultSwitch::read(clients::JsonReader& control, const std::string& service)
{
    Setting setting;
    if (control.isText(service)) {
        setting.mode = control.oneOf<FaultMode>(service, modeNames);
        return setting;
    }
    clients::JsonReader reader = control.object(service);
    reader.allowOnly({ "mode", "delay_ms", "count", "key_prefix", "only" });
    setting.mode = reader.oneOf<FaultMode>("mode", modeNames);
    if (reader.has("delay_ms"))
        setting.delay = reader.milliseconds("delay_ms");
    if (reader.has("count"))
        setting.count = reader.number("count");
    if (reader.has("key_prefix"))
        setting.keyPrefix = reader.text("key_prefix");
    if (reader.has("only")) {
        const std::string only = reader.text("only");
        setting.affectsReads = only == "reads";
        setting.affectsWrites = only == "writes";
        if (setting.affectsReads == setting.affectsWrites)
            reader.fail("only", "is neither \"reads\" nor \"writes\"");
    }
    return setting;
}

FaultMode FaultSwitch::next(std::span<const std::string> keys, bool isWrite)
{
    const bool affectsKind = isWrite ? m_setting.affectsWrites : m_setting.affectsReads;
    const auto matches = [this](const std::string& key) { return key.starts_with(m_setting.keyPrefix); };
    const bool affectsKey = m_setting.keyPrefix.empty() || std::ranges::any_of(keys, matches);
    if (!affectsKind || !affectsKey || m_setting.count == std::uint64_t { 0 })
        return FaultMode::Up;
    if (m_setting.count)
        --*m_setting.count;
    return m_setting.mode;
}

nlohmann::json FaultSwitch::state() const
{
    nlohmann::json state { { "mode", nameOf(m_setting.mode) }, { "delay_ms", m_setting.delay.count() },
        { "key_prefix", m_setting.keyPrefix }, { "affects_reads", m_setting.affectsReads },
        { "affects_writes", m_setting.affectsWrites } };
    if (m_setting.count)
        state["count"] = *m_setting.count;
    return state;
}

} // namespace anvilmoor::standin
