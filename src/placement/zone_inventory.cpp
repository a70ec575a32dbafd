#include "placement/zone_inventory.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace anvilmoor {

namespace {

// Merges members on the same worker, so that each worker is checked against their sum.
std::vector<GangMember> mergedByWorker(std::vector<GangMember> members)
{
    std::sort(members.begin(), members.end(),
        [](const GangMember& left, const GangMember& right) { return left.worker < right.worker; });
    std::vector<GangMember> merged;
    for (GangMember& member : members) {
        if (!merged.empty() && merged.back().worker == member.worker)
            merged.back().accelerators += member.accelerators;
        else
            merged.push_back(std::move(member));
    }
    return merged;
}

} // namespace

int acceleratorsOf(std::span<const GangMember> members)
{
    return std::accumulate(members.begin(), members.end(), 0,
        [](int sum, const GangMember& member) { return sum + member.accelerators; });
}

ZoneInventory::ZoneInventory(const AvailabilityZoneConfiguration& zone)
    : m_zone(zone.id)
{
    for (const RackConfiguration& rack : zone.racks) {
        m_racks.push_back(
            { .id = rack.id, .firstWorker = m_workers.size(), .workerCount = rack.workers.size() });
        int size = 0;
        for (const WorkerConfiguration& worker : rack.workers) {
            m_workerIndex.emplace(worker.id, m_workers.size());
            m_workers.push_back({ .id = worker.id,
                .rack = m_racks.size() - 1,
                .accelerators = worker.accelerators,
                .noise = worker.noise });
            size += worker.accelerators;
        }
        m_rackSize = std::max(m_rackSize, size);
    }
    m_uses.resize(m_workers.size());
}

ZoneInventory::ZoneInventory(const ZoneInventory& other)
    : m_zone(other.m_zone)
    , m_rackSize(other.m_rackSize)
    , m_racks(other.m_racks)
    , m_workers(other.m_workers)
    , m_uses(other.m_uses)
    , m_workerIndex(other.m_workerIndex)
    , m_holdings(other.m_holdings)
    , m_heldByAccount(other.m_heldByAccount)
    , m_guaranteedSizes(other.m_guaranteedSizes)
{
    relinkUses();
}

ZoneInventory& ZoneInventory::operator=(const ZoneInventory& other)
{
    if (this != &other)
        *this = ZoneInventory(other);
    return *this;
}

// After a copy, redirects the uses from the original's holdings to this object's own.
void ZoneInventory::relinkUses()
{
    for (std::vector<WorkerUse>& uses : m_uses) {
        for (WorkerUse& use : uses)
            use.holding = find(use.holding->job);
    }
}

const Holding* ZoneInventory::find(const JobId& job) const
{
    const auto found = m_holdings.find(job);
    return found == m_holdings.end() ? nullptr : &found->second;
}

const WorkerCapacity* ZoneInventory::find(const WorkerId& worker) const
{
    const auto found = m_workerIndex.find(worker);
    return found == m_workerIndex.end() ? nullptr : &m_workers[found->second];
}

bool ZoneInventory::add(Holding holding)
{
    if (holding.members.empty() || m_holdings.contains(holding.job))
        return false;
    for (const GangMember& member : holding.members) {
        if (member.accelerators <= 0)
            return false;
    }
    for (const GangMember& member : mergedByWorker(holding.members)) {
        const WorkerCapacity* worker = find(member.worker);
        if (!worker || worker->accelerators - worker->held < member.accelerators)
            return false;
    }
    JobId job = holding.job;
    const auto added = m_holdings.emplace(std::move(job), std::move(holding)).first;
    changeHeld(added->second, 1);
    return true;
}

void ZoneInventory::remove(const JobId& job)
{
    const auto found = m_holdings.find(job);
    if (found == m_holdings.end())
        return;
    changeHeld(found->second, -1);
    m_holdings.erase(found);
}

