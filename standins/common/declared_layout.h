#pragma once

#include "anvilmoor/identifiers.h"
#include "workers/layout.h"

#include <span>
#include <string>

namespace anvilmoor::standin {

// Returns the layout of a zone that a base file and its overlays declare.
clients::Decoded<ZoneLayout> declaredLayout(std::span<const std::string> files, const AvailabilityZoneId&);

// Returns all workers of all zones as "WORKER:ZONE,...".
clients::Decoded<std::string> declaredHosts(std::span<const std::string> files);

} // namespace anvilmoor::standin
