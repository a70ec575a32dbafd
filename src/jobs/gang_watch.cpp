#include "jobs/gang_controller.h"

#include <algorithm>

namespace anvilmoor {

namespace {

// A reservation that cannot be reached has certainly expired after this: twice its lifetime of 5 s, increased
// by 10% for timer drift.
constexpr Milliseconds maxReservationLifetime { 11'000 };
// A report sent this soon after a start may have been generated before it.
constexpr Milliseconds startReportGrace { 2'000 };
constexpr Milliseconds maxReportAgeForRenewal { 10'000 };
// Members on a rack that has not answered for this long count as lost, so that the gang stops before the
// leases of its other members expire.
constexpr Milliseconds rackLossTimeout { 20'000 };

} // namespace

void GangController::watch(GangContext& context)
{
    const TaskKey key { m_job, m_attempt };
    for (Member& member : m_members) {
        const WorkerObservation* worker = context.observation.find(member.member.worker);
        if (!worker)
            continue;
        if (worker->finished.contains(key))
            member.isFinished = true;
        const auto found = worker->tasks.find(key);
        if (found == worker->tasks.end())
            continue;
        member.progress = found->second.progress;
        member.checkpointed = std::max(member.checkpointed, found->second.checkpointed);
        if (m_phase == GangPhase::Recovering)
            member.isThrottled = found->second.throttled;
    }
}

bool GangController::stopIfWorkerLost(GangContext& context)
{
    for (const Member& member : m_members) {
        if (member.isFinished)
            continue;
        const WorkerId& id = member.member.worker;
        const WorkerObservation* worker = context.observation.find(id);
        const bool isRackSilent
            = worker && context.step.now - context.observation.rackOf(*worker).answeredAt >= rackLossTimeout;
        const bool isDead = !worker || (worker->isReported && !worker->isLive);
        if (!isDead && !isRackSilent)
            continue;
        stop({ StopCause::WorkerLost, "worker " + id.value() + " was lost", {} }, context);
        return true;
    }
    return false;
}

bool GangController::stopIfMemberFailed(GangContext& context)
{
    for (const Member& member : m_members) {
        const WorkerId& id = member.member.worker;
        const WorkerObservation* worker = context.observation.find(id);
        if (!worker || member.isFinished)
            continue;
        const auto task = worker->tasks.find({ m_job, m_attempt });
        if (task == worker->tasks.end() || task->second.phase != TaskPhase::Failed)
            continue;
        stop({ StopCause::Failed, "a member failed on worker " + id.value(), id }, context);
        return true;
    }
    return false;
}

void GangController::advanceRecovering(GangContext& context)
{
    if (areAllFinished()) {
        m_phase = GangPhase::Finished;
        return;
    }
    const TaskKey key { m_job, m_attempt };
    bool areAllReached = true;
    for (Member& member : m_members) {
        if (member.isFinished)
            continue;
        const WorkerId& id = member.member.worker;
        const WorkerObservation* worker = context.observation.find(id);
        const bool isReached = worker && worker->isReported;
        areAllReached = areAllReached && isReached;
        if (worker && !isReached)
            continue;
        if (!worker || !worker->isLive) {
            stop({ StopCause::WorkerLost, "worker " + id.value() + " was lost", {} }, context);
            return;
        }
        const auto task = worker->tasks.find(key);
        const bool isIntact = task != worker->tasks.end() && isPresent(task->second)
            && task->second.phase != TaskPhase::Checkpointing
            && task->second.accelerators == member.member.accelerators;
        if (isIntact)
            continue;
        const bool isFailure = task != worker->tasks.end() && task->second.phase == TaskPhase::Failed;
        const bool isEvicted = task != worker->tasks.end() && task->second.phase == TaskPhase::Checkpointing;
        const StopCause cause
            = isFailure ? StopCause::Failed : (isEvicted ? StopCause::Evicted : StopCause::WorkerLost);
        stop({ cause, "worker " + id.value() + " no longer has its member", isFailure ? id : WorkerId() },
            context);
        return;
    }
    if (!areAllReached) {
        if (context.step.now - m_phaseSince >= maxMemberLifetime)
            stop({ StopCause::WorkerLost, "a worker was not reached after a change of the role", {} },
                context);
        return;
    }
    const bool areAllRunning = std::all_of(m_members.begin(), m_members.end(), [&](const Member& member) {
        if (member.isFinished)
            return true;
        const WorkerObservation* worker = context.observation.find(member.member.worker);
        return worker->tasks.at(key).phase == TaskPhase::Running;
    });
    if (areAllRunning) {
        enter(GangPhase::Running, context.step.now);
        m_runningSince = context.step.now;
        return;
    }
    if (m_isRowRunning) {
        stop({ StopCause::WorkerLost, "a member of the running gang is not running", {} }, context);
        return;
    }
    enter(GangPhase::Confirming, context.step.now);
    sendToAll(WorkerCommandKind::Confirm, context);
}

void GangController::advanceRunning(GangContext& context)
{
    if (areAllFinished()) {
        m_phase = GangPhase::Finished;
        return;
    }
    if (stopIfWorkerLost(context))
        return;
    if (stopIfMemberFailed(context))
        return;
    for (const Member& member : m_members) {
        if (member.isFinished)
            continue;
        const WorkerId& id = member.member.worker;
        if (isAbsent(member, context, m_runningSince + startReportGrace)) {
            stop({ StopCause::MemberMissing, "a member vanished from worker " + id.value(), id }, context);
            return;
        }
    }
    sendThrottles(context);
}

// True if the worker is live and either reports the task as ended or does not list it in a report that was
// requested at or after `since`.
bool GangController::isAbsent(const Member& member, const GangContext& context, TimePoint since) const
{
    const WorkerObservation* worker = context.observation.find(member.member.worker);
    if (!worker || !worker->isReported || !worker->isLive)
        return false;
    const auto task = worker->tasks.find({ m_job, m_attempt });
    const bool isListed = task != worker->tasks.end();
    if (isListed && isPresent(task->second))
        return false;
    return isListed || context.observation.rackOf(*worker).asOf >= since;
}

bool GangController::hasExpired(const Member& member, TimePoint now) const
{
    const Milliseconds lifetime = m_isCommitted ? maxMemberLifetime : maxReservationLifetime;
    return now - std::max(member.lastCommandAt, m_renewedAt) >= lifetime;
}

bool GangController::areAllFinished() const
{
    return std::all_of(
        m_members.begin(), m_members.end(), [](const Member& member) { return member.isFinished; });
}

bool GangController::isRenewable(const ZoneObservation& observation, TimePoint now) const
{
    if (m_phase != GangPhase::Running)
        return false;
    return std::all_of(m_members.begin(), m_members.end(), [&](const Member& member) {
        const WorkerObservation* worker = observation.find(member.member.worker);
        if (!worker || !worker->isReported || !worker->isLive)
            return false;
        if (now - observation.rackOf(*worker).answeredAt > maxReportAgeForRenewal)
            return false;
        const TaskKey key { m_job, m_attempt };
        const auto task = worker->tasks.find(key);
        const bool isRunning = task != worker->tasks.end() && task->second.phase == TaskPhase::Running;
        return isRunning || member.isFinished || worker->finished.contains(key);
    });
}

// Minimum over the members that have not finished; empty if all have.
std::optional<Milliseconds> GangController::minOverUnfinished(Milliseconds Member::*time) const
{
    std::optional<Milliseconds> least;
    for (const Member& member : m_members) {
        if (!member.isFinished)
            least = std::min(least.value_or(member.*time), member.*time);
    }
    return least;
}

Milliseconds GangController::progress() const
{
    return minOverUnfinished(&Member::progress).value_or(m_runTime);
}

Milliseconds GangController::checkpointed() const
{
    return minOverUnfinished(&Member::checkpointed).value_or(Milliseconds(0));
}

bool GangController::isThrottled() const
{
    return std::all_of(m_members.begin(), m_members.end(),
        [](const Member& member) { return member.isThrottled || member.isFinished; });
}

bool GangController::isThrottlePending() const
{
    return m_requestedThrottle
        && std::any_of(m_members.begin(), m_members.end(), [this](const Member& member) {
               return member.isThrottled != *m_requestedThrottle && !member.isFinished;
           });
}

std::vector<GangMember> GangController::unreleasedMembers() const
{
    std::vector<GangMember> left;
    for (const Member& member : m_members) {
        if (!member.isGone)
            left.push_back(member.member);
    }
    return left;
}

} // namespace anvilmoor
