#include "jobs/zone_controller.h"

#include <algorithm>
#include <utility>

namespace anvilmoor {

namespace {

constexpr int maxFailedAttempts = 5;
// Counts excused failures as well, so that a job ends even if it only runs on workers that fail other jobs.
constexpr int maxTotalFailures = 20;
// A member that vanishes later than this after the start does not count as a failed attempt, because a host
// restart makes members vanish, too.
constexpr Milliseconds earlyFailureWindow { 60'000 };
constexpr Milliseconds placementRetryDelay { 500 };
constexpr Milliseconds firstFailureDelay { 1'000 };
constexpr int maxFailureDoublings = 5;
constexpr int immediateGuaranteedRetries = 3;

} // namespace

void ZoneController::changeGang(const JobId& job,
    const std::function<void(GangController&, GangContext&)>& change, const HeldRole& role, Step& step)
{
    const auto found = m_gangs.find(job);
    if (found == m_gangs.end())
        return;
    const GangPhase before = found->second.phase();
    GangContext gangContext = context(role, step);
    change(found->second, gangContext);
    phaseChanged(job, before, role, step);
    freeReleasedMembers(job);
}

// Frees the accelerators that a stopping gang has already released, so that a claim on them does not wait
// until the lease of a dead member of the gang expires.
void ZoneController::freeReleasedMembers(const JobId& job)
{
    const auto gang = m_gangs.find(job);
    const Holding* holding = m_inventory ? m_inventory->find(job) : nullptr;
    if (gang == m_gangs.end() || gang->second.phase() != GangPhase::Stopping || !holding)
        return;
    // The size of a guaranteed holding determines which guarantee it uses, so it must not shrink.
    if (holding->jobClass == JobClass::Guaranteed)
        return;
    std::vector<GangMember> left = gang->second.unreleasedMembers();
    if (left.empty() || left.size() == holding->members.size())
        return;
    Holding rest = *holding;
    rest.members = std::move(left);
    m_inventory->remove(job);
    static_cast<void>(m_inventory->add(std::move(rest))); // fits: smaller than the removed holding
    m_isPlanNeeded = true;
}

void ZoneController::phaseChanged(const JobId& job, GangPhase before, const HeldRole& role, Step& step)
{
    const GangPhase phase = m_gangs.at(job).phase();
    if (phase == before)
        return;
    if (phase == GangPhase::Running)
        m_inTransition.erase(job);
    else
        m_inTransition.insert(job);
    switch (phase) {
    case GangPhase::Committing:
        return gangReserved(job, role, step);
    case GangPhase::Running:
        return gangRunning(job, role, step);
    case GangPhase::Finished:
        return gangFinished(job, role, step);
    case GangPhase::Stopped:
        return gangStopped(job, role, step);
    case GangPhase::Checkpointing:
    case GangPhase::Stopping:
        if (m_inventory)
            m_inventory->setLeaving(job);
        return;
    default:
        return;
    }
}

void ZoneController::gangReserved(const JobId& job, const HeldRole& role, Step& step)
{
    const JobEntry* entry = m_store.find(job);
    const GangController& gang = m_gangs.at(job);
    if (!entry)
        return;
    step.record("job.reserved", { { "job", job.value() }, { "attempt", std::to_string(gang.attempt()) } });
    JobRecord record = entry->record;
    record.status.state = JobState::Placed;
    record.status.attempt = gang.attempt();
    record.status.token = role.token;
    record.status.members = gang.members();
    record.status.reason.clear();
    m_store.put(job, std::move(record), role, step);
}

void ZoneController::gangRunning(const JobId& job, const HeldRole& role, Step& step)
{
    const JobEntry* entry = m_store.find(job);
    if (!entry)
        return;
    step.record("job.running",
        { { "job", job.value() }, { "attempt", std::to_string(m_gangs.at(job).attempt()) },
            { "token", std::to_string(role.token) } });
    JobRecord record = entry->record;
    record.status.state = JobState::Running;
    m_store.put(job, std::move(record), role, step);
}

void ZoneController::gangFinished(const JobId& job, const HeldRole& role, Step& step)
{
    const GangController& gang = m_gangs.at(job);
    for (const GangMember& member : gang.members())
        m_quarantine.recordSuccess(member.worker);
    if (const JobEntry* entry = m_store.find(job)) {
        JobRecord record = entry->record;
        record.status.state = JobState::Finished;
        record.status.attempt = gang.attempt();
        record.status.members.clear();
        record.status.reason.clear();
        record.status.finishedAt = step.wallTime;
        step.record(
            "job.finished", { { "job", job.value() }, { "attempt", std::to_string(gang.attempt()) } });
        m_store.put(job, std::move(record), role, step);
    }
    dropGang(job);
}

void ZoneController::gangStopped(const JobId& job, const HeldRole& role, Step& step)
{
    const GangController gang = m_gangs.at(job);
    dropGang(job);
    m_lastAttempt[job] = std::max(m_lastAttempt[job], gang.attempt());
    const JobEntry* entry = m_store.find(job);
    if (!entry)
        return;
    JobRecord record = entry->record;
    JobStatus& status = record.status;
    status.state = JobState::Queued;
    status.attempt = gang.attempt();
    status.members.clear();
    status.reason = gang.stopCause().reason;
    status.checkpointed += gang.checkpointed();
    const StopCause cause = entry->isCancelRequested ? StopCause::Cancelled : gang.stopCause().cause;
    if (cause == StopCause::Cancelled) {
        status.state = JobState::Cancelled;
        status.reason = "cancelled by request";
        status.finishedAt = step.wallTime;
    } else if (cause == StopCause::Failed || cause == StopCause::MemberMissing) {
        applyFailure(record, gang, step);
    } else if (cause == StopCause::NotPlaced) {
        m_notBefore[job] = step.now + placementRetryDelay;
    }
    const bool isUncommitted = entry->record.status.state == JobState::Queued && !m_store.isWriting(job);
    if (isUncommitted && status.state == JobState::Queued && cause != StopCause::Failed) {
        reconcile(job, role, step);
        return;
    }
    const char* name = status.state == JobState::Cancelled
        ? "job.cancelled"
        : (status.state == JobState::Failed ? "job.failed" : "job.requeued");
    step.record(name,
        { { "job", job.value() }, { "attempt", std::to_string(gang.attempt()) },
            { "reason", status.reason } });
    m_store.put(job, std::move(record), role, step);
}

void ZoneController::applyFailure(JobRecord& record, const GangController& gang, Step& step)
{
    const GangStop& stop = gang.stopCause();
    const bool isEarly
        = gang.runningSince() == TimePoint {} || step.now - gang.runningSince() < earlyFailureWindow;
    if (stop.cause == StopCause::MemberMissing && !isEarly)
        return;
    const bool isQuarantined
        = !stop.worker.isEmpty() && m_quarantine.recordFailure(stop.worker, gang.job(), step.now);
    if (isQuarantined)
        step.record("worker.quarantined", { { "worker", stop.worker.value() }, { "reason", stop.reason } });
    updateUsable(step);
    const bool isExcused = m_inventory && m_quarantine.isAtFault(stop.worker, m_inventory->workers().size());
    ++(isExcused ? record.excusedFailures : record.failedAttempts);
    const int failures = record.failedAttempts + record.excusedFailures;
    if (record.failedAttempts >= maxFailedAttempts || failures >= maxTotalFailures) {
        record.status.state = JobState::Failed;
        record.status.reason
            = std::to_string(failures) + " attempts failed; the last one: " + record.status.reason;
        record.status.finishedAt = step.wallTime;
        return;
    }
    // A guaranteed job must run within the reclaim bound, so its first retries follow without a delay.
    const bool isGuaranteed = record.status.specification.jobClass == JobClass::Guaranteed;
    if (isGuaranteed && failures <= immediateGuaranteedRetries)
        return;
    const int doublings = std::min(failures - 1, maxFailureDoublings);
    m_notBefore[gang.job()] = step.now + firstFailureDelay * (1 << doublings);
}

void ZoneController::dropGang(const JobId& job)
{
    const auto found = m_gangs.find(job);
    if (found == m_gangs.end())
        return;
    for (const GangMember& member : found->second.members())
        m_observation.forgetFinished(member.worker, { job, found->second.attempt() });
    m_gangs.erase(found);
    m_inTransition.erase(job);
    if (m_inventory)
        m_inventory->remove(job);
    m_isPlanNeeded = true;
}

} // namespace anvilmoor
