#include "jobs/zone_controller.h"

#include <algorithm>
#include <utility>

namespace anvilmoor {

namespace {

// Part of the reclaim bound; the rest covers reserve, confirm and run.
constexpr Milliseconds evictionGrace { 800 };
// Per second: a long queue must not use up the several hundred writes per second that the table accepts.
constexpr std::size_t maxReasonsStored = 8;
// Delay after a search that found no job to move. A search visits every holding of the zone: 5,091 at the
// design size.
constexpr Milliseconds moveRetryInterval { 10'000 };
// No job is moved after the table has been silent for this long, because a moved job cannot be requeued
// without it. The table is polled more often than this.
constexpr Milliseconds maxTableSilence { 5'000 };

} // namespace

const AvailabilityZoneConfiguration* ZoneController::zone() const
{
    const Configuration* configuration = m_configuration.current();
    return configuration ? configuration->findZone(m_settings.zone) : nullptr;
}

void ZoneController::place(const HeldRole& role, Step& step)
{
    m_isPlanNeeded = false;
    const Configuration* configuration = m_configuration.current();
    if (m_isStopping || !configuration || !m_queue.size())
        return;
    const std::vector<QueuedJob> queue = m_queue.ready(step.now);
    if (queue.empty())
        return;
    const PlacementPlan plan = m_placement.plan(*m_inventory, *configuration, queue, step.now);
    for (const PlacementWait& wait : plan.waits)
        m_queue.setReason(wait.job, wait.reason);
    for (const PlacementStart& planned : plan.starts)
        applyStart(planned, role, step);
    dropUnsatisfiableClaims();
}

// Drops claims that the plan neither replaced nor evicted work for; their jobs are planned again like others.
void ZoneController::dropUnsatisfiableClaims()
{
    const std::map<JobId, PlacementClaim> claims = m_queue.claims();
    for (const auto& [job, claim] : claims) {
        if (canBecomeFree(claim.members))
            continue;
        m_queue.dropClaim(job);
        m_isPlanNeeded = true;
    }
}

void ZoneController::applyStart(const PlacementStart& planned, const HeldRole& role, Step& step)
{
    const JobSpecification* specification = m_queue.find(planned.job);
    if (!specification)
        return;
    const bool isGuaranteed = specification->jobClass == JobClass::Guaranteed;
    if (planned.evictions.empty()) {
        if (fitsNoiseLimit(planned.job, planned.members, {}, step)) {
            m_queue.dropClaim(planned.job);
            // A start fails while the job's row is being written; the next plan starts the job.
            if (!start(planned.job, planned.members, role, step))
                m_isPlanNeeded = true;
            return;
        }
        m_queue.setReason(planned.job, "starting it would exceed the room's noise limit");
        if (!isGuaranteed) {
            m_queue.dropClaim(planned.job);
            return;
        }
    } else if (!isGuaranteed && !fitsNoiseLimit(planned.job, planned.members, planned.evictions, step)) {
        // Evicting would be useless: the noise limit would refuse the start afterwards.
        m_queue.dropClaim(planned.job);
        m_queue.setReason(planned.job, "starting it would exceed the room's noise limit");
        return;
    } else {
        m_queue.setReason(planned.job, "waits for borrowed work to leave");
    }
    // Replaces an earlier claim of the job, which may include a lost worker.
    m_queue.setClaim(planned.job, { planned.members });
    for (const JobId& victim : planned.evictions)
        evict(victim, "makes room for job " + planned.job.value(), role, step);
    if (isGuaranteed)
        reduceNoiseForClaims(role, step);
}

// Starts claims whose accelerators are free without waiting for a plan. The next plan decides about the
// others: it requests the evictions again or selects other workers.
void ZoneController::startClaims(const HeldRole& role, Step& step)
{
    if (!m_inventory || m_queue.claims().empty())
        return;
    const std::map<JobId, PlacementClaim> claims = m_queue.claims();
    bool isNoiseLimitExceeded = false;
    for (const auto& [job, claim] : claims) {
        if (!isFree(claim.members)) {
            m_isPlanNeeded = m_isPlanNeeded || !canBecomeFree(claim.members);
            continue;
        }
        if (!fitsNoiseLimit(job, claim.members, {}, step)) {
            m_queue.setReason(job, "starting it would exceed the room's noise limit");
            isNoiseLimitExceeded = true;
            continue;
        }
        if (start(job, claim.members, role, step))
            continue;
        m_queue.dropClaim(job);
        m_isPlanNeeded = true;
    }
    if (isNoiseLimitExceeded)
        reduceNoiseForClaims(role, step);
}

bool ZoneController::isFree(const std::vector<GangMember>& members) const
{
    return std::all_of(members.begin(), members.end(), [this](const GangMember& member) {
        const WorkerCapacity* worker = m_inventory->find(member.worker);
        return worker && worker->free() >= member.accelerators;
    });
}

// True if the members' accelerators are free once the jobs that are leaving have stopped.
bool ZoneController::canBecomeFree(const std::vector<GangMember>& members) const
{
    return std::all_of(members.begin(), members.end(), [this](const GangMember& member) {
        const WorkerCapacity* worker = m_inventory->find(member.worker);
        return worker && worker->isUsable && worker->free() + worker->heldByLeaving >= member.accelerators;
    });
}

bool ZoneController::start(
    const JobId& job, const std::vector<GangMember>& planned, const HeldRole& role, Step& step)
{
    const JobEntry* entry = m_store.find(job);
    if (!entry || m_gangs.contains(job) || m_store.isWriting(job)
        || entry->record.status.state != JobState::Queued)
        return false;
    const JobStatus& status = entry->record.status;
    // A worker has one task per attempt, so members on the same worker are merged.
    std::vector<GangMember> members;
    int sum = 0;
    for (const GangMember& member : planned) {
        sum += member.accelerators;
        const auto same = std::find_if(members.begin(), members.end(),
            [&](const GangMember& known) { return known.worker == member.worker; });
        if (same == members.end())
            members.push_back(member);
        else
            same->accelerators += member.accelerators;
    }
    if (sum != status.specification.accelerators)
        return false;
    Holding holding { job, status.specification.account, status.specification.jobClass,
        status.specification.priority, members, step.now, {}, status.checkpointed };
    if (!m_inventory->add(std::move(holding)))
        return false;
    const Milliseconds left
        = std::max(Milliseconds(1), status.specification.declaredRunTime - status.checkpointed);
    m_gangs.emplace(job, GangController(job, nextAttempt(job, status), members, left, step.now));
    m_inTransition.insert(job);
    m_notBefore.erase(job);
    m_queue.remove(job);
    changeGang(
        job, [](GangController& gang, GangContext& context) { gang.advance(context); }, role, step);
    return true;
}

AttemptNumber ZoneController::nextAttempt(const JobId& job, const JobStatus& status) const
{
    AttemptNumber last = status.attempt;
    if (const auto found = m_lastAttempt.find(job); found != m_lastAttempt.end())
        last = std::max(last, found->second);
    // Reservations of a former holder that were never committed are in no row, only in the reports.
    for (const auto& [id, worker] : m_observation.workers()) {
        for (auto it = worker.tasks.lower_bound({ job, 0 });
             it != worker.tasks.end() && it->first.first == job; ++it)
            last = std::max(last, it->first.second);
    }
    return last + 1;
}

void ZoneController::evict(const JobId& job, const std::string& reason, const HeldRole& role, Step& step)
{
    const auto found = m_gangs.find(job);
    if (found == m_gangs.end())
        return;
    const GangPhase phase = found->second.phase();
    if (phase == GangPhase::Checkpointing || phase == GangPhase::Stopping)
        return;
    step.record("job.evicting",
        { { "job", job.value() }, { "attempt", std::to_string(found->second.attempt()) },
            { "reason", reason } });
    const Milliseconds grace = m_isObjectStoreDown ? Milliseconds(0) : evictionGrace;
    changeGang(
        job,
        [&](GangController& gang, GangContext& context) { gang.evict(grace, "evicted: " + reason, context); },
        role, step);
}

// Jobs are moved only while the zone is otherwise idle: no job waits, so there is no claim and no
// reservation; no gang starts or stops; recovery is complete; and the table and the object store can save the
// progress.
bool ZoneController::mayMove(const Step& step) const
{
    const std::optional<TimePoint> lastAnswer = m_store.lastAnswer();
    return step.now >= m_nextMove && m_isRecovered && !m_isStopping && !m_isTokenRefused
        && !m_isObjectStoreDown && !m_queue.size() && m_inTransition.empty() && lastAnswer
        && step.now - *lastAnswer < maxTableSilence;
}

// Moves a job by evicting it. The job is requeued and placed like any other; while no other job waits, the
// policy places it where whole shapes stay free, which is the target of the move.
void ZoneController::moveForDefragmentation(const HeldRole& role, Step& step)
{
    const Configuration* configuration = m_configuration.current();
    if (!configuration || !mayMove(step))
        return;
    const std::optional<DefragmentationMove> move
        = m_placement.proposeMove(*m_inventory, *configuration, step.now);
    if (!move || m_store.isWriting(move->job)
        || !fitsNoiseLimit(move->job, move->members, { move->job }, step)) {
        m_nextMove = step.now + moveRetryInterval;
        return;
    }
    m_nextMove = step.now + moveInterval;
    step.record("job.moving", { { "job", move->job.value() } });
    evict(move->job, "moves so that a whole shape stays free", role, step);
}

// Stores wait reasons in the job rows, so that the other daemons can report why a job waits.
void ZoneController::storeReasons(const HeldRole& role, Step& step)
{
    for (const JobId& job : m_queue.takeReasonsToStore(step.now, maxReasonsStored)) {
        const JobEntry* entry = m_store.find(job);
        if (!entry || m_store.isWriting(job) || entry->record.status.state != JobState::Queued)
            continue;
        JobRecord record = entry->record;
        record.status.reason = m_queue.reason(job);
        m_store.put(job, std::move(record), role, step);
    }
}

void ZoneController::updateSummary(Step& step)
{
    m_summary = {};
    for (const RackCapacity& rack : m_inventory->racks())
        m_summary.freeAccelerators += rack.free;
    m_summary.largestFreeShape = m_placement.largestFreeShape(*m_inventory);
    m_summary.queuedJobs = static_cast<int>(m_queue.size());
    for (const auto& [job, gang] : m_gangs) {
        if (gang.phase() == GangPhase::Running)
            m_summary.runningTasks += static_cast<int>(gang.members().size());
    }
    m_noiseDb = m_noise.estimateDb(*m_inventory);
    const AvailabilityZoneConfiguration* configured = zone();
    m_noiseLimitDb = configured ? m_noise.limitDb(configured->room, step.localTime) : 0;
}

} // namespace anvilmoor
