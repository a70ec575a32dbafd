#pragma once

#include "placement/placement_policy.h"
#include "support/zone_builder.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace anvilmoor {

// Simulates a zone in virtual time. Evicted jobs leave one step after the eviction and are queued again,
// claims wait until they have left, and jobs end after their real run time.
class PlacementSimulation {
public:
    PlacementSimulation(const PlacementPolicy& policy, Configuration configuration)
        : m_policy(policy)
        , m_configuration(std::move(configuration))
        , m_inventory(usableInventory(m_configuration.zones.front()))
    {
    }

    ZoneInventory& inventory() { return m_inventory; }
    const std::vector<QueuedJob>& queue() const { return m_queue; }
    const Configuration& configuration() const { return m_configuration; }
    TimePoint now() const { return m_now; }
    bool isRunning(const JobId& job) const { return m_inventory.find(job) != nullptr; }

    // `realRunTime` may differ from the declared run time.
    void submit(JobSpecification job, Milliseconds realRunTime)
    {
        m_runTimes[job.id] = realRunTime;
        m_queue.push_back({ .specification = std::move(job), .queuedAt = m_now });
    }

    // Ends the jobs that are due, makes a plan, applies it and returns it.
    PlacementPlan step(Milliseconds duration)
    {
        m_now += duration;
        endJobs();
        PlacementPlan plan = m_policy.plan(m_inventory, m_configuration, m_queue, m_now);
        for (const PlacementStart& start : plan.starts)
            execute(start);
        return plan;
    }

private:
    void endJobs()
    {
        std::vector<Holding> ended;
        for (const auto& [job, holding] : m_inventory.holdings()) {
            if (holding.isLeaving || m_now - holding.startedAt >= m_runTimes[job])
                ended.push_back(holding);
        }
        for (const Holding& holding : ended) {
            m_inventory.remove(holding.job);
            if (!holding.isLeaving)
                continue;
            m_queue.push_back({ .specification = m_specifications[holding.job], .queuedAt = m_now });
        }
    }

    void execute(const PlacementStart& start)
    {
        const auto queued = std::find_if(m_queue.begin(), m_queue.end(),
            [&](const QueuedJob& job) { return job.specification.id == start.job; });
        if (queued == m_queue.end())
            return;
        for (const JobId& eviction : start.evictions)
            m_inventory.setLeaving(eviction);
        if (!start.evictions.empty()) {
            queued->claimedMembers = start.members;
            return;
        }
        const JobSpecification job = queued->specification;
        m_queue.erase(queued);
        m_specifications[job.id] = job;
        (void)m_inventory.add({ .job = job.id,
            .account = job.account,
            .jobClass = job.jobClass,
            .priority = job.priority,
            .members = start.members,
            .startedAt = m_now });
    }

    const PlacementPolicy& m_policy;
    Configuration m_configuration;
    ZoneInventory m_inventory;
    std::vector<QueuedJob> m_queue;
    std::map<JobId, Milliseconds> m_runTimes;
    std::map<JobId, JobSpecification> m_specifications;
    TimePoint m_now {};
};

} // namespace anvilmoor
