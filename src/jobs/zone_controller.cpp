#include "jobs/zone_controller.h"

#include <algorithm>
#include <utility>

namespace anvilmoor {

namespace {

constexpr Milliseconds watchInterval { 1'000 };
constexpr Milliseconds planInterval { 100 };
constexpr std::size_t maxCommandsRemembered = 50'000;

} // namespace

ZoneController::ZoneController(const DaemonSettings& settings, const ConfigurationView& configuration,
    const EndpointDirectory& endpoints, const PlacementPolicy& placement, const NoisePolicy& noise,
    JobStore& store, ZoneObservation& observation, OperationCounter& counter)
    : m_settings(settings)
    , m_configuration(configuration)
    , m_endpoints(endpoints)
    , m_placement(placement)
    , m_noise(noise)
    , m_store(store)
    , m_observation(observation)
    , m_counter(counter)
{
}

GangContext ZoneController::context(const HeldRole& role, Step& step)
{
    // Bounds the map. The oldest entries are commands without a reply, which were resent long ago.
    while (m_commands.size() > maxCommandsRemembered)
        m_commands.erase(m_commands.begin());
    return { step, role.token, m_observation, m_counter, m_commands };
}

void ZoneController::begin(const HeldRole&, Step& step)
{
    m_gangs.clear();
    m_inTransition.clear();
    m_queue.clear();
    m_lastAttempt.clear();
    m_notBefore.clear();
    m_orphanReleases.clear();
    m_commands.clear();
    m_quarantine.clear();
    m_areRowsRead = false;
    m_isRecovered = false;
    m_isTokenRefused = false;
    m_takeoverTime = step.now;
    m_nextSecond = step.now;
    m_nextMove = step.now + moveInterval;
    if (const AvailabilityZoneConfiguration* configured = zone())
        m_inventory.emplace(*configured);
}

void ZoneController::configure(const AvailabilityZoneConfiguration& configured, Step& step)
{
    ZoneInventory inventory(configured);
    if (m_inventory) {
        // A holding that no longer fits has lost a worker; its GangController detects that and stops the
        // gang.
        for (const auto& [job, holding] : m_inventory->holdings())
            static_cast<void>(inventory.add(holding));
    }
    m_inventory.emplace(std::move(inventory));
    m_queue.dropClaims();
    updateUsable(step);
    m_isPlanNeeded = true;
}

void ZoneController::tick(const HeldRole& role, Step& step)
{
    if (!m_inventory)
        return;
    if (!m_areRowsRead || m_mustReconcileAll) {
        if (!m_store.lastPoll())
            return;
        m_areRowsRead = true;
        m_mustReconcileAll = false;
        std::set<JobId> all;
        for (const auto& [job, entry] : m_store.jobs())
            all.insert(job);
        entriesChanged(all, role, step);
    }
    const bool isWatchDue = step.now >= m_nextSecond;
    if (isWatchDue) {
        m_nextSecond = step.now + watchInterval;
        updateUsable(step);
    }
    advanceGangs(isWatchDue, role, step);
    startClaims(role, step);
    if (isWatchDue) {
        finishRecovery(step);
        releaseOrphanTasks(role, step);
        updateProgress();
        enforceNoiseLimit(role, step);
    }
    if (isWatchDue || (m_isPlanNeeded && step.now >= m_nextPlan)) {
        m_nextPlan = step.now + planInterval;
        place(role, step);
    }
    if (isWatchDue) {
        moveForDefragmentation(role, step);
        storeReasons(role, step);
        updateSummary(step);
    }
}

void ZoneController::advanceGangs(bool isAll, const HeldRole& role, Step& step)
{
    std::vector<JobId> jobs;
    if (isAll) {
        for (const auto& [job, gang] : m_gangs)
            jobs.push_back(job);
    } else {
        jobs.assign(m_inTransition.begin(), m_inTransition.end());
    }
    for (const JobId& job : jobs)
        changeGang(
            job, [](GangController& gang, GangContext& context) { gang.advance(context); }, role, step);
}

void ZoneController::handle(const WorkerReplied& replied, const HeldRole& role, Step& step)
{
    const auto command = m_commands.find(replied.operation.sequence);
    if (command == m_commands.end())
        return;
    const JobId job = command->second;
    m_commands.erase(command);
    changeGang(
        job,
        [&](GangController& gang, GangContext& gangContext) {
            if (!gang.handle(replied, gangContext))
                return;
            m_isTokenRefused = m_isTokenRefused || gang.isTokenRefused();
            // Advancing now instead of on the next tick saves one tick per phase.
            gang.advance(gangContext);
        },
        role, step);
    recordConfirmedThrottle(job);
    // The reply may free the accelerators or the noise allowance that a claim waits for; starting the claim
    // on the next tick would cost 50 ms.
    startClaims(role, step);
}

void ZoneController::entriesChanged(const std::set<JobId>& jobs, const HeldRole& role, Step& step)
{
    if (!m_areRowsRead)
        return;
    for (const JobId& job : jobs)
        reconcile(job, role, step);
}

void ZoneController::reportsChanged(const std::set<TaskKey>& tasks, const HeldRole& role, Step& step)
{
    for (const TaskKey& task : tasks) {
        const auto found = m_gangs.find(task.first);
        if (found == m_gangs.end() || found->second.attempt() != task.second)
            continue;
        changeGang(
            task.first, [](GangController& gang, GangContext& context) { gang.advance(context); }, role,
            step);
    }
    startClaims(role, step);
}

bool ZoneController::isRenewable(const TaskKey& task, TimePoint now)
{
    const auto found = m_gangs.find(task.first);
    if (found == m_gangs.end() || found->second.attempt() != task.second
        || !found->second.isRenewable(m_observation, now))
        return false;
    found->second.recordRenewal(now);
    return true;
}

bool ZoneController::mayRenewAsCaretaker(const TaskKey& task, TimePoint now)
{
    const auto found = m_gangs.find(task.first);
    if (found == m_gangs.end())
        return !m_lastAttempt.contains(task.first) || m_lastAttempt[task.first] < task.second;
    // The attempt was started by a later holder.
    if (found->second.attempt() < task.second)
        return true;
    if (found->second.attempt() != task.second || found->second.phase() != GangPhase::Running)
        return false;
    found->second.recordRenewal(now);
    return true;
}

void ZoneController::reconcile(const JobId& job, const HeldRole& role, Step& step)
{
    const JobEntry* entry = m_store.find(job);
    const auto gang = m_gangs.find(job);
    const bool isCancelled = !entry || entry->isCancelRequested;
    if (gang != m_gangs.end()) {
        if (isCancelled) {
            changeGang(
                job,
                [](GangController& found, GangContext& context) {
                    found.stop({ StopCause::Cancelled, "cancelled by request", {} }, context);
                },
                role, step);
            return;
        }
        const bool isCommitted = gang->second.phase() == GangPhase::Committing && !m_store.isWriting(job)
            && entry->record.status.state == JobState::Placed
            && entry->record.status.attempt == gang->second.attempt();
        if (!isCommitted)
            return;
        step.record("job.committed",
            { { "job", job.value() }, { "attempt", std::to_string(gang->second.attempt()) },
                { "token", std::to_string(role.token) } });
        changeGang(
            job, [](GangController& found, GangContext& context) { found.onCommitted(context); }, role, step);
        return;
    }
    if (!entry || isTerminal(entry->record.status.state)) {
        m_queue.remove(job);
        m_lastAttempt.erase(job);
        m_notBefore.erase(job);
        return;
    }
    if (m_store.isWriting(job))
        return;
    const JobStatus& status = entry->record.status;
    if (status.state != JobState::Queued) {
        recoverGang(job, entry->record, role, step);
        return;
    }
    if (!isCancelled) {
        enqueue(job, status, step);
        return;
    }
    m_queue.remove(job);
    JobRecord record = entry->record;
    record.status.state = JobState::Cancelled;
    record.status.reason = "cancelled by request";
    record.status.finishedAt = step.wallTime;
    step.record("job.cancelled", { { "job", job.value() }, { "attempt", std::to_string(status.attempt) } });
    m_store.put(job, std::move(record), role, step);
}

void ZoneController::enqueue(const JobId& job, const JobStatus& status, Step& step)
{
    if (m_queue.contains(job))
        return;
    const Milliseconds waited = std::max(
        Milliseconds(0), std::chrono::duration_cast<Milliseconds>(step.wallTime - status.submittedAt));
    const auto notBefore = m_notBefore.find(job);
    m_queue.add(status.specification, step.now - waited,
        notBefore == m_notBefore.end() ? step.now : notBefore->second, status.reason);
    m_isPlanNeeded = true;
}

void ZoneController::beginShutdown()
{
    m_isStopping = true;
    m_queue.dropClaims();
}

bool ZoneController::isIdleForHandover() const
{
    return std::none_of(m_inTransition.begin(), m_inTransition.end(),
        [this](const JobId& job) { return m_gangs.at(job).phase() != GangPhase::Recovering; });
}

} // namespace anvilmoor
