#pragma once

#include "placement/zone_inventory.h"

#include <set>
#include <span>
#include <vector>

namespace anvilmoor {

// Accelerators of one worker or rack during planning, without those that the plan has already allocated.
struct Room {
    int free = 0; // free now
    int leaving = 0; // become free when the borrowed jobs that are being evicted have left
    int reach = 0; // free if all borrowed work were evicted; at least free + leaving
};

// The room of a zone during planning: the inventory's room after the evictions and starts that the plan
// contains so far. Cheap to construct: only numbers are copied, not the holdings.
class PlacementRoom {
public:
    explicit PlacementRoom(const ZoneInventory&);

    const ZoneInventory& inventory() const { return m_inventory; }
    std::span<const Room> racks() const { return m_racks; }
    std::span<const Room> workers() const { return m_workers; }

    std::vector<int> freePerRack() const;
    std::vector<int> reachPerRack() const;

    // True for borrowed jobs that are neither leaving nor evicted by the plan.
    bool isEvictable(const Holding& holding) const
    {
        return holding.jobClass == JobClass::Borrowed && !holding.isLeaving
            && !m_evicted.contains(holding.job);
    }
    // Counts the accelerators of a borrowed holding as leaving. Ignores jobs that are unknown or not
    // evictable.
    void evict(const JobId&);

    // True if the members are free or can be freed by evictions.
    bool canReach(std::span<const GangMember>) const;
    // True if the members are free now.
    bool isFree(std::span<const GangMember>) const;
    // Allocates the members, on each worker from the free accelerators first and then from the leaving ones.
    // Precondition: canReach().
    void allocate(std::span<const GangMember>);

private:
    void change(std::size_t worker, int free, int leaving, int reach);

    const ZoneInventory& m_inventory;
    std::vector<Room> m_workers;
    std::vector<Room> m_racks;
    std::set<JobId> m_evicted;
};

} // namespace anvilmoor
