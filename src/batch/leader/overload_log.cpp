#include "batch/leader/overload_log.h"

#include "batch/placement/service_use.h"

#include <fmt/format.h>
#include <set>
#include <string>

namespace anvilmoor::batch {

namespace {

constexpr Milliseconds recordInterval { 2'000 };

} // namespace

OverloadLog::OverloadLog(const JobBook& jobs, const WorkerPool& workers, const PlacementRound& placement)
    : m_jobs(jobs)
    , m_workers(workers)
    , m_placement(placement)
{
}

void OverloadLog::recordUse(const ServiceId& service, Step& step) const
{
    const ServiceUse use = useOf(m_workers, service);
    std::string shares;
    for (const auto& [priority, used] : use.byPriority)
        shares += fmt::format(
            "{}{}:{:.2f}", shares.empty() ? "" : " ", priority, dominantShare(used, use.whole));
    step.record("service.overloaded",
        { { "service", service.value() }, { "use_by_priority", shares },
            { "held_workers", std::to_string(m_placement.heldWorkers(service)) } });
}

// One line for each queue; "CLASS:SERVED/JOBS" for each size class.
void OverloadLog::recordSizes(Step& step) const
{
    for (const auto& [queue, sizes] : m_jobs.sizeCounts().queues()) {
        std::string counts;
        for (const auto& [sizeClass, count] : sizes)
            counts
                += fmt::format("{}{}:{}/{}", counts.empty() ? "" : " ", sizeClass, count.served, count.jobs);
        step.record("queue.sizes", { { "queue", queue }, { "served", counts } });
    }
}

void OverloadLog::tick(Step& step)
{
    const std::set<ServiceId>& services = m_placement.servicesWithoutMoreHolds();
    if (services.empty() || step.now < m_recordedAt + recordInterval)
        return;
    m_recordedAt = step.now;
    for (const ServiceId& service : services)
        recordUse(service, step);
    recordSizes(step);
}

} // namespace anvilmoor::batch
