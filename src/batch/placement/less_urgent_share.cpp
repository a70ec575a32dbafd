#include "batch/placement/less_urgent_share.h"

namespace anvilmoor::batch {

namespace {

// Share of a service that work of one priority and all less urgent work may use together.
constexpr double maxShare = 0.15;

} // namespace

void LessUrgentShare::beginRound(const WorkerPool& workers)
{
    m_workers = &workers;
    m_bounds.clear();
}

void LessUrgentShare::noteWaitingWithoutHold(const ServiceId& service, int priority)
{
    if (!m_bounds.contains(service))
        m_bounds.emplace(service, Bound { priority, useOf(*m_workers, service) });
}

bool LessUrgentShare::admits(const ServiceId& service, int priority) const
{
    const auto bound = m_bounds.find(service);
    if (bound == m_bounds.end() || priority <= bound->second.priority)
        return true;
    const ServiceUse& use = bound->second.use;
    return dominantShare(use.fromPriority(priority), use.whole) < maxShare;
}

void LessUrgentShare::notePlaced(const ServiceId& service, int priority, const Resources& resources)
{
    const auto bound = m_bounds.find(service);
    if (bound != m_bounds.end())
        bound->second.use.byPriority[priority] += resources;
}

} // namespace anvilmoor::batch
