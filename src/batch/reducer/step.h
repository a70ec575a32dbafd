#pragma once

#include "anvilmoor/batch/effect.h"
#include "anvilmoor/batch/event.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// Gives a module the time and random number of the event that is being handled, and collects the effects.
class Step {
public:
    Step(const Event& event, std::vector<Effect>& effects)
        : now(event.now)
        , wallTime(event.wallTime)
        , random(event.random)
        , m_effects(effects)
    {
    }

    void emit(Effect effect) { m_effects.push_back(std::move(effect)); }

    void record(std::string_view name, std::initializer_list<std::pair<std::string, std::string>> fields)
    {
        emit(RecordEvent { std::string(name), { fields.begin(), fields.end() }, RecordLevel::Info });
    }

    void warn(std::string_view name, std::initializer_list<std::pair<std::string, std::string>> fields)
    {
        emit(RecordEvent { std::string(name), { fields.begin(), fields.end() }, RecordLevel::Warning });
    }

    const TimePoint now;
    const WallTime wallTime;
    const std::uint64_t random;

private:
    std::vector<Effect>& m_effects;
};

} // namespace anvilmoor::batch
