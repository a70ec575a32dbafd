#include "placement/fair_queue.h"

#include <algorithm>

namespace anvilmoor {

int effectivePriority(const QueuedJob& job, TimePoint now)
{
    const auto gained = std::max<std::int64_t>(0, (now - job.queuedAt) / ageingInterval);
    const std::int64_t priority = job.specification.priority + gained;
    return static_cast<int>(std::clamp<std::int64_t>(priority, 0, maxEffectivePriority));
}

FairQueue::FairQueue(const ZoneInventory& inventory, const Configuration& configuration, TimePoint now)
    : m_now(now)
{
    for (const ClientAccountConfiguration& account : configuration.accounts)
        m_accounts.push_back({ &account, inventory.heldBy(account.id) });
}

double FairQueue::Account::heldPerShare() const
{
    constexpr double minShare = 1e-9; // an account with a share of 0 is served too, after the others
    return held / std::max(minShare, configuration->share);
}

std::size_t FairQueue::findAccount(const ClientAccountId& id) const
{
    const auto found = std::find_if(m_accounts.begin(), m_accounts.end(),
        [&](const Account& account) { return account.configuration->id == id; });
    return static_cast<std::size_t>(found - m_accounts.begin());
}

bool FairQueue::push(const QueuedJob& job)
{
    const std::size_t account = findAccount(job.specification.account);
    if (account == m_accounts.size())
        return false;
    std::vector<Lane>& lanes = m_lanes.at(static_cast<std::size_t>(effectivePriority(job, m_now)));
    auto lane = std::find_if(
        lanes.begin(), lanes.end(), [&](const Lane& candidate) { return candidate.account == account; });
    if (lane == lanes.end())
        lane = lanes.insert(lanes.end(), { .account = account });
    lane->jobs.push_back(&job);
    return true;
}

const QueuedJob* FairQueue::pop()
{
    for (auto lanes = m_lanes.rbegin(); lanes != m_lanes.rend(); ++lanes) {
        Lane* best = nullptr;
        for (Lane& lane : *lanes) {
            if (lane.next == lane.jobs.size())
                continue;
            if (!best || m_accounts[lane.account].heldPerShare() < m_accounts[best->account].heldPerShare())
                best = &lane;
        }
        if (best)
            return best->jobs[best->next++];
    }
    return nullptr;
}

int FairQueue::heldBy(const ClientAccountId& id) const { return m_accounts.at(findAccount(id)).held; }

int FairQueue::quotaOf(const ClientAccountId& id) const
{
    return m_accounts.at(findAccount(id)).configuration->acceleratorQuota;
}

void FairQueue::recordStart(const QueuedJob& job)
{
    const std::size_t account = findAccount(job.specification.account);
    if (account < m_accounts.size())
        m_accounts[account].held += job.specification.accelerators;
}

} // namespace anvilmoor
