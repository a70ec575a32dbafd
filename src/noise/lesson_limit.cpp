#include "noise/lesson_limit.h"

#include <algorithm>

namespace anvilmoor {

namespace {

// Seconds from one local time to the next occurrence of another.
SecondOfWeek secondsUntil(SecondOfWeek from, SecondOfWeek to)
{
    return ((to - from) % secondsPerWeek + secondsPerWeek) % secondsPerWeek;
}

} // namespace

bool isLessonWithin(const RoomConfiguration& room, SecondOfWeek localTime, Seconds lead)
{
    return std::any_of(room.lessonHours.begin(), room.lessonHours.end(), [&](const LessonHours& lesson) {
        if (lesson.begin == lesson.end)
            return false;
        const bool isWholeWeek = lesson.end - lesson.begin == secondsPerWeek;
        const SecondOfWeek length = isWholeWeek ? secondsPerWeek : secondsUntil(lesson.begin, lesson.end);
        return secondsUntil(lesson.begin, localTime) < length
            || secondsUntil(localTime, lesson.begin) <= lead.count();
    });
}

} // namespace anvilmoor
