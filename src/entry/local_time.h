#pragma once

#include "anvilmoor/time.h"

#include <absl/time/time.h>
#include <string>

namespace anvilmoor::entry {

// Converts a time to the local second of the week in the time zone of an availability zone, or in UTC until a
// time zone is set. An hour is repeated or skipped when daylight saving time ends or begins, as on the wall
// clock of the room.
class LocalTime {
public:
    // Returns false and changes nothing if the IANA name is unknown to the system.
    bool setTimeZone(const std::string& name);
    SecondOfWeek secondOfWeek(WallTime) const;

private:
    absl::TimeZone m_timeZone = absl::UTCTimeZone();
};

} // namespace anvilmoor::entry
