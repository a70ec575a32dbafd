#include "placement/plan_draft.h"

#include <algorithm>
#include <utility>

namespace anvilmoor {

PlanDraft::PlanDraft(const ZoneInventory& inventory)
    : m_room(inventory)
{
}

bool PlanDraft::resume(const QueuedJob& job)
{
    const std::vector<GangMember>& members = job.claimedMembers;
    const bool hasClaim = !members.empty() && acceleratorsOf(members) == job.specification.accelerators;
    if (!hasClaim || !m_room.canReach(members))
        return false;
    if (m_room.isFree(members)) {
        start(job, { members, {} });
        return true;
    }
    std::vector<JobId> evictions = missingEvictions(members);
    if (!evictions.empty()) {
        start(job, { members, std::move(evictions) });
        return true;
    }
    m_room.allocate(members);
    wait(job, "waits for evicted work to leave");
    return true;
}

// Borrowed jobs on the members' workers that have to be evicted and are not leaving yet, on each worker the
// most recently booked first.
std::vector<JobId> PlanDraft::missingEvictions(std::span<const GangMember> members) const
{
    PlacementRoom after = m_room;
    std::vector<JobId> evictions;
    for (const GangMember& member : members) {
        const std::size_t worker = m_room.inventory().indexOf(member.worker);
        const std::span<const WorkerUse> uses = m_room.inventory().usesOf(worker);
        for (auto use = uses.rbegin(); use != uses.rend(); ++use) {
            const Room& room = after.workers()[worker];
            if (room.free + room.leaving >= member.accelerators)
                break;
            if (!after.isEvictable(*use->holding))
                continue;
            after.evict(use->holding->job);
            evictions.push_back(use->holding->job);
        }
    }
    return evictions;
}

void PlanDraft::start(const QueuedJob& job, ReclaimChoice choice)
{
    for (const JobId& eviction : choice.evictions)
        m_room.evict(eviction);
    addLeavingToEvictions(choice);
    m_room.allocate(choice.members);
    m_plan.starts.push_back({ job.specification.id, std::move(choice.members), std::move(choice.evictions) });
}

void PlanDraft::addLeavingToEvictions(ReclaimChoice& choice) const
{
    for (const GangMember& member : choice.members) {
        const std::size_t worker = m_room.inventory().indexOf(member.worker);
        if (m_room.workers()[worker].free >= member.accelerators)
            continue;
        for (const WorkerUse& use : m_room.inventory().usesOf(worker)) {
            const bool isBorrowed = use.holding->jobClass == JobClass::Borrowed;
            const JobId& job = use.holding->job;
            const bool isListed
                = std::find(choice.evictions.begin(), choice.evictions.end(), job) != choice.evictions.end();
            if (isBorrowed && !m_room.isEvictable(*use.holding) && !isListed)
                choice.evictions.push_back(job);
        }
    }
}

void PlanDraft::wait(const QueuedJob& job, std::string reason)
{
    m_plan.waits.push_back({ job.specification.id, std::move(reason) });
}

} // namespace anvilmoor
