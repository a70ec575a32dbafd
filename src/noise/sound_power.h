#pragma once

#include "anvilmoor/configuration.h"

namespace anvilmoor {

// Converts a level to relative sound power. Powers of independent sources can be added, levels cannot.
double powerOfDb(double levelDb);
// Negative infinity for a power of 0.
double dbOfPower(double power);

// Number of accelerators that can be active at full rate in lesson hours, whichever accelerators of the zone
// they are: counts the loudest first. All accelerators if the room has no lesson hours; 0 if idle workers
// alone exceed the limit.
int lessonHoursCapacity(const AvailabilityZoneConfiguration&);

} // namespace anvilmoor
