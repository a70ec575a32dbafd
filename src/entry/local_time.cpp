#include "entry/local_time.h"

#include <absl/time/civil_time.h>

namespace anvilmoor::entry {

bool LocalTime::setTimeZone(const std::string& name)
{
    absl::TimeZone zone;
    if (name.empty() || !absl::LoadTimeZone(name, &zone))
        return false;
    m_timeZone = zone;
    return true;
}

SecondOfWeek LocalTime::secondOfWeek(WallTime time) const
{
    const absl::CivilSecond local = m_timeZone.At(absl::FromUnixMillis(time.time_since_epoch().count())).cs;
    const auto day = static_cast<SecondOfWeek>(absl::GetWeekday(local)); // Monday is 0
    return day * secondsPerDay + local.hour() * 3'600 + local.minute() * 60 + local.second();
}

} // namespace anvilmoor::entry
