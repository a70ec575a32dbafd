#pragma once

#include "anvilmoor/batch/worker.h"
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
    AwaitingCommit, // assigned, and not yet stored: the worker must not be told
    Starting, // the worker was told, and has not confirmed
    Running,
    Stopping,
};

// A run that is on a worker, or may be.
struct LiveRun {
    RunId id;
    Resources resources;
    int priority = 0;
    RunPhase phase = RunPhase::AwaitingCommit;
    std::uint64_t assignedChange = 0; // number of the job's change that has to be stored first
    TimePoint assignedAt {};
    TimePoint orderedAt {}; // when the last order was sent
    bool isOrderInFlight = false;
    bool mayStartLate = false; // a start had no answer
    std::optional<TimePoint> acceptedAt; // start confirmed
    std::optional<TimePoint> stopAcceptedAt;
    RunProgress progress;
    bool hasMeasuredSpeed = false;
};

// An end that was processed, and what has to be stored before the worker may forget it.
struct PendingEnd {
    std::uint64_t sequence = 0;
    JobId job;
    std::uint64_t change = 0; // the number of the job's change; 0: nothing
};

// One lifetime of a worker, as the leader knows it.
struct Worker {
    WorkerRecord record;
    bool isListed = false; // in the registry
    TimePoint listedAt {}; // when its entry was last seen to change
    bool isConfirmed = false; // has answered this leader, so that older leaders cannot reach it any more
    TimePoint clockReadAt {};
    WorkerClock clock = 0;
    // Whatever runs here without an answer is gone after this time.
    TimePoint leaseBound {};
    std::uint64_t processedEnd = 0;
    std::uint64_t storedEnd = 0; // ends up to here are in the store and may be acknowledged
    std::deque<PendingEnd> pendingEnds; // processed and not stored yet, oldest first
    std::uint64_t acknowledgedEnd = 0;
    bool isHoldInFlight = false;
    TimePoint holdSentAt {};
    std::uint64_t holdAcknowledges = 0;
    TimePoint nextHoldAt {};
    int unansweredHolds = 0;
    TimePoint roomDoubtedUntil {}; // it had less room than it seemed to have
    std::map<TaskId, LiveRun> runs;
    Resources used;
    WorkerHealth health;
    WorkerSpeed speed;

    // Of the worker's own clock, never ahead of it.
    WorkerClock clockAt(TimePoint now) const { return clock + (now - clockReadAt).count(); }
    Resources room() const;
};

// All workers that are listed or may still run something.
class WorkerPool {
public:
    Worker* find(const WorkerLifetime&);
    // Takes over what the registry says. Returns lifetimes that are over, because the worker was born again.
    std::vector<WorkerLifetime> update(const WorkerRecord&, TimePoint now);
    // Returns the lifetimes that were listed.
    std::vector<WorkerLifetime> unlist(const WorkerId&);
    std::vector<WorkerId> listedIds() const;
    // A worker that holds stored runs; it may not be listed any more.
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
