#pragma once

#include "placement/placement_room.h"
#include "placement/rack_runs.h"

#include <array>
#include <optional>
#include <span>
#include <vector>

namespace anvilmoor {

// Places borrowed work in free room. A job in one rack goes where the fewest whole shapes are lost, then into
// the smallest remainder that no whole shape can use, then where it uses the least space that is planned for
// unclaimed guarantees. A job in several racks goes to the run with the fewest racks, then the least planned
// space, then the tightest fit.
// Caches the sizes that found no room, so the room must only shrink during the lifetime of an object.
class BorrowedPlacement {
public:
    // `planned`: accelerators of each rack that the guarantee plan uses; empty: none. `shape`: the adjacent
    // shape of which as many as possible should stay free as a whole; 0: none. A shape above a rack counts as
    // a whole rack.
    BorrowedPlacement(const PlacementRoom&, std::vector<int> planned, int shape);

    // Sets the racks that are reserved for a waiting gang. They are used last, and only for jobs that may use
    // reserved racks.
    void reserve(std::vector<bool> racks);

    std::optional<std::vector<GangMember>> find(int accelerators, bool adjacent, bool mayUseReserved);

private:
    std::vector<int> usableFree(bool mayUseReserved) const;
    bool isReserved(std::size_t rack) const { return !m_reserved.empty() && m_reserved[rack]; }
    int shapesIn(int free) const;
    int plannedSpaceLost(std::size_t rack, int taken) const;
    std::optional<std::vector<GangMember>> findInRack(int accelerators, bool mayUseReserved) const;
    std::optional<std::vector<GangMember>> findInRun(int accelerators, bool mayUseReserved) const;
    std::optional<std::vector<GangMember>> findScattered(int accelerators, bool mayUseReserved) const;
    std::vector<int> sharesOf(const RackRun&, int accelerators) const;
    void append(std::size_t rack, int amount, std::vector<GangMember>&) const;

    const PlacementRoom& m_room;
    std::vector<int> m_planned;
    int m_shape;
    std::vector<bool> m_reserved;
    // Smallest size that found no room, by kind of search and permission to use reserved racks; 0: none.
    std::array<std::array<int, 2>, 3> m_smallestFailedSize {};
};

} // namespace anvilmoor