void ZoneInventory::setUsable(const WorkerId& id, bool isUsable)
{
    const auto found = m_workerIndex.find(id);
    if (found == m_workerIndex.end())
        return;
    WorkerCapacity& worker = m_workers[found->second];
    if (worker.isUsable == isUsable)
        return;
    worker.isUsable = isUsable;
    RackCapacity& rack = m_racks[worker.rack];
    const int sign = isUsable ? 1 : -1;
    rack.free += sign * (worker.accelerators - worker.held);
    rack.freeIfEvicted += sign * (worker.accelerators - worker.heldByGuaranteed);
    rack.accelerators += sign * worker.accelerators;
}

void ZoneInventory::updateProgress(const JobId& job, Milliseconds progress, Milliseconds checkpointed)
{
    const auto found = m_holdings.find(job);
    if (found == m_holdings.end())
        return;
    found->second.progress = progress;
    found->second.checkpointed = checkpointed;
}

void ZoneInventory::setThrottled(const JobId& job, bool isThrottled)
{
    const auto found = m_holdings.find(job);
    if (found == m_holdings.end() || found->second.isThrottled == isThrottled)
        return;
    found->second.isThrottled = isThrottled;
    for (const GangMember& member : found->second.members)
        m_workers[indexOf(member.worker)].heldByThrottled += (isThrottled ? 1 : -1) * member.accelerators;
}

void ZoneInventory::setLeaving(const JobId& job)
{
    const auto found = m_holdings.find(job);
    if (found == m_holdings.end() || found->second.isLeaving)
        return;
    found->second.isLeaving = true;
    if (found->second.jobClass == JobClass::Guaranteed)
        return;
    for (const GangMember& member : found->second.members)
        m_workers[indexOf(member.worker)].heldByLeaving += member.accelerators;
}

int ZoneInventory::heldBy(const ClientAccountId& account) const
{
    const auto found = m_heldByAccount.find(account);
    return found == m_heldByAccount.end() ? 0 : found->second;
}

std::span<const int> ZoneInventory::guaranteedSizesOf(const ClientAccountId& account) const
{
    const auto found = m_guaranteedSizes.find(account);
    return found == m_guaranteedSizes.end() ? std::span<const int>() : std::span<const int>(found->second);
}

// Adds the members of a holding to all sums (sign 1) or subtracts them (sign -1).
void ZoneInventory::changeHeld(const Holding& holding, int sign)
{
    const bool isGuaranteed = holding.jobClass == JobClass::Guaranteed;
    for (const GangMember& member : holding.members) {
        const std::size_t index = indexOf(member.worker);
        WorkerCapacity& worker = m_workers[index];
        RackCapacity& rack = m_racks[worker.rack];
        const int change = sign * member.accelerators;
        worker.held += change;
        worker.heldByGuaranteed += isGuaranteed ? change : 0;
        worker.heldByLeaving += holding.isLeaving && !isGuaranteed ? change : 0;
        worker.heldByThrottled += holding.isThrottled ? change : 0;
        m_heldByAccount[holding.account] += change;
        if (worker.isUsable) {
            rack.free -= change;
            rack.freeIfEvicted -= isGuaranteed ? change : 0;
        }
        if (sign > 0)
            m_uses[index].push_back({ &holding, member.accelerators });
        else
            std::erase_if(m_uses[index], [&](const WorkerUse& use) { return use.holding == &holding; });
    }
    if (isGuaranteed)
        changeGuaranteedSizes(holding, sign);
}

void ZoneInventory::changeGuaranteedSizes(const Holding& holding, int sign)
{
    const int size = acceleratorsOf(holding.members);
    std::vector<int>& sizes = m_guaranteedSizes[holding.account];
    const auto position = std::lower_bound(sizes.begin(), sizes.end(), size);
    if (sign > 0)
        sizes.insert(position, size);
    else
        sizes.erase(position);
}

} // namespace anvilmoor
