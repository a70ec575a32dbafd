#include "jobs/rack_syncer.h"

#include <algorithm>

namespace anvilmoor {

namespace {

constexpr Milliseconds syncWait { 1'000 };
// Well below the task lease of 30 s, and long enough that renewals cost little.
constexpr Milliseconds renewalInterval { 5'000 };
constexpr Milliseconds minRetryInterval { 250 };
constexpr int maxRetryDoublings = 3;
// A sync that has neither succeeded nor failed after this is sent again.
constexpr Milliseconds syncTimeout { 5'000 };
// Replies do not arrive later than this.
constexpr Milliseconds replyLifetime { 15'000 };

} // namespace

RackSyncer::RackSyncer(ZoneObservation& observation)
    : m_observation(observation)
{
}

void RackSyncer::start(FencingToken token, TimePoint now)
{
    m_token = token;
    m_isTokenRefused = false;
    m_racks.clear();
    m_observation.reset(now);
}

void RackSyncer::stop()
{
    m_token.reset();
    m_racks.clear();
}

void RackSyncer::tick(const IsRenewable& isRenewable, Step& step)
{
    if (!m_token || m_isTokenRefused)
        return;
    for (const RackObservation& observation : m_observation.racks()) {
        Rack& rack = m_racks[observation.id];
        if (rack.isOutstanding && step.now - rack.sentAt >= syncTimeout)
            rack.isOutstanding = false;
        if (!rack.isOutstanding && step.now >= rack.nextAt)
            send(observation, rack, isRenewable, step);
    }
}

void RackSyncer::send(
    const RackObservation& observation, Rack& rack, const IsRenewable& isRenewable, Step& step)
{
    SyncRack sync { observation.id, *m_token, observation.isReached ? rack.sequence : 0, syncWait, {} };
    if (!rack.hasRenewed || step.now - rack.renewedAt >= renewalInterval) {
        sync.renewals = renewals(observation, isRenewable);
        rack.hasRenewed = !sync.renewals.empty();
        rack.renewedAt = step.now;
    }
    rack.isOutstanding = true;
    rack.sentAt = step.now;
    while (!rack.unanswered.empty() && step.now - rack.unanswered.front() >= replyLifetime)
        rack.unanswered.pop_front();
    rack.unanswered.push_back(step.now);
    step.emit(std::move(sync));
}

std::vector<LeaseRenewal> RackSyncer::renewals(
    const RackObservation& rack, const IsRenewable& isRenewable) const
{
    std::set<TaskKey> keys;
    for (const WorkerId& id : rack.workers) {
        const WorkerObservation* worker = m_observation.find(id);
        for (const auto& [key, task] : worker->tasks) {
            if (task.phase == TaskPhase::Running)
                keys.insert(key);
        }
    }
    std::vector<LeaseRenewal> result;
    for (const TaskKey& key : keys) {
        if (isRenewable(key))
            result.push_back({ key.first, key.second });
    }
    return result;
}

std::set<TaskKey> RackSyncer::handle(const RackSynced& synced, Step& step)
{
    const std::optional<std::size_t> index = m_observation.findRack(synced.rack);
    if (!m_token || synced.token != *m_token || !index)
        return {};
    Rack& rack = m_racks[synced.rack];
    if (!rack.isOutstanding || rack.unanswered.empty())
        return {};
    // An incremental report must follow a complete one, and needs a higher sequence if it contains changes.
    // Anything else is a repeated or late reply.
    const bool isNewReport
        = synced.sequence > rack.sequence || (synced.sequence == rack.sequence && synced.workers.empty());
    if (!synced.isComplete && (!isNewReport || !m_observation.racks()[*index].isReached))
        return {};
    const TimePoint asOf = rack.unanswered.front();
    rack.unanswered.pop_front();
    rack.isOutstanding = false;
    rack.failures = 0;
    rack.refusals = 0;
    rack.sequence = synced.sequence;
    rack.nextAt = step.now;
    return m_observation.applyReport(*index, synced, asOf, step.now);
}

void RackSyncer::handle(const RackSyncFailed& failed, Step& step)
{
    if (!m_token || !m_observation.findRack(failed.rack))
        return;
    Rack& rack = m_racks[failed.rack];
    if (!rack.isOutstanding)
        return;
    if (!rack.unanswered.empty())
        rack.unanswered.pop_front();
    rack.isOutstanding = false;
    rack.hasRenewed = false;
    rack.failures = std::min(rack.failures + 1, maxRetryDoublings);
    rack.nextAt = step.now + minRetryInterval * (1 << rack.failures);
    // The first refusal may belong to a sync under an earlier token of this daemon.
    rack.refusals = failed.isStaleToken && *m_token ? rack.refusals + 1 : 0;
    if (rack.refusals > 1)
        m_isTokenRefused = true;
}

} // namespace anvilmoor
