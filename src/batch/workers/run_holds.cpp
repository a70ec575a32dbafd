#include "batch/workers/run_supervisor.h"

#include <algorithm>
#include <optional>
#include <string>

// Sends hold requests, which read the state of a worker and renew its lease, and handles the answers.

namespace anvilmoor::batch {

namespace {

// How long a worker delays its answer to a hold request while no run ends. Shorter waits renew leases more
// often, so that runs survive a longer network partition. In a large fleet, the wait is longer, so that the
// leader does not spend most of its CPU time on these requests.
constexpr Milliseconds minHoldWait { 500 };
constexpr std::int64_t maxHoldsPerSecond = 500;
// A lease is renewed at least this often before it would expire.
constexpr int minRenewalsPerLease = 6;
// Replaces holdWait() while a stop is in progress, so that the freed capacity becomes known at once, and a
// run that vanished without a reported end is detected soon after. Also before a worker may leave, so that a
// late answer is noticed soon.
constexpr Milliseconds stopWait { 120 };
// Pause between hold requests while run ends are not stored yet: they cannot be acknowledged, so the worker
// would answer at once with the same ends.
constexpr Milliseconds storeWait { 200 };
// The same for a draining worker, whose next ends have to be read before it leaves.
constexpr Milliseconds drainingStoreWait { 50 };
constexpr Milliseconds holdRetryDelay { 100 };
// After this many consecutive unanswered hold requests, the worker's lease is not extended: the worker may
// be gone.
constexpr int unansweredUntilLost = 3;
constexpr Milliseconds lostHoldInterval { 400 };
// To one draining worker, see overdueAnswerTime.
constexpr std::size_t maxOpenHolds = 3;
// A worker without runs is asked for its clock at this interval: the estimate may lag by 4% of the time since
// the last answer, and the lease of the next run is that much shorter.
constexpr Milliseconds idleHoldInterval { 30'000 };

// Whether the worker only has to be asked for its clock. A worker that has not answered its last hold request
// gets no runs, so it is asked until it answers.
bool isIdle(const Worker& worker)
{
    const bool hasUnacknowledgedEnds = worker.storedEnd > worker.acknowledgedEnd;
    return worker.runs.empty() && worker.isConfirmed && !worker.unansweredHolds && !hasUnacknowledgedEnds;
}

// Empty if the request is not known.
std::optional<OpenHold> takeOpenHold(Worker& worker, std::uint64_t number)
{
    const auto found = std::find_if(worker.openHolds.begin(), worker.openHolds.end(),
        [number](const OpenHold& open) { return open.number == number; });
    if (found == worker.openHolds.end())
        return std::nullopt;
    const OpenHold open = *found;
    worker.openHolds.erase(found);
    return open;
}

// When another request may be sent beside the open ones.
TimePoint nextHoldBesideOpenOnesAt(const Worker& worker)
{
    const bool mayLeave = worker.record.isDraining && worker.isConfirmed && !worker.runs.empty();
    const bool isLost = worker.unansweredHolds >= unansweredUntilLost;
    if (!mayLeave || isLost || worker.openHolds.size() >= maxOpenHolds)
        return TimePoint::max();
    return worker.openHolds.back().sentAt + worker.openHolds.back().wait + overdueAnswerTime;
}

} // namespace

// The condition of hold() under which it sends a request.
TimePoint RunSupervisor::nextHoldAt(const Worker& worker)
{
    const bool isNeeded = worker.isListed || !worker.runs.empty();
    if (!isNeeded)
        return TimePoint::max();
    if (!worker.openHolds.empty())
        return nextHoldBesideOpenOnesAt(worker);
    const Milliseconds pause = worker.record.isDraining ? drainingStoreWait : storeWait;
    if (worker.processedEnd > worker.storedEnd)
        return std::max(worker.nextHoldAt, worker.holdSentAt + pause);
    return isIdle(worker) ? std::max(worker.nextHoldAt, worker.holdSentAt + idleHoldInterval)
                          : worker.nextHoldAt;
}

Milliseconds RunSupervisor::holdWait() const
{
    constexpr std::int64_t msPerSecond = 1'000;
    const auto workers = static_cast<std::int64_t>(m_workers.all().size());
    const Milliseconds spread(workers * msPerSecond / maxHoldsPerSecond);
    const Milliseconds longest = m_settings.maxLease / minRenewalsPerLease;
    return std::max(minHoldWait, std::min(spread, longest));
}

// The progress of a draining worker's runs has to be known when it decides whether they are stopped.
Milliseconds RunSupervisor::holdWaitOf(const Worker& worker, TimePoint now) const
{
    if (worker.processedEnd > worker.storedEnd)
        return Milliseconds(0);
    const auto leavesAt = earliestDeparture(worker, now);
    const auto decideAt = leavesAt ? m_drainPolicy.nextDecisionAt(*leavesAt, now) : TimePoint::max();
    const bool isStopping = std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto& entry) {
        return entry.second.phase == RunPhase::Stopping && entry.second.stopAcceptedAt;
    });
    const bool mayLeaveSoon = leavesAt && decideAt == TimePoint::max();
    const Milliseconds wait = isStopping || mayLeaveSoon ? stopWait : holdWait();
    return std::min(wait, decideAt - now);
}

