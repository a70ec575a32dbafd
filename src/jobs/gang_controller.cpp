#include "jobs/gang_controller.h"

#include <algorithm>
#include <utility>

namespace anvilmoor {

namespace {

constexpr Milliseconds reservationLifetime { 5'000 };
// Part of the reservation's lifetime of 5 s; the rest is for the commit.
constexpr Milliseconds reserveDeadline { 3'000 };
// Within the confirm lifetime of 5 s, so that no confirmed member expires while others are started.
constexpr Milliseconds startDeadline { 3'000 };
constexpr Milliseconds keepAliveInterval { 2'000 };
constexpr Milliseconds retryInterval { 250 };
constexpr Milliseconds stopRetryInterval { 500 };
// A command without a reply is sent again after this. The worker client replies well before.
constexpr Milliseconds commandTimeout { 5'000 };

bool acquiresAccelerators(WorkerCommandKind kind)
{
    return kind == WorkerCommandKind::Reserve || kind == WorkerCommandKind::Confirm
        || kind == WorkerCommandKind::Run;
}

} // namespace

GangController::GangController(
    JobId job, AttemptNumber attempt, std::vector<GangMember> members, Milliseconds runTime, TimePoint now)
    : m_job(std::move(job))
    , m_attempt(attempt)
    , m_runTime(runTime)
    , m_phaseSince(now)
{
    for (GangMember& member : members) {
        Member state;
        state.member = std::move(member);
        m_members.push_back(std::move(state));
    }
}

GangController GangController::recovered(JobId job, AttemptNumber attempt, std::vector<GangMember> members,
    Milliseconds runTime, bool isRunning, TimePoint takeoverTime)
{
    GangController gang(std::move(job), attempt, std::move(members), runTime, takeoverTime);
    gang.m_phase = GangPhase::Recovering;
    gang.m_isCommitted = true;
    gang.m_isRowRunning = isRunning;
    gang.m_runningSince = takeoverTime;
    // Commands and renewals of the former holder may still arrive after the takeover, so a member counts as
    // expired no earlier than maxMemberLifetime after it.
    for (Member& member : gang.m_members)
        member.lastCommandAt = takeoverTime;
    return gang;
}

std::vector<GangMember> GangController::members() const
{
    std::vector<GangMember> result;
    for (const Member& member : m_members)
        result.push_back(member.member);
    return result;
}

bool GangController::hasMember(const WorkerId& worker, int accelerators) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const Member& member) {
        return member.member.worker == worker
            && (!accelerators || member.member.accelerators == accelerators);
    });
}

void GangController::enter(GangPhase phase, TimePoint now)
{
    m_phase = phase;
    m_phaseSince = now;
    for (Member& member : m_members) {
        member.isDone = false;
        member.operation = 0;
        member.dueAt = now;
    }
}

void GangController::advance(GangContext& context)
{
    watch(context);
    const TimePoint now = context.step.now;
    switch (m_phase) {
    case GangPhase::Recovering:
        return advanceRecovering(context);
    case GangPhase::Reserving:
        if (stopIfWorkerLost(context))
            return;
        if (sendToAll(WorkerCommandKind::Reserve, context))
            enter(GangPhase::Committing, now);
        else if (now - m_phaseSince >= reserveDeadline)
            stop({ StopCause::NotPlaced, "a member could not be reserved in time", {} }, context);
        return;
    case GangPhase::Committing:
        if (!stopIfWorkerLost(context))
            keepAlive(WorkerCommandKind::Reserve, context);
        return;
    case GangPhase::Confirming:
        if (stopIfWorkerLost(context))
            return;
        if (sendToAll(WorkerCommandKind::Confirm, context)) {
            enter(GangPhase::Starting, now);
            sendToAll(WorkerCommandKind::Run, context);
        } else if (now - m_phaseSince >= startDeadline) {
            stop({ StopCause::NotPlaced, "a member could not be confirmed in time", {} }, context);
        } else {
            keepAlive(WorkerCommandKind::Confirm, context);
        }
        return;
    case GangPhase::Starting:
        if (stopIfWorkerLost(context))
            return;
        if (stopIfMemberFailed(context))
            return;
        if (sendToAll(WorkerCommandKind::Run, context)) {
            m_phase = GangPhase::Running;
            m_phaseSince = now;
            m_runningSince = now;
        } else if (now - m_phaseSince >= startDeadline) {
            stop({ StopCause::NotPlaced, "a member could not be started in time", {} }, context);
        }
        return;
    case GangPhase::Running:
        return advanceRunning(context);
    case GangPhase::Checkpointing:
        return advanceCheckpointing(context);
    case GangPhase::Stopping:
        return advanceStopping(context);
    case GangPhase::Stopped:
    case GangPhase::Finished:
        return;
    }
}

void GangController::onCommitted(GangContext& context)
{
    if (m_phase != GangPhase::Committing)
        return;
    m_isCommitted = true;
    enter(GangPhase::Confirming, context.step.now);
    advance(context);
}

void GangController::evict(Milliseconds grace, std::string reason, GangContext& context)
{
    const bool isLeaving = m_phase == GangPhase::Checkpointing || m_phase == GangPhase::Stopping
        || m_phase == GangPhase::Stopped || m_phase == GangPhase::Finished;
    if (isLeaving)
        return;
    GangStop cause { StopCause::Evicted, std::move(reason), {} };
    if (m_phase != GangPhase::Running || grace <= Milliseconds(0)) {
        stop(std::move(cause), context);
        return;
    }
    m_stop = std::move(cause);
    m_stopAt = context.step.now + grace;
    enter(GangPhase::Checkpointing, context.step.now);
    advanceCheckpointing(context);
}

void GangController::stop(GangStop cause, GangContext& context)
{
    if (m_phase == GangPhase::Stopped || m_phase == GangPhase::Finished)
        return;
    // A cancellation overrides an earlier cause; otherwise the first cause counts.
    if (m_stop.cause == StopCause::None || cause.cause == StopCause::Cancelled)
        m_stop = std::move(cause);
    if (m_phase == GangPhase::Stopping)
        return;
    enter(GangPhase::Stopping, context.step.now);
    advanceStopping(context);
}

void GangController::setThrottled(bool isThrottled, GangContext& context)
{
    m_requestedThrottle = isThrottled;
    m_throttleRequestedAt = context.step.now;
    for (Member& member : m_members)
        member.throttleOperation = 0;
    sendThrottles(context);
}

void GangController::send(Member& member, WorkerCommandKind kind, GangContext& context)
{
    const OperationId id = context.counter.next();
    context.commands.emplace(id.sequence, m_job);
    member.operation = id.sequence;
    member.sent = kind;
    member.sentAt = context.step.now;
    if (acquiresAccelerators(kind))
        member.lastCommandAt = context.step.now;
    WorkerCommand command;
    command.kind = kind;
    command.token = context.token;
    command.job = m_job;
    command.attempt = m_attempt;
    command.accelerators = member.member.accelerators;
    if (kind == WorkerCommandKind::Reserve)
        command.ttl = reservationLifetime;
    if (kind == WorkerCommandKind::Checkpoint)
        command.ttl = m_stopAt - context.step.now;
    if (kind == WorkerCommandKind::Run)
        command.runTime = m_runTime;
    context.step.emit(SendWorkerCommand { id, member.member.worker, std::move(command) });
}

bool GangController::sendToAll(WorkerCommandKind kind, GangContext& context)
{
    bool areAllDone = true;
    for (Member& member : m_members) {
        if (member.isDone || member.isFinished)
            continue;
        areAllDone = false;
        if (member.operation && context.step.now - member.sentAt < commandTimeout)
            continue;
        if (context.step.now >= member.dueAt)
            send(member, kind, context);
    }
    return areAllDone;
}

void GangController::keepAlive(WorkerCommandKind kind, GangContext& context)
{
    for (Member& member : m_members) {
        const bool isDue = !member.operation && !member.isFinished
            && context.step.now - std::max(member.sentAt, m_phaseSince) >= keepAliveInterval;
        if (isDue)
            send(member, kind, context);
    }
}

void GangController::sendThrottles(GangContext& context)
{
    if (!m_requestedThrottle || m_phase != GangPhase::Running)
        return;
    for (Member& member : m_members) {
        if (member.isThrottled == *m_requestedThrottle || member.isFinished)
            continue;
        if (member.throttleOperation && context.step.now - member.throttleSentAt < commandTimeout)
            continue;
        if (!member.throttleOperation && context.step.now - member.throttleSentAt < retryInterval)
            continue;
        const OperationId id = context.counter.next();
        context.commands.emplace(id.sequence, m_job);
        member.throttleOperation = id.sequence;
        member.throttleSentAt = context.step.now;
        WorkerCommand command;
        command.kind = WorkerCommandKind::Throttle;
        command.token = context.token;
        command.job = m_job;
        command.attempt = m_attempt;
        command.accelerators = member.member.accelerators;
        command.throttled = *m_requestedThrottle;
        context.step.emit(SendWorkerCommand { id, member.member.worker, std::move(command) });
    }
}

bool GangController::handle(const WorkerReplied& replied, GangContext& context)
{
    for (Member& member : m_members) {
        const bool isThrottle = member.throttleOperation == replied.operation.sequence;
        if (!isThrottle && member.operation != replied.operation.sequence)
            continue;
        if (member.member.worker != replied.worker)
            return false;
        if (replied.result == WorkerCommandResult::StaleToken) {
            m_isTokenRefused = true;
        } else if (isThrottle) {
            member.throttleOperation = 0;
            if (replied.result == WorkerCommandResult::Ok && m_requestedThrottle)
                member.isThrottled = *m_requestedThrottle;
        } else {
            member.operation = 0;
            handleResult(member, replied.result, context);
        }
        return true;
    }
    return false;
}

void GangController::handleResult(Member& member, WorkerCommandResult result, GangContext& context)
{
    const TimePoint now = context.step.now;
    if (result == WorkerCommandResult::Ok) {
        member.isDone = true;
        member.doneAt = now;
        if (m_phase == GangPhase::Stopping)
            member.isGone = true;
        return;
    }
    member.dueAt = now + (m_phase == GangPhase::Stopping ? stopRetryInterval : retryInterval);
    if (result == WorkerCommandResult::Unreachable)
        return;
    const WorkerId& worker = member.member.worker;
    switch (m_phase) {
    case GangPhase::Reserving:
    case GangPhase::Committing:
        stop({ StopCause::NotPlaced, "worker " + worker.value() + " has no room for a member", {} }, context);
        return;
    case GangPhase::Confirming:
        stop({ StopCause::NotPlaced, "the reservation on worker " + worker.value() + " has lapsed", {} },
            context);
        return;
    case GangPhase::Starting:
        if (result == WorkerCommandResult::Failed)
            stop({ StopCause::Failed, "worker " + worker.value() + " failed to start a member", worker },
                context);
        else
            stop({ StopCause::NotPlaced, "the reservation on worker " + worker.value() + " has lapsed", {} },
                context);
        return;
    case GangPhase::Checkpointing:
        // The task has ended by itself or cannot be checkpointed. A report or the stop command resolves it.
        member.isDone = true;
        return;
    default:
        return;
    }
}

void GangController::advanceCheckpointing(GangContext& context)
{
    if (areAllFinished()) {
        m_phase = GangPhase::Finished;
        return;
    }
    bool areAllGone = true;
    for (Member& member : m_members)
        areAllGone = areAllGone && (member.isFinished || isAbsent(member, context, m_phaseSince));
    if (areAllGone || context.step.now >= m_stopAt) {
        enter(GangPhase::Stopping, context.step.now);
        advanceStopping(context);
        return;
    }
    sendToAll(WorkerCommandKind::Checkpoint, context);
}

void GangController::advanceStopping(GangContext& context)
{
    bool areAllGone = true;
    for (Member& member : m_members) {
        member.isGone = member.isGone || member.isFinished || isAbsent(member, context, m_phaseSince)
            || hasExpired(member, context.step.now);
        areAllGone = areAllGone && member.isGone;
        const bool isInFlight = member.operation && context.step.now - member.sentAt < commandTimeout;
        if (!member.isGone && !isInFlight && context.step.now >= member.dueAt)
            send(member, WorkerCommandKind::Stop, context);
    }
    if (!areAllGone)
        return;
    const bool isFinished = areAllFinished() && m_stop.cause != StopCause::Cancelled;
    m_phase = isFinished ? GangPhase::Finished : GangPhase::Stopped;
}

} // namespace anvilmoor
