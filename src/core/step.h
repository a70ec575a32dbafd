#pragma once

#include "anvilmoor/effect.h"
#include "anvilmoor/event.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilmoor {

// Context of a decision module for one event: its times, its random numbers and the output of effects.
class Step {
public:
    Step(const Event& event, std::vector<Effect>& effects)
        : now(event.now)
        , wallTime(event.wallTime)
        , localTime(event.localTime)
        , m_randomState(event.random)
        , m_effects(effects)
    {
    }

    void emit(Effect effect) { m_effects.push_back(std::move(effect)); }

    void record(std::string_view name, std::initializer_list<std::pair<std::string, std::string>> fields)
    {
        m_effects.push_back(RecordEvent { std::string(name), { fields.begin(), fields.end() } });
    }

    // Derives any number of random values from the random value of the event (splitmix64), so that a replay
    // of the same events yields the same values.
    std::uint64_t random()
    {
        m_randomState += 0x9e3779b97f4a7c15ULL;
        std::uint64_t value = m_randomState;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }

    const TimePoint now;
    const WallTime wallTime;
    const SecondOfWeek localTime;

private:
    std::uint64_t m_randomState;
    std::vector<Effect>& m_effects;
};

} // namespace anvilmoor
