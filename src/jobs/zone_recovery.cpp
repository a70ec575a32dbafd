#include "jobs/zone_controller.h"

#include <algorithm>
#include <utility>

namespace anvilmoor {

namespace {

constexpr Milliseconds orphanReleaseRetryInterval { 1'000 };
// Rows do not hold the start time of an attempt. Work that a new holder finds running counts as started this
// long before the takeover, that is before any queued job arrived, so that it is never treated as work that
// overtook a queued job.
constexpr Milliseconds recoveredAge { std::chrono::hours(24 * 365) };

} // namespace

void ZoneController::recoverGang(const JobId& job, const JobRecord& record, const HeldRole& role, Step& step)
{
    const JobStatus& status = record.status;
    const Milliseconds left
        = std::max(Milliseconds(1), status.specification.declaredRunTime - status.checkpointed);
    m_gangs.emplace(job,
        GangController::recovered(
            job, status.attempt, status.members, left, status.state == JobState::Running, m_takeoverTime));
    m_inTransition.insert(job);
    Holding holding { job, status.specification.account, status.specification.jobClass,
        status.specification.priority, status.members, m_takeoverTime - recoveredAge, {},
        status.checkpointed };
    const bool fitsInventory = m_inventory && m_inventory->add(std::move(holding));
    changeGang(
        job,
        [fitsInventory](GangController& gang, GangContext& context) {
            if (fitsInventory)
                gang.advance(context);
            else
                gang.stop({ StopCause::NotPlaced, "the placement no longer fits the zone", {} }, context);
        },
        role, step);
}

void ZoneController::finishRecovery(Step& step)
{
    if (m_isRecovered)
        return;
    const auto& racks = m_observation.racks();
    const bool areAllReached
        = std::all_of(racks.begin(), racks.end(), [](const RackObservation& rack) { return rack.isReached; });
    if (!areAllReached && step.now - m_takeoverTime < maxMemberLifetime)
        return;
    m_isRecovered = true;
    step.record("zone.recovered",
        { { "zone", m_settings.zone.value() }, { "jobs", std::to_string(m_gangs.size()) },
            { "queued", std::to_string(m_queue.size()) } });
}

void ZoneController::releaseOrphanTasks(const HeldRole& role, Step& step)
{
    std::erase_if(m_orphanReleases,
        [&](const auto& item) { return step.now - item.second >= orphanReleaseRetryInterval; });
    for (const auto& [id, worker] : m_observation.workers()) {
        if (!worker.isReported || !worker.isLive)
            continue;
        for (const auto& [key, task] : worker.tasks) {
            const auto gang = m_gangs.find(key.first);
            const bool isOwn = gang != m_gangs.end() && gang->second.attempt() == key.second
                && gang->second.hasMember(id, task.accelerators);
            if (isOwn || !isPresent(task) || !m_orphanReleases.emplace(std::pair(id, key), step.now).second)
                continue;
            WorkerCommand command;
            command.kind = WorkerCommandKind::Release;
            command.token = role.token;
            command.job = key.first;
            command.attempt = key.second;
            command.accelerators = task.accelerators;
            step.emit(SendWorkerCommand { m_counter.next(), id, std::move(command) });
        }
    }
}

void ZoneController::updateUsable(Step& step)
{
    if (!m_inventory)
        return;
    for (const WorkerCapacity& worker : m_inventory->workers()) {
        const WorkerObservation* observed = m_observation.find(worker.id);
        const bool isReached = observed && observed->isReported && observed->isLive
            && step.now - m_observation.rackOf(*observed).answeredAt < rackReportTimeout;
        const bool isNowUsable = isReached && !m_quarantine.isQuarantined(worker.id, step.now)
            && m_endpoints.workerState(worker.id) != EndpointState::Leaving;
        if (isNowUsable == worker.isUsable)
            continue;
        m_inventory->setUsable(worker.id, isNowUsable);
        m_isPlanNeeded = true;
    }
}

void ZoneController::updateProgress()
{
    for (const auto& [job, gang] : m_gangs) {
        const JobEntry* entry = m_store.find(job);
        if (!entry || gang.phase() != GangPhase::Running)
            continue;
        const Milliseconds base = entry->record.status.checkpointed;
        m_inventory->updateProgress(job, base + gang.progress(), base + gang.checkpointed());
        recordConfirmedThrottle(job);
    }
}

} // namespace anvilmoor
