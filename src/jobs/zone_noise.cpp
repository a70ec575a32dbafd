#include "jobs/zone_controller.h"

#include <algorithm>

namespace anvilmoor {

namespace {

// Throttling takes one command. Borrowed work that has not confirmed it within this time is evicted instead,
// so that a claim still starts within the reclaim bound.
constexpr Milliseconds claimThrottleTimeout { 400 };
// Before a lesson begins there is time to resend the throttle command.
constexpr Milliseconds lessonThrottleTimeout { 2'000 };

} // namespace

// Members of guaranteed jobs that wait for borrowed work. Their noise counts as if they had started.
std::vector<GangMember> ZoneController::claimedMembers(const JobId& except) const
{
    std::vector<GangMember> members;
    for (const auto& [job, claim] : m_queue.claims()) {
        const JobSpecification* specification = m_queue.find(job);
        const bool isGuaranteed = specification && specification->jobClass == JobClass::Guaranteed;
        if (isGuaranteed && job != except)
            members.insert(members.end(), claim.members.begin(), claim.members.end());
    }
    return members;
}

// True if the members may become active within the room's noise limit once the jobs in `leaving` have
// stopped. A borrowed job must also leave the pending claims their share of the limit.
bool ZoneController::fitsNoiseLimit(const JobId& job, std::vector<GangMember> members,
    const std::vector<JobId>& leaving, const Step& step) const
{
    const AvailabilityZoneConfiguration* configured = zone();
    if (!configured)
        return true;
    const JobSpecification* specification = m_queue.find(job);
    if (specification && specification->jobClass == JobClass::Borrowed) {
        const std::vector<GangMember> claimed = claimedMembers(job);
        members.insert(members.end(), claimed.begin(), claimed.end());
    }
    if (leaving.empty())
        return m_noise.allowsStart(*m_inventory, configured->room, members, step.localTime);
    ZoneInventory after = *m_inventory;
    for (const JobId& victim : leaving)
        after.remove(victim);
    return m_noise.allowsStart(after, configured->room, members, step.localTime);
}

// Throttles or evicts borrowed work so that the noise of all pending claims fits the limit.
void ZoneController::reduceNoiseForClaims(const HeldRole& role, Step& step)
{
    const AvailabilityZoneConfiguration* configured = zone();
    const std::vector<GangMember> claimed = claimedMembers({});
    if (!configured || claimed.empty())
        return;
    const std::vector<NoiseAction> actions
        = m_noise.planForStart(*m_inventory, configured->room, claimed, step.localTime);
    for (const NoiseAction& action : actions) {
        if (action.kind == NoiseActionKind::Throttle
            && isThrottleOverdue(action.job, claimThrottleTimeout, step.now))
            evict(action.job, "makes room for a claim within the noise limit", role, step);
        else if (action.kind != NoiseActionKind::Unthrottle)
            applyNoiseAction(action, role, step);
    }
}

bool ZoneController::isThrottleOverdue(const JobId& job, Milliseconds timeout, TimePoint now) const
{
    const auto found = m_gangs.find(job);
    return found != m_gangs.end() && found->second.isThrottlePending()
        && now - found->second.throttleRequestedAt() >= timeout;
}

void ZoneController::enforceNoiseLimit(const HeldRole& role, Step& step)
{
    const AvailabilityZoneConfiguration* configured = zone();
    if (!configured)
        return;
    // Includes the pending claims, so that a throttle that was set for one of them is not removed.
    const std::vector<NoiseAction> actions
        = m_noise.planForStart(*m_inventory, configured->room, claimedMembers({}), step.localTime);
    for (const NoiseAction& action : actions) {
        if (action.kind == NoiseActionKind::Throttle
            && isThrottleOverdue(action.job, lessonThrottleTimeout, step.now))
            evict(action.job, "was not throttled in time for the room's noise limit", role, step);
        else
            applyNoiseAction(action, role, step);
    }
}

void ZoneController::applyNoiseAction(const NoiseAction& action, const HeldRole& role, Step& step)
{
    const auto found = m_gangs.find(action.job);
    if (found == m_gangs.end())
        return;
    const GangController& gang = found->second;
    switch (action.kind) {
    case NoiseActionKind::Throttle:
        if (gang.phase() != GangPhase::Running || gang.isThrottled() || gang.isThrottleRequested())
            return;
        changeGang(
            action.job,
            [](GangController& changed, GangContext& context) { changed.setThrottled(true, context); }, role,
            step);
        return;
    case NoiseActionKind::Unthrottle:
        // Counts at full noise from now on, no matter when the workers receive the command.
        m_inventory->setThrottled(action.job, false);
        changeGang(
            action.job,
            [](GangController& changed, GangContext& context) { changed.setThrottled(false, context); }, role,
            step);
        return;
    case NoiseActionKind::Evict:
        evict(action.job, "the room's noise limit", role, step);
        return;
    }
}

// Counts the job as throttled in the noise estimate once every member has confirmed the throttle.
void ZoneController::recordConfirmedThrottle(const JobId& job)
{
    const auto found = m_gangs.find(job);
    const Holding* holding = m_inventory ? m_inventory->find(job) : nullptr;
    if (found == m_gangs.end() || !holding || holding->isThrottled)
        return;
    if (found->second.isThrottled() && !found->second.isThrottlePending())
        m_inventory->setThrottled(job, true);
}

} // namespace anvilmoor
