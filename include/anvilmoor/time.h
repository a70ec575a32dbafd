#pragma once

#include <chrono>
#include <cstdint>

namespace anvilmoor {

using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// The monotonic clock whose readings are passed in events. It has no now(), because decision modules must
// not read a clock.
struct EventClock {
    using rep = std::int64_t;
    using period = std::milli;
    using duration = Milliseconds;
    using time_point = std::chrono::time_point<EventClock, Milliseconds>;
    // The standard fixes this name for clocks.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

// Monotonic time since an arbitrary start, in ms. Not comparable between processes.
using TimePoint = EventClock::time_point;

// Milliseconds since the Unix epoch, UTC. For display and record retention only; safety never depends on it.
using WallTime = std::chrono::sys_time<Milliseconds>;

// Local time of a room as seconds since Monday 00:00, in [0, 604800).
using SecondOfWeek = std::int32_t;
constexpr SecondOfWeek secondsPerDay = 24 * 60 * 60;
constexpr SecondOfWeek secondsPerWeek = 7 * secondsPerDay;

} // namespace anvilmoor
