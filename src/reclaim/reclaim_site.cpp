#include "reclaim/reclaim_site.h"

#include "placement/member_choice.h"

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace anvilmoor {

namespace {

bool isEvictionAllowed(const PlacementRoom& room, const ReclaimRequest& request, const Holding& holding)
{
    return room.isEvictable(holding) && (!request.mayEvict || request.mayEvict(holding));
}

} // namespace

ReclaimSite::ReclaimSite(
    const PlacementRoom& room, const ReclaimRequest& request, std::vector<std::size_t> racks)
    : m_room(room)
    , m_request(request)
    , m_racks(std::move(racks))
{
    for (const std::size_t rack : m_racks) {
        const RackCapacity& capacity = room.inventory().racks()[rack];
        std::vector<int>& workers = m_workerRoom.emplace_back();
        for (const Room& worker : room.workers().subspan(capacity.firstWorker, capacity.workerCount))
            workers.push_back(worker.free + worker.leaving);
        m_rackRoom.push_back(std::accumulate(workers.begin(), workers.end(), 0));
    }
    for (std::size_t position = 0; position < m_racks.size(); ++position)
        m_available += usable(position);
}

int ReclaimSite::limit(std::size_t rack) const
{
    return m_request.rackLimits.empty() ? m_request.accelerators
                                        : std::min(m_request.accelerators, m_request.rackLimits[rack]);
}

int ReclaimSite::usable(std::size_t position) const
{
    return std::min(m_rackRoom[position], limit(m_racks[position]));
}

std::vector<ReclaimCandidate> ReclaimSite::candidates() const
{
    std::vector<ReclaimCandidate> found;
    // Never iterated, because the order of pointers differs between runs.
    std::unordered_map<const Holding*, std::size_t> positions;
    const ZoneInventory& inventory = m_room.inventory();
    for (const std::size_t rack : m_racks) {
        const RackCapacity& capacity = inventory.racks()[rack];
        for (std::size_t worker = capacity.firstWorker; worker < capacity.firstWorker + capacity.workerCount;
             ++worker) {
            if (!inventory.workers()[worker].isUsable)
                continue;
            for (const WorkerUse& use : inventory.usesOf(worker)) {
                if (!isEvictionAllowed(m_room, m_request, *use.holding))
                    continue;
                const auto [entry, isNew] = positions.emplace(use.holding, found.size());
                if (isNew)
                    found.push_back({ .holding = use.holding });
                found[entry->second].gain += use.accelerators;
                found[entry->second].uses.emplace_back(worker, use.accelerators);
            }
        }
    }
    return found;
}

void ReclaimSite::evict(const ReclaimCandidate& candidate) { change(candidate, 1); }

void ReclaimSite::undoEvict(const ReclaimCandidate& candidate) { change(candidate, -1); }

void ReclaimSite::change(const ReclaimCandidate& candidate, int sign)
{
    const ZoneInventory& inventory = m_room.inventory();
    for (const auto& [worker, accelerators] : candidate.uses) {
        const std::size_t rack = inventory.workers()[worker].rack;
        const auto position = static_cast<std::size_t>(
            std::lower_bound(m_racks.begin(), m_racks.end(), rack) - m_racks.begin());
        m_available -= usable(position);
        m_rackRoom[position] += sign * accelerators;
        m_workerRoom[position][worker - inventory.racks()[rack].firstWorker] += sign * accelerators;
        m_available += usable(position);
    }
}

bool ReclaimSite::mustWait() const
{
    int free = 0;
    for (const std::size_t rack : m_racks)
        free += std::min(m_room.racks()[rack].free, limit(rack));
    return free < m_request.accelerators;
}

// Fills inner racks first, so that unused accelerators remain at the ends of a run.
std::vector<int> ReclaimSite::sharesPerRack() const
{
    std::vector<std::size_t> order;
    for (std::size_t position = 1; position + 1 < m_racks.size(); ++position)
        order.push_back(position);
    order.push_back(0);
    if (m_racks.size() > 1)
        order.push_back(m_racks.size() - 1);
    std::vector<int> shares(m_racks.size());
    int left = m_request.accelerators;
    for (const std::size_t position : order) {
        shares[position] = std::min(left, usable(position));
        left -= shares[position];
    }
    return shares;
}

std::optional<std::vector<GangMember>> ReclaimSite::members() const
{
    if (missing() > 0 || m_racks.empty())
        return std::nullopt;
    const std::vector<int> shares = sharesPerRack();
    std::vector<GangMember> members;
    std::size_t previous = m_racks.size();
    for (std::size_t position = 0; position < m_racks.size(); ++position) {
        if (shares[position] == 0)
            continue;
        const bool hasGap = previous < m_racks.size() && m_racks[previous] + 1 != m_racks[position];
        if (m_request.adjacent && hasGap)
            return std::nullopt;
        previous = position;
        appendFrom(position, shares[position], members);
    }
    return members;
}

void ReclaimSite::appendFrom(std::size_t position, int amount, std::vector<GangMember>& members) const
{
    const RackCapacity& rack = m_room.inventory().racks()[m_racks[position]];
    if (m_room.racks()[m_racks[position]].free < amount) {
        appendMembers(m_room.inventory(), rack, m_workerRoom[position], amount, members);
        return;
    }
    // Enough accelerators are free now. Use only those: members on other workers of the rack might have to
    // wait for jobs that are leaving.
    std::vector<int> free;
    for (const Room& worker : m_room.workers().subspan(rack.firstWorker, rack.workerCount))
        free.push_back(worker.free);
    appendMembers(m_room.inventory(), rack, free, amount, members);
}

std::vector<int> reachFor(const PlacementRoom& room, const ReclaimRequest& request)
{
    std::vector<int> reach = room.reachPerRack();
    const ZoneInventory& inventory = room.inventory();
    for (std::size_t rack = 0; rack < reach.size(); ++rack) {
        if (request.mayEvict) {
            const RackCapacity& capacity = inventory.racks()[rack];
            int evictable = 0;
            for (std::size_t worker = capacity.firstWorker;
                 worker < capacity.firstWorker + capacity.workerCount; ++worker) {
                if (!inventory.workers()[worker].isUsable)
                    continue;
                for (const WorkerUse& use : inventory.usesOf(worker))
                    evictable += isEvictionAllowed(room, request, *use.holding) ? use.accelerators : 0;
            }
            reach[rack] = room.racks()[rack].free + room.racks()[rack].leaving + evictable;
        }
        if (!request.rackLimits.empty())
            reach[rack] = std::min(reach[rack], request.rackLimits[rack]);
    }
    return reach;
}

} // namespace anvilmoor
