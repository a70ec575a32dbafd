#include "placement/borrowed_placement.h"

#include "placement/member_choice.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace anvilmoor {

BorrowedPlacement::BorrowedPlacement(const PlacementRoom& room, std::vector<int> planned, int shape)
    : m_room(room)
    , m_shape(std::min(shape, room.inventory().rackSize()))
    , m_planned(std::move(planned))
{
    m_planned.resize(room.racks().size());
}

void BorrowedPlacement::reserve(std::vector<bool> racks) { m_reserved = std::move(racks); }

std::optional<std::vector<GangMember>> BorrowedPlacement::find(
    int accelerators, bool adjacent, bool mayUseReserved)
{
    const bool isLargerThanRack = accelerators > m_room.inventory().rackSize();
    const std::size_t kind = !adjacent ? 2 : isLargerThanRack ? 1 : 0;
    int& smallestFailedSize = m_smallestFailedSize[kind][mayUseReserved ? 1 : 0];
    if (smallestFailedSize > 0 && accelerators >= smallestFailedSize)
        return std::nullopt;
    std::optional<std::vector<GangMember>> members;
    if (!adjacent)
        members = findScattered(accelerators, mayUseReserved);
    else if (isLargerThanRack)
        members = findInRun(accelerators, mayUseReserved);
    else
        members = findInRack(accelerators, mayUseReserved);
    if (!members)
        smallestFailedSize = accelerators;
    return members;
}

// Number of planned accelerators that a guarantee could then get only by an eviction.
int BorrowedPlacement::plannedSpaceLost(std::size_t rack, int taken) const
{
    const int free = m_room.racks()[rack].free;
    return std::max(0, m_planned[rack] - (free - taken)) - std::max(0, m_planned[rack] - free);
}

// Number of whole shapes that fit in this many free accelerators.
int BorrowedPlacement::shapesIn(int free) const { return m_shape > 0 ? free / m_shape : 0; }

std::optional<std::vector<GangMember>> BorrowedPlacement::findInRack(
    int accelerators, bool mayUseReserved) const
{
    const auto rank = [&](std::size_t rack) {
        const int free = m_room.racks()[rack].free;
        const int shapesLost = shapesIn(free) - shapesIn(free - accelerators);
        // Remainders that no whole shape can use are filled first, the smallest one before the others.
        const int remaining = shapesLost > 0 ? free : free - shapesIn(free) * m_shape;
        return std::tuple(isReserved(rack), shapesLost, remaining, plannedSpaceLost(rack, accelerators));
    };
    std::size_t best = m_room.racks().size();
    for (std::size_t rack = 0; rack < m_room.racks().size(); ++rack) {
        if (m_room.racks()[rack].free < accelerators || (isReserved(rack) && !mayUseReserved))
            continue;
        // Of equal racks, chooses the last one: the guarantee plan fills the first ones, so that the free
        // racks in between stay contiguous.
        if (best == m_room.racks().size() || rank(rack) <= rank(best))
            best = rack;
    }
    if (best == m_room.racks().size())
        return std::nullopt;
    std::vector<GangMember> members;
    append(best, accelerators, members);
    return members;
}

std::vector<int> BorrowedPlacement::usableFree(bool mayUseReserved) const
{
    std::vector<int> free = m_room.freePerRack();
    for (std::size_t rack = 0; rack < free.size(); ++rack) {
        if (isReserved(rack) && !mayUseReserved)
            free[rack] = 0;
    }
    return free;
}

// The accelerators to use in each rack: all free ones, except for the surplus in the last rack.
std::vector<int> BorrowedPlacement::sharesOf(const RackRun& run, int accelerators) const
{
    std::vector<int> shares;
    for (std::size_t rack = run.first; rack < run.first + run.count; ++rack) {
        shares.push_back(std::min(accelerators, m_room.racks()[rack].free));
        accelerators -= shares.back();
    }
    return shares;
}

std::optional<std::vector<GangMember>> BorrowedPlacement::findInRun(
    int accelerators, bool mayUseReserved) const
{
    const auto rank = [&](const RackRun& run) {
        int reserved = 0;
        int plannedLost = 0;
        const std::vector<int> shares = sharesOf(run, accelerators);
        for (std::size_t index = 0; index < run.count; ++index) {
            reserved += isReserved(run.first + index) ? 1 : 0;
            plannedLost += plannedSpaceLost(run.first + index, shares[index]);
        }
        return std::tuple(reserved, run.count, plannedLost, run.room);
    };
    const std::vector<RackRun> runs
        = fittingRuns(usableFree(mayUseReserved), accelerators, m_room.inventory().rackSize());
    const auto best = std::min_element(runs.begin(), runs.end(),
        [&](const RackRun& left, const RackRun& right) { return rank(left) < rank(right); });
    if (best == runs.end())
        return std::nullopt;
    std::vector<GangMember> members;
    const std::vector<int> shares = sharesOf(*best, accelerators);
    for (std::size_t index = 0; index < best->count; ++index)
        append(best->first + index, shares[index], members);
    return members;
}

std::optional<std::vector<GangMember>> BorrowedPlacement::findScattered(
    int accelerators, bool mayUseReserved) const
{
    const std::vector<int> free = usableFree(mayUseReserved);
    if (std::accumulate(free.begin(), free.end(), 0) < accelerators)
        return std::nullopt;
    std::vector<std::size_t> order(free.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    // Unreserved racks without planned space first; among these, racks with the least free room first,
    // because they are the least useful for adjacent shapes.
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return std::tuple(isReserved(left), m_planned[left] > 0, free[left])
            < std::tuple(isReserved(right), m_planned[right] > 0, free[right]);
    });
    std::vector<GangMember> members;
    for (const std::size_t rack : order) {
        const int taken = std::min(accelerators, free[rack]);
        if (taken <= 0)
            continue;
        append(rack, taken, members);
        accelerators -= taken;
    }
    return members;
}

void BorrowedPlacement::append(std::size_t rack, int amount, std::vector<GangMember>& members) const
{
    const RackCapacity& capacity = m_room.inventory().racks()[rack];
    std::vector<int> free;
    for (const Room& worker : m_room.workers().subspan(capacity.firstWorker, capacity.workerCount))
        free.push_back(worker.free);
    appendMembers(m_room.inventory(), capacity, free, amount, members);
}

} // namespace anvilmoor
