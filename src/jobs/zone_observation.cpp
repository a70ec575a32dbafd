#include "jobs/zone_observation.h"

#include <algorithm>

namespace anvilmoor {

bool isPresent(const TaskReport& task)
{
    switch (task.phase) {
    case TaskPhase::Reserved:
    case TaskPhase::Confirmed:
    case TaskPhase::Running:
        return true;
    case TaskPhase::Checkpointing:
        return task.accelerators > 0;
    case TaskPhase::Finished:
    case TaskPhase::Failed:
        return false;
    }
    return false;
}

void ZoneObservation::configure(const AvailabilityZoneConfiguration& zone)
{
    std::vector<RackObservation> racks;
    std::map<RackId, std::size_t> rackIndex;
    std::map<WorkerId, WorkerObservation> workers;
    for (const RackConfiguration& rack : zone.racks) {
        RackObservation observation;
        if (const std::optional<std::size_t> known = findRack(rack.id))
            observation = m_racks[*known];
        observation.id = rack.id;
        observation.workers.clear();
        for (const WorkerConfiguration& worker : rack.workers) {
            observation.workers.push_back(worker.id);
            WorkerObservation& entry = workers[worker.id];
            if (const auto known = m_workers.find(worker.id); known != m_workers.end())
                entry = known->second;
            else
                observation.isReached = false;
            entry.rack = racks.size();
        }
        rackIndex.emplace(rack.id, racks.size());
        racks.push_back(std::move(observation));
    }
    m_racks = std::move(racks);
    m_rackIndex = std::move(rackIndex);
    m_workers = std::move(workers);
}

void ZoneObservation::reset(TimePoint now)
{
    for (RackObservation& rack : m_racks) {
        rack.isReached = false;
        rack.answeredAt = now;
    }
    for (auto& [id, worker] : m_workers) {
        worker.isReported = false;
        worker.tasks.clear();
    }
}

std::set<TaskKey> ZoneObservation::applyReport(
    std::size_t rackIndex, const RackSynced& synced, TimePoint asOf, TimePoint now)
{
    RackObservation& rack = m_racks.at(rackIndex);
    rack.isReached = rack.isReached || synced.isComplete;
    rack.asOf = std::max(rack.asOf, asOf);
    rack.answeredAt = now;
    std::set<TaskKey> touched;
    for (const WorkerReport& report : synced.workers) {
        const auto found = m_workers.find(report.worker);
        if (found == m_workers.end() || found->second.rack != rackIndex)
            continue;
        WorkerObservation& worker = found->second;
        for (const auto& [key, task] : worker.tasks)
            touched.insert(key);
        worker.isReported = true;
        worker.isLive = report.isLive;
        worker.tasks.clear();
        for (const TaskReport& task : report.tasks) {
            const TaskKey key { task.job, task.attempt };
            touched.insert(key);
            worker.tasks.insert_or_assign(key, task);
            if (task.phase == TaskPhase::Finished)
                worker.finished.insert(key);
        }
    }
    return touched;
}

void ZoneObservation::forgetFinished(const WorkerId& id, const TaskKey& key)
{
    if (const auto found = m_workers.find(id); found != m_workers.end())
        found->second.finished.erase(key);
}

void ZoneObservation::pruneFinished(const std::function<bool(const TaskKey&)>& isNeeded)
{
    for (auto& [id, worker] : m_workers)
        std::erase_if(worker.finished, [&](const TaskKey& key) { return !isNeeded(key); });
}

std::optional<std::size_t> ZoneObservation::findRack(const RackId& id) const
{
    const auto found = m_rackIndex.find(id);
    return found == m_rackIndex.end() ? std::nullopt : std::optional(found->second);
}

const WorkerObservation* ZoneObservation::find(const WorkerId& id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

} // namespace anvilmoor
