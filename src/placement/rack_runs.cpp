#include "placement/rack_runs.h"

#include <algorithm>

namespace anvilmoor {

std::size_t maxRacksInRun(int shape, int rackSize)
{
    if (shape <= rackSize)
        return 1;
    return rackSize > 0 ? static_cast<std::size_t>((shape + rackSize - 1) / rackSize + 1) : 0;
}

std::vector<RackRun> fittingRuns(std::span<const int> room, int shape, int rackSize)
{
    std::vector<RackRun> runs;
    const std::size_t maxRacks = maxRacksInRun(shape, rackSize);
    for (std::size_t first = 0; first < room.size(); ++first) {
        int sum = 0;
        std::size_t end = first;
        while (end < room.size() && end - first < maxRacks && room[end] > 0 && sum < shape)
            sum += room[end++];
        // A run that also fits without its first rack is skipped here and found from the next rack.
        if (end > first && sum >= shape && sum - room[first] < shape)
            runs.push_back({ first, end - first, sum });
    }
    return runs;
}

} // namespace anvilmoor
