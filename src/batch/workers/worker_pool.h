#pragma once

#include "anvilmoor/batch/worker.h"
#include "batch/clock/remote_clock_estimate.h"
#include "batch/workers/run_progress.h"
#include "batch/workers/worker_health.h"
#include "batch/workers/worker_speed.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmoor::batch {

enum class RunPhase {
    AwaitingCommit, // assigned but not yet stored: no start order may be sent
    Starting, // the start order may be sent; the worker has not confirmed it
    Running,
    Stopping,
};

// A run that is active on a worker, or may be.
struct LiveRun {
    RunId id;
    Resources resources;
    int priority = 0;
    RunPhase phase = RunPhase::AwaitingCommit;
    std::uint64_t assignedChange = 0; // number of the job change that must be stored before the start
    TimePoint assignedAt {};
    TimePoint orderedAt {}; // time of the last start or stop order
    bool isOrderInFlight = false;
    bool isStopRepeated = false; // before the first stop order was answered or timed out
    bool mayStartLate = false; // a start order was not answered, so the worker may still carry it out
    bool wasListed = false; // this lifetime of the worker has listed it as active
    std::optional<TimePoint> acceptedAt; // when the worker confirmed the start
    std::optional<TimePoint> stopOrderedAt; // when the first stop order was sent
    std::optional<TimePoint> stopAcceptedAt; // when the worker confirmed the stop order
    RunProgress progress;
    bool hasMeasuredSpeed = false;
    bool isTrial = false; // shows whether its worker has recovered
    bool isSlow = false; // it lags although its worker is sound, so its lag tells nothing about the worker
};

// A run end that was processed, and the job change that must be stored before it is acknowledged to the
// worker, which then forgets it.
struct PendingEnd {
    std::uint64_t sequence = 0;
    JobId job;
    std::uint64_t change = 0; // number of the job change; 0: nothing has to be stored
};

// A hold request that has not been answered yet.
struct OpenHold {
    std::uint64_t number = 0;
    TimePoint sentAt {};
    Milliseconds wait { 0 }; // the worker may wait this long before it answers
    std::uint64_t acknowledgedEnd = 0;
};

// The leader's view of one lifetime of a worker.
struct Worker {
    WorkerRecord record;
    bool isListed = false; // in the worker registry
    bool isWithdrawalPending = false; // has withdrawn its registry entry; the next tick ends this lifetime
    std::optional<TimePoint> changedAfter; // its registry entry has changed after this time
    bool isConfirmed = false; // has answered this leader, and therefore rejects orders of earlier leaders
    RemoteClockEstimate clock;
    // Every lease that this worker may hold has expired after this time, and so have its runs, even if it
    // does not answer.
    TimePoint latestLeaseExpiry {};
    std::uint64_t processedEnd = 0; // sequence number of the last run end that was processed
    std::uint64_t storedEnd = 0; // run ends up to this one are stored and may be acknowledged
    std::deque<PendingEnd> pendingEnds; // processed and not stored yet, oldest first
    std::uint64_t acknowledgedEnd = 0;
    std::vector<OpenHold> openHolds; // oldest first
    std::uint64_t lastHold = 0; // number of the last hold request
    std::uint64_t lastAnsweredHold = 0; // number of the latest request that the worker has answered
    TimePoint holdSentAt {}; // the last one
    TimePoint nextHoldAt {};
    TimePoint dueAt = TimePoint::max(); // see WorkerDueQueue
    int unansweredHolds = 0;
    TimePoint noPlacementUntil {}; // no placements until then: it had less free capacity than calculated
    std::map<TaskId, LiveRun> runs;
    Resources used;
    WorkerHealth health;
    WorkerSpeed speed;

    Resources room() const;
};

// All workers that are in the registry or may still have active runs.
class WorkerPool {
public:
    Worker* find(const WorkerLifetime&);
    // Applies a registry entry. Other lifetimes of the worker are no longer listed, but they have not ended
    // for certain: the entry may be older than they are. `changedAfter`: if known, a time before the change.
    // Returns whether orders to the worker may depend on what has changed.
    bool update(const WorkerRecord&, TimePoint now, std::optional<TimePoint> changedAfter = {});
    // All lifetimes of the same worker but this one.
    std::vector<WorkerLifetime> otherLifetimes(const WorkerLifetime&) const;
    // Marks all lifetimes of the worker as not listed. Returns those that were listed before.
    std::vector<WorkerLifetime> unlist(const WorkerId&);
    std::vector<WorkerId> listedIds() const;
    // Returns the worker, and creates it if it is unknown: a stored assignment may name a worker that is no
    // longer listed.
    Worker& require(const WorkerLifetime&);
    void erase(const WorkerLifetime& lifetime) { m_workers.erase(lifetime); }

    LiveRun& attach(Worker&, LiveRun);
    void detach(Worker&, const TaskId&);

    std::map<WorkerLifetime, Worker>& all() { return m_workers; }
    const std::map<WorkerLifetime, Worker>& all() const { return m_workers; }

private:
    std::map<WorkerLifetime, Worker> m_workers;
};

} // namespace anvilmoor::batch
