#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace anvilmoor {

// Consecutive racks that together have room for a shape. The shape does not fit without the first or without
// the last rack.
struct RackRun {
    std::size_t first = 0;
    std::size_t count = 0;
    int room = 0;
};

// Maximum number of racks that a shape may span: 1 up to rackSize, above it one more than the shape needs in
// empty racks. Without this limit, a gang that is spread thinly over a whole row would count as adjacent.
std::size_t maxRacksInRun(int shape, int rackSize);

// All places for an adjacent shape: single racks for shapes up to rackSize, runs of racks for larger ones.
// `room` has one entry per rack, in the physical order of the racks. A rack without room ends a run.
std::vector<RackRun> fittingRuns(std::span<const int> room, int shape, int rackSize);

} // namespace anvilmoor
