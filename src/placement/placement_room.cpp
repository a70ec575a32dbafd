#include "placement/placement_room.h"

#include <algorithm>
#include <map>

namespace anvilmoor {

PlacementRoom::PlacementRoom(const ZoneInventory& inventory)
    : m_inventory(inventory)
    , m_workers(inventory.workers().size())
    , m_racks(inventory.racks().size())
{
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        const WorkerCapacity& worker = inventory.workers()[index];
        if (worker.isUsable) {
            change(index, worker.accelerators - worker.held, worker.heldByLeaving,
                worker.accelerators - worker.heldByGuaranteed);
        }
    }
}

void PlacementRoom::change(std::size_t worker, int free, int leaving, int reach)
{
    for (Room* room : { &m_workers[worker], &m_racks[m_inventory.workers()[worker].rack] }) {
        room->free += free;
        room->leaving += leaving;
        room->reach += reach;
    }
}

std::vector<int> PlacementRoom::freePerRack() const
{
    std::vector<int> free;
    free.reserve(m_racks.size());
    for (const Room& rack : m_racks)
        free.push_back(rack.free);
    return free;
}

std::vector<int> PlacementRoom::reachPerRack() const
{
    std::vector<int> reach;
    reach.reserve(m_racks.size());
    for (const Room& rack : m_racks)
        reach.push_back(rack.reach);
    return reach;
}

void PlacementRoom::evict(const JobId& job)
{
    const Holding* holding = m_inventory.find(job);
    if (!holding || !isEvictable(*holding))
        return;
    m_evicted.insert(job);
    for (const GangMember& member : holding->members) {
        const std::size_t worker = m_inventory.indexOf(member.worker);
        if (m_inventory.workers()[worker].isUsable)
            change(worker, 0, member.accelerators, 0);
    }
}

bool PlacementRoom::canReach(std::span<const GangMember> members) const
{
    std::map<WorkerId, int> needed;
    for (const GangMember& member : members) {
        if (!m_inventory.find(member.worker))
            return false;
        needed[member.worker] += member.accelerators;
    }
    return std::all_of(needed.begin(), needed.end(),
        [&](const auto& need) { return m_workers[m_inventory.indexOf(need.first)].reach >= need.second; });
}

bool PlacementRoom::isFree(std::span<const GangMember> members) const
{
    std::map<WorkerId, int> needed;
    for (const GangMember& member : members)
        needed[member.worker] += member.accelerators;
    return std::all_of(needed.begin(), needed.end(), [&](const auto& need) {
        return m_inventory.find(need.first) && m_workers[m_inventory.indexOf(need.first)].free >= need.second;
    });
}

void PlacementRoom::allocate(std::span<const GangMember> members)
{
    for (const GangMember& member : members) {
        const std::size_t worker = m_inventory.indexOf(member.worker);
        const int fromFree = std::min(m_workers[worker].free, member.accelerators);
        const int fromLeaving = std::min(m_workers[worker].leaving, member.accelerators - fromFree);
        change(worker, -fromFree, -fromLeaving, -member.accelerators);
    }
}

} // namespace anvilmoor
