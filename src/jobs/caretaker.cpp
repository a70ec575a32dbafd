#include "jobs/caretaker.h"

#include <algorithm>

namespace anvilmoor {

namespace {

constexpr Milliseconds maxReportAgeForRenewal { 10'000 };

} // namespace

Caretaker::Caretaker(const JobStore& store, const ZoneObservation& observation)
    : m_store(store)
    , m_observation(observation)
{
}

bool Caretaker::isRenewable(const TaskKey& task, TimePoint now) const
{
    const JobEntry* entry = m_store.find(task.first);
    if (!entry || entry->record.status.attempt != task.second || entry->record.status.members.empty())
        return false;
    const std::vector<GangMember>& members = entry->record.status.members;
    return std::all_of(members.begin(), members.end(), [&](const GangMember& member) {
        const WorkerObservation* worker = m_observation.find(member.worker);
        if (!worker || !worker->isReported || !worker->isLive
            || now - m_observation.rackOf(*worker).answeredAt > maxReportAgeForRenewal)
            return false;
        if (worker->finished.contains(task))
            return true;
        const auto found = worker->tasks.find(task);
        return found != worker->tasks.end() && found->second.phase == TaskPhase::Running;
    });
}

} // namespace anvilmoor
