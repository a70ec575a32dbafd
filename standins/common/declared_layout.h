#pragma once

#include "anvilmoor/identifiers.h"
#include "workers/layout.h"

#include <span>
#include <string>

namespace anvilmoor::standin {

// The layout of a zone as declared by a base file and its overlays.
clients::Decoded<ZoneLayout> declaredLayout(std::span<const std::string> files, const AvailabilityZoneId&);

// All workers of all zones, as "WORKER:ZONE,...".
clients::Decoded<std::string> declaredHosts(std::span<const std::string> files);

} // namespace anvilmoor::standin
