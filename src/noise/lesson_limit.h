#pragma once

#include "anvilmoor/configuration.h"

namespace anvilmoor {

// True if a lesson is in progress at `localTime` or begins within `lead` after it. Lessons may extend past
// the end of the week.
bool isLessonWithin(const RoomConfiguration&, SecondOfWeek localTime, Seconds lead);

} // namespace anvilmoor
