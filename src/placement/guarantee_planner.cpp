#include "placement/guarantee_planner.h"

#include "placement/rack_runs.h"

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace anvilmoor {

namespace {

// Racks examined while backtracking, in addition to one pass for each shape. Limits a call to about 1 ms;
// most placements of 16 shapes among 16 racks are decided within this limit.
constexpr std::int64_t maxSearchSteps = 400'000;

// Depth-first search over placements, the largest shape first and the tightest rack first. Its first
// descent is best-fit decreasing.
class PackSearch {
public:
    PackSearch(std::span<const int> room, std::span<const int> shapes, int rackSize)
        : m_room(room.begin(), room.end())
        , m_shapes(shapes)
        , m_rackSize(rackSize)
        , m_remainingSteps(maxSearchSteps + static_cast<std::int64_t>(room.size() * shapes.size()))
        , m_placements(shapes.size())
    {
        m_order.resize(shapes.size());
        std::iota(m_order.begin(), m_order.end(), std::size_t { 0 });
        std::stable_sort(m_order.begin(), m_order.end(),
            [&](std::size_t left, std::size_t right) { return shapes[left] > shapes[right]; });
    }

    std::optional<std::vector<ShapePlacement>> run()
    {
        if (!placeFrom(0))
            return std::nullopt;
        return std::move(m_placements);
    }

private:
    bool placeFrom(std::size_t position)
    {
        if (position == m_order.size())
            return true;
        const std::size_t shape = m_order[position];
        m_remainingSteps -= static_cast<std::int64_t>(m_room.size());
        if (m_remainingSteps < 0)
            return false;
        return m_shapes[shape] <= m_rackSize ? placeInRack(position, shape) : placeInRun(position, shape);
    }

    bool placeInRack(std::size_t position, std::size_t shape)
    {
        // The shapes that follow are no larger, so racks with equal room are interchangeable for them: only
        // the first of these is tried.
        int triedRoom = 0;
        while (m_remainingSteps >= 0) {
            const std::size_t rack = tightestRack(m_shapes[shape], triedRoom);
            if (rack == m_room.size())
                return false;
            triedRoom = m_room[rack];
            if (tryShares(position, shape, { { rack, m_shapes[shape] } }))
                return true;
        }
        return false;
    }

    // The first of the racks with the least room, among those with room for `size` and with more room than
    // `triedRoom`.
    std::size_t tightestRack(int size, int triedRoom)
    {
        m_remainingSteps -= static_cast<std::int64_t>(triedRoom > 0 ? m_room.size() : 0);
        std::size_t best = m_room.size();
        for (std::size_t rack = 0; rack < m_room.size(); ++rack) {
            if (m_room[rack] < size || m_room[rack] <= triedRoom)
                continue;
            if (best == m_room.size() || m_room[rack] < m_room[best])
                best = rack;
        }
        return best;
    }

    bool placeInRun(std::size_t position, std::size_t shape)
    {
        std::vector<RackRun> runs = fittingRuns(m_room, m_shapes[shape], m_rackSize);
        std::stable_sort(runs.begin(), runs.end(), [](const RackRun& left, const RackRun& right) {
            return left.count != right.count ? left.count < right.count : left.room < right.room;
        });
        for (const RackRun& run : runs) {
            const int surplus = run.room - m_shapes[shape];
            if (tryShares(position, shape, sharesOf(run, run.first + run.count - 1, surplus)))
                return true;
            if (surplus > 0 && tryShares(position, shape, sharesOf(run, run.first, surplus)))
                return true;
            if (m_remainingSteps < 0)
                return false;
        }
        return false;
    }

    std::vector<RackShare> sharesOf(const RackRun& run, std::size_t partialRack, int surplus) const
    {
        std::vector<RackShare> shares;
        for (std::size_t rack = run.first; rack < run.first + run.count; ++rack)
            shares.push_back({ rack, m_room[rack] - (rack == partialRack ? surplus : 0) });
        return shares;
    }

    bool tryShares(std::size_t position, std::size_t shape, std::vector<RackShare> shares)
    {
        for (const RackShare& share : shares)
            m_room[share.rack] -= share.accelerators;
        const bool isPlaced = placeFrom(position + 1);
        for (const RackShare& share : shares)
            m_room[share.rack] += share.accelerators;
        if (isPlaced)
            m_placements[shape].shares = std::move(shares);
        return isPlaced;
    }

    std::vector<int> m_room;
    std::span<const int> m_shapes;
    int m_rackSize;
    std::int64_t m_remainingSteps;
    std::vector<std::size_t> m_order;
    std::vector<ShapePlacement> m_placements;
};

} // namespace

std::optional<std::vector<ShapePlacement>> packShapes(
    std::span<const int> room, std::span<const int> shapes, int rackSize)
{
    if (rackSize <= 0)
        rackSize = room.empty() ? 0 : std::max(0, *std::max_element(room.begin(), room.end()));
    std::int64_t available = 0;
    for (const int accelerators : room)
        available += std::max(0, accelerators);
    const std::int64_t needed = std::accumulate(shapes.begin(), shapes.end(), std::int64_t { 0 });
    if (needed > available)
        return std::nullopt;
    if (std::any_of(shapes.begin(), shapes.end(), [](int shape) { return shape <= 0; }))
        return std::nullopt;
    return PackSearch(room, shapes, rackSize).run();
}

} // namespace anvilmoor
