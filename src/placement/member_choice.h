#pragma once

#include "placement/zone_inventory.h"

#include <span>
#include <vector>

namespace anvilmoor {

// Appends members with a total of `amount` accelerators on the workers of a rack. `available` has one entry
// for each worker of the rack. Keeps the number of workers low: uses the workers with the most available
// accelerators first, and the tightest fit for the remainder. Precondition: the sum of `available` is at
// least `amount`.
void appendMembers(const ZoneInventory&, const RackCapacity&, std::span<const int> available, int amount,
    std::vector<GangMember>&);

} // namespace anvilmoor
