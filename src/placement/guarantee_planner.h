#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace anvilmoor {

struct RackShare {
    std::size_t rack = 0;
    int accelerators = 0;
};

// The racks in which a shape is placed: one rack, or consecutive racks in ascending order.
struct ShapePlacement {
    std::vector<RackShare> shares;
};

// Places all adjacent shapes at once. `room` is the number of accelerators that each rack could free, in the
// physical order of the racks. Shapes up to rackSize are placed in one rack, larger ones in consecutive
// racks; a rackSize of 0 means the largest entry of `room`. The result has one entry for each shape, in the
// order of `shapes`.
//
// Empty means that the shapes do not fit or, for large numbers of shapes, that a bounded search found no
// placement. A placement that is returned always fits. A shape above rackSize uses all room of its racks
// except in the first or the last one, so that the surplus stays in one piece.
std::optional<std::vector<ShapePlacement>> packShapes(
    std::span<const int> room, std::span<const int> shapes, int rackSize = 0);

} // namespace anvilmoor