void RunSupervisor::hold(Worker& worker, Step& step)
{
    const bool hasUnacknowledgedEnds = worker.storedEnd > worker.acknowledgedEnd;
    const bool isLost = worker.unansweredHolds >= unansweredUntilLost;
    // The next lifetime of the worker numbers its ends anew and would forget ends that were never read. Only
    // ends that the worker has just reported are acknowledged, because it was then still the same lifetime.
    const bool mayAcknowledge = hasUnacknowledgedEnds && !worker.unansweredHolds && worker.openHolds.empty();
    HoldWorker look { worker.record.lifetime, worker.record.address, tokenOf(worker),
        mayAcknowledge ? worker.storedEnd : 0 };
    look.number = ++worker.lastHold;
    if (!worker.runs.empty() && worker.isConfirmed && !isLost) {
        const Milliseconds lease = leaseFor(worker);
        look.leaseUntil = worker.clock.at(step.now) + lease.count();
        extendLease(worker, lease, step.now);
        look.wait = holdWaitOf(worker, step.now);
    }
    worker.openHolds.push_back({ look.number, step.now, look.wait, look.acknowledgedEnd });
    worker.holdSentAt = step.now;
    step.emit(std::move(look));
}

void RunSupervisor::holdAnswered(const HoldAnswered& answer, Step& step)
{
    Worker* worker = addressee(answer.worker, answer.token);
    const auto open = worker ? takeOpenHold(*worker, answer.number) : std::nullopt;
    if (!open)
        return;
    recordSlowAnswer(*worker, "hold", open->sentAt + open->wait, answer.outcome, step);
    const bool isOther = answer.outcome == OrderOutcome::OtherLifetime
        || (answer.outcome == OrderOutcome::Accepted && answer.status.startedAtMs
            && answer.status.startedAtMs != answer.worker.startedAtMs);
    if (isOther) {
        endLifetime(*worker, "another lifetime answered a hold request", answer.status.startedAtMs, step);
        return;
    }
    const bool isOutrun = open->number < worker->lastAnsweredHold;
    if (answer.outcome != OrderOutcome::Accepted) {
        if (!isOutrun)
            holdUnanswered(*worker, step);
        return;
    }
    if (worker->unansweredHolds >= unansweredUntilLost)
        step.record("worker.answers", { { "worker", answer.worker.id.value() } });
    worker->unansweredHolds = 0;
    worker->nextHoldAt = step.now;
    worker->acknowledgedEnd = std::max(worker->acknowledgedEnd, open->acknowledgedEnd);
    // A later answer has told what is active since.
    if (isOutrun) {
        processEnds(*worker, answer.status.ended, step);
        return;
    }
    worker->lastAnsweredHold = open->number;
    if (!worker->isConfirmed) {
        m_hasCapacityChanged = true;
        endOtherLifetimes(answer.worker, step);
    }
    m_silentWorkers.forget(answer.worker);
    // It gets leases and new runs once the lease row no longer lists it as silent.
    worker->isConfirmed = !m_silentWorkers.mayBeListed(answer.worker);
    if (!worker->isConfirmed)
        worker->nextHoldAt = step.now + holdRetryDelay;
    worker->clock.note(answer.status.clock, step.now);
    processEnds(*worker, answer.status.ended, step);
    processActive(*worker, answer.status, step);
    findVanished(*worker, answer.status, open->sentAt, step);
}

void RunSupervisor::holdUnanswered(Worker& worker, Step& step)
{
    ++worker.unansweredHolds;
    const bool isLost = worker.unansweredHolds >= unansweredUntilLost;
    worker.nextHoldAt = step.now + (isLost ? lostHoldInterval : holdRetryDelay);
    if (worker.unansweredHolds == unansweredUntilLost)
        step.warn("worker.silent",
            { { "worker", worker.record.lifetime.id.value() },
                { "runs", std::to_string(worker.runs.size()) } });
}

} // namespace anvilmoor::batch
