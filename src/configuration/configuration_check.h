#pragma once

#include "anvilmoor/configuration.h"
#include "configuration/configuration_problem.h"

namespace anvilmoor {

// Checks the constraints between the parts of a configuration: references, unique names and quotas, and that
// all guaranteed shapes fit the racks of their zones at the same time and do not exceed the lesson-hours
// capacity of the room.
ConfigurationProblems checkConfiguration(const Configuration&);

} // namespace anvilmoor
