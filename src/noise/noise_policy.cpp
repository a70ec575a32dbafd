#include "noise/noise_policy.h"

#include "noise/lesson_limit.h"

namespace anvilmoor {

double NoisePolicy::limitDb(const RoomConfiguration& room, SecondOfWeek localTime) const
{
    return isLessonWithin(room, localTime, noiseLead) ? room.limitDb : 0;
}

} // namespace anvilmoor
