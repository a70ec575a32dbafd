#include "support/plan_check.h"

#include "placement/guarantee_planner.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

namespace anvilmoor {

namespace {

class PlanCheck {
public:
    PlanCheck(const ZoneInventory& inventory, const Configuration& configuration,
        std::span<const QueuedJob> queue, const PlacementPlan& plan)
        : m_inventory(inventory)
        , m_configuration(configuration)
        , m_plan(plan)
    {
        for (const QueuedJob& job : queue)
            m_queue.emplace(job.specification.id, &job);
    }

    std::vector<std::string> run(bool checkClaimsStart)
    {
        const bool didFit = fits({});
        for (const PlacementStart& start : m_plan.starts)
            checkStart(start);
        std::map<ClientAccountId, std::vector<int>> claims;
        for (const auto& [id, job] : m_queue) {
            const bool isGuaranteed = job->specification.jobClass == JobClass::Guaranteed;
            if (isGuaranteed && (m_started.contains(id) || !job->claimedMembers.empty()))
                claims[job->specification.account].push_back(job->specification.accelerators);
        }
        if (didFit && !fits(claims))
            m_violations.emplace_back("an unclaimed guarantee became unsatisfiable");
        if (checkClaimsStart && didFit)
            checkClaims(claims);
        return m_violations;
    }

private:
    void addViolation(const JobId& job, std::string_view what)
    {
        m_violations.push_back(fmt::format("{}: {}", job.value(), what));
    }

    void checkStart(const PlacementStart& start)
    {
        const auto queued = m_queue.find(start.job);
        if (queued == m_queue.end() || !m_started.insert(start.job).second)
            return addViolation(start.job, "is not queued, or starts twice");
        for (const JobId& eviction : start.evictions) {
            const Holding* holding = m_inventory.find(eviction);
            if (!holding || holding->jobClass != JobClass::Borrowed)
                addViolation(start.job, "evicts a job that is not borrowed");
            m_evicted.insert(eviction);
        }
        const JobSpecification& job = queued->second->specification;
        if (acceleratorsOf(start.members) != job.accelerators)
            addViolation(start.job, "gets another number of accelerators than it asks for");
        std::set<std::size_t> racks;
        for (const GangMember& member : start.members) {
            const WorkerCapacity* worker = m_inventory.find(member.worker);
            if (!worker || !worker->isUsable || member.accelerators <= 0)
                return addViolation(start.job, "uses a worker that is not usable");
            racks.insert(worker->rack);
            m_taken[member.worker] += member.accelerators;
            const bool isImmediate = start.evictions.empty();
            if (heldOn(member.worker, isImmediate) + m_taken[member.worker] > worker->accelerators)
                addViolation(start.job, "overbooks " + member.worker.value());
            m_guaranteed[worker->rack] += job.jobClass == JobClass::Guaranteed ? member.accelerators : 0;
        }
        const bool isConsecutive = *racks.rbegin() - *racks.begin() + 1 == racks.size();
        if (job.adjacent
            && (!isConsecutive || (job.accelerators <= m_inventory.rackSize() && racks.size() > 1)))
            addViolation(start.job, "is not adjacent");
    }

    // Accelerators held on the worker. Evicted and leaving jobs count only if the start is immediate.
    int heldOn(const WorkerId& worker, bool isImmediate) const
    {
        int held = 0;
        for (const auto& [job, holding] : m_inventory.holdings()) {
            if (!isImmediate && (holding.isLeaving || m_evicted.contains(job)))
                continue;
            for (const GangMember& member : holding.members)
                held += member.worker == worker ? member.accelerators : 0;
        }
        return held;
    }

    // Whether the unclaimed guarantees fit into the zone. Queued claims that already have members, but are
    // not in the plan, keep the room of these members.
    bool fits(const std::map<ClientAccountId, std::vector<int>>& claims)
    {
        std::vector<int> room;
        for (const RackCapacity& rack : m_inventory.racks())
            room.push_back(rack.freeIfEvicted - m_guaranteed[room.size()]);
        for (const auto& [id, job] : m_queue) {
            if (job->specification.jobClass != JobClass::Guaranteed || m_started.contains(id))
                continue;
            for (const GangMember& member : job->claimedMembers)
                room[m_inventory.find(member.worker)->rack] -= member.accelerators;
        }
        std::vector<int> shapes;
        for (const ClientAccountConfiguration& account : m_configuration.accounts) {
            std::vector<int> unclaimed = unclaimedOf(account);
            const auto found = claims.find(account.id);
            if (found != claims.end()) {
                for (const int size : found->second)
                    claim(unclaimed, size);
            }
            shapes.insert(shapes.end(), unclaimed.begin(), unclaimed.end());
        }
        return packShapes(room, shapes, m_inventory.rackSize()).has_value();
    }

    std::vector<int> unclaimedOf(const ClientAccountConfiguration& account) const
    {
        std::vector<int> shapes;
        for (const GuaranteeConfiguration& guarantee : account.guarantees)
            shapes.insert(shapes.end(), static_cast<std::size_t>(guarantee.count), guarantee.accelerators);
        std::sort(shapes.begin(), shapes.end());
        std::vector<int> sizes;
        for (const auto& [job, holding] : m_inventory.holdings()) {
            if (holding.jobClass == JobClass::Guaranteed && holding.account == account.id)
                sizes.push_back(acceleratorsOf(holding.members));
        }
        std::sort(sizes.begin(), sizes.end());
        for (const int size : sizes)
            claim(shapes, size);
        return shapes;
    }

    static bool claim(std::vector<int>& shapes, int size)
    {
        const auto shape = std::lower_bound(shapes.begin(), shapes.end(), size);
        if (shape == shapes.end())
            return false;
        shapes.erase(shape);
        return true;
    }

    void checkClaims(const std::map<ClientAccountId, std::vector<int>>& claims)
    {
        std::map<ClientAccountId, std::vector<int>> unclaimed;
        for (const ClientAccountConfiguration& account : m_configuration.accounts) {
            unclaimed[account.id] = unclaimedOf(account);
            const auto found = claims.find(account.id);
            if (found == claims.end())
                continue;
            for (const int size : found->second)
                claim(unclaimed[account.id], size);
        }
        for (const auto& [id, job] : m_queue) {
            const JobSpecification& specification = job->specification;
            if (specification.jobClass != JobClass::Guaranteed || m_started.contains(id)
                || !job->claimedMembers.empty())
                continue;
            if (claim(unclaimed[specification.account], specification.accelerators))
                addViolation(id, "is a claim inside its guarantee and does not start");
        }
    }

    const ZoneInventory& m_inventory;
    const Configuration& m_configuration;
    const PlacementPlan& m_plan;
    std::map<JobId, const QueuedJob*> m_queue;
    std::set<JobId> m_started;
    std::set<JobId> m_evicted;
    std::map<WorkerId, int> m_taken;
    std::map<std::size_t, int> m_guaranteed; // by rack: accelerators of guaranteed starts
    std::vector<std::string> m_violations;
};

} // namespace

std::vector<std::string> planViolations(const ZoneInventory& inventory, const Configuration& configuration,
    std::span<const QueuedJob> queue, const PlacementPlan& plan, bool checkClaimsStart)
{
    return PlanCheck(inventory, configuration, queue, plan).run(checkClaimsStart);
}

} // namespace anvilmoor
