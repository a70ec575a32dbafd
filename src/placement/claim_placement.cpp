#include "placement/claim_placement.h"

#include "placement/guarantee_planner.h"

#include <algorithm>
#include <functional>

namespace anvilmoor {

namespace {

// Number of cheapest choices that are checked against the other guarantees before a packing of all guarantees
// determines the place.
constexpr int maxCheckedChoices = 8;

// Number of guarantees for which room is sought when not all of them fit. Limits the computation in a zone
// with many dead workers.
constexpr std::size_t maxGuaranteesTried = 64;

class ClaimPlacement {
public:
    ClaimPlacement(const ReclaimPolicy& reclaim, const PlacementRoom& room,
        const JobSpecification& specification, std::span<const int> others, TimePoint now)
        : m_reclaim(reclaim)
        , m_room(room)
        , m_specification(specification)
        , m_otherGuarantees(others.begin(), others.end())
        , m_now(now)
        , m_reach(room.reachPerRack())
    {
    }

    std::optional<ReclaimChoice> run() const
    {
        if (std::optional<ReclaimChoice> choice = findCheapestKeepingOthers())
            return choice;
        if (std::optional<std::vector<int>> limits = planAround(m_otherGuarantees))
            return chooseWithinLimits(*limits);
        return placeWithMostOthers();
    }

private:
    std::optional<ReclaimChoice> chooseWithinLimits(std::span<const int> limits) const
    {
        return m_reclaim.chooseWithin(m_room,
            { .accelerators = m_specification.accelerators,
                .adjacent = m_specification.adjacent,
                .now = m_now,
                .rackLimits = limits,
                .mayEvict = {} });
    }

    std::optional<ReclaimChoice> findCheapestKeepingOthers() const
    {
        std::vector<int> limits = m_reach;
        for (int attempt = 0; attempt < maxCheckedChoices; ++attempt) {
            std::optional<ReclaimChoice> choice = chooseWithinLimits(limits);
            if (!choice)
                return std::nullopt;
            std::vector<int> remaining = m_reach;
            for (const GangMember& member : choice->members) {
                const std::size_t rack = m_room.inventory().find(member.worker)->rack;
                remaining[rack] -= member.accelerators;
                limits[rack] = 0;
            }
            if (packShapes(remaining, m_otherGuarantees, m_room.inventory().rackSize()))
                return choice;
        }
        return std::nullopt;
    }

    // Accelerators that the claim may use in each rack so that these other shapes still fit. Empty if they do
    // not fit.
    std::optional<std::vector<int>> planAround(std::span<const int> others) const
    {
        std::vector<int> shapes(others.begin(), others.end());
        if (m_specification.adjacent)
            shapes.push_back(m_specification.accelerators);
        const auto packed = packShapes(m_reach, shapes, m_room.inventory().rackSize());
        if (!packed)
            return std::nullopt;
        std::vector<int> limits(m_reach.size());
        if (m_specification.adjacent) {
            for (const RackShare& share : packed->back().shares)
                limits[share.rack] = share.accelerators;
            return limits;
        }
        limits = m_reach;
        for (const ShapePlacement& placement : *packed) {
            for (const RackShare& share : placement.shares)
                limits[share.rack] -= share.accelerators;
        }
        return limits;
    }

    std::optional<ReclaimChoice> placeWithMostOthers() const
    {
        std::vector<int> order = m_otherGuarantees;
        std::sort(order.begin(), order.end(), std::greater<>());
        order.resize(std::min(order.size(), maxGuaranteesTried));
        std::vector<int> kept;
        std::optional<std::vector<int>> limits = planAround(kept);
        int rejected = 0;
        for (const int shape : order) {
            if (shape == rejected)
                continue;
            kept.push_back(shape);
            std::optional<std::vector<int>> next = planAround(kept);
            if (next) {
                limits = std::move(next);
            } else {
                kept.pop_back();
                rejected = shape;
            }
        }
        return limits ? chooseWithinLimits(*limits) : std::nullopt;
    }

    const ReclaimPolicy& m_reclaim;
    const PlacementRoom& m_room;
    const JobSpecification& m_specification;
    std::vector<int> m_otherGuarantees;
    TimePoint m_now;
    std::vector<int> m_reach;
};

} // namespace

std::optional<ReclaimChoice> placeClaim(const ReclaimPolicy& reclaim, const PlacementRoom& room,
    const JobSpecification& specification, std::span<const int> otherGuarantees, TimePoint now)
{
    return ClaimPlacement(reclaim, room, specification, otherGuarantees, now).run();
}

} // namespace anvilmoor
