#pragma once

#include "anvilmoor/configuration.h"
#include "placement/zone_inventory.h"

#include <optional>
#include <vector>

namespace anvilmoor {

// Tracks which guaranteed shapes of a zone are claimed. A guaranteed job claims the smallest unclaimed shape
// of its account that is large enough.
class GuaranteeLedger {
public:
    // Guaranteed holdings of the inventory count as claims.
    GuaranteeLedger(const ZoneInventory&, const Configuration&);

    // Claims a shape and returns its size. Empty if the account has no unclaimed shape that is large enough.
    std::optional<int> claim(const ClientAccountId&, int accelerators);

    bool canClaim(const ClientAccountId&, int accelerators) const;

    // Sizes of all unclaimed shapes of all accounts.
    std::vector<int> unclaimed() const;

private:
    struct Shape {
        const ClientAccountId* account = nullptr;
        int accelerators = 0;
        int unclaimed = 0;
    };

    std::size_t find(const ClientAccountId&, int accelerators) const;

    std::vector<Shape> m_shapes; // by account in configuration order, then ascending
};

// True if the account has a guaranteed shape of at least this size in the zone, claimed or not.
bool hasGuarantee(const Configuration&, const AvailabilityZoneId&, const ClientAccountId&, int accelerators);

} // namespace anvilmoor
