#pragma once

#include "anvilmoor/batch/event.h"
#include "batch/jobs/job_book.h"
#include "batch/reducer/step.h"
#include "batch/workers/drain_policy.h"
#include "batch/workers/silent_workers.h"
#include "batch/workers/worker_due_queue.h"
#include "batch/workers/worker_pool.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// The platform's limits on leases and stops, and the interval of the workers' heartbeats.
struct WorkerLeaseSettings {
    Milliseconds maxLease { 6'000 }; // how long a worker may keep its runs without a renewal of the lease
    Milliseconds stopTimeout { 200 }; // longest time that a worker takes to stop a run
    Milliseconds heartbeatInterval { 1'500 }; // between two updates of a worker's registry entry
};

// How long the longest lease lasts in real time at most: workers' clocks may be slow.
Milliseconds longestLeaseInRealTime(const WorkerLeaseSettings&);

// Manages each assigned run over its lifetime on the worker: starts it once its assignment is stored, renews
// its lease, stops it, and processes its end or declares it lost. A task gets a new run only after its
// previous run has certainly ended: the worker has reported the end, the worker's lifetime is over and its
// next one cannot start the run either, or every lease that the worker was given has expired.
class RunSupervisor {
public:
    RunSupervisor(WorkerPool&, JobBook&, WorkerLeaseSettings);

    // Begins a new leadership; the attached runs come from stored assignments. Runs that earlier leaders
    // started end at the latest with the leases that these leaders may grant until the given time, or at the
    // times that the last of them has stored.
    void begin(std::uint64_t epoch, TimePoint earlierLeadersActUntil, EarlierLeases earlierLeases = {});
    // Attaches a stored assignment.
    void adopt(const JobProgress&, const RunId&, const WorkerLifetime&, TimePoint now);
    // Attaches new assignments. The start orders are sent once the change is stored.
    void attach(const JobProgress&, const PlacementUnit&, std::span<const WorkerLifetime>,
        std::uint64_t change, TimePoint now);
    // Called when the job's progress is stored up to this change.
    void progressStored(const JobId&, std::uint64_t change, Step&);
    // What the next commit states about leases: silent workers, and whether a lease may last longer than the
    // longest one from now.
    std::map<WorkerLifetime, StoreClock> silentWorkersOfNextCommit(std::size_t maxBytes, TimePoint now);
    bool hasLaterLeases(TimePoint now) const { return now < m_lateOrdersUntil; }
    // Called when a commit is applied, before its effects are passed on.
    void commitApplied() { m_silentWorkers.stored(); }
    // Called when more job changes are stored. Marks the run ends that led to them for acknowledgement.
    void changesStored();

    void workersUpdated(const WorkersUpdated&, Step&);
    void startAnswered(const StartAnswered&, Step&);
    void stopAnswered(const StopAnswered&, Step&);
    void holdAnswered(const HoldAnswered&, Step&);
    void stop(const RunId&, Step&);
    void stopAll(std::span<const RunId>, Step&);

    // Sends the orders that are due, and gives up runs that have certainly ended. Like the functions that
    // take answers and stop runs, called only while the leader may act.
    void tick(Step&);

    // Whether a change since the last call may allow a waiting task to be placed. Resets the flag.
    bool takeCapacityChanged() { return std::exchange(m_hasCapacityChanged, false); }

private:
    // Has the worker visited on the next tick. Must be called whenever something about it changes that orders
    // may depend on.
    void markDue(Worker& worker) { m_dueQueue.add(worker, TimePoint {}); }
    void tickWorker(Worker&, Step&);
    // When the worker has to be visited again if nothing about it changes.
    TimePoint nextDueAt(const Worker&, TimePoint now) const;
    static TimePoint nextOrderAt(const Worker&, const LiveRun&);
    static TimePoint nextHoldAt(const Worker&);
    void tickRun(Worker&, LiveRun&, Step&);
    // Stops the runs of a draining worker that may not end while it is there.
    void stopDrainedRuns(Worker&, Step&);
    std::vector<RunId> runsToStopForDrain(const Worker&, TimePoint leavesAt, TimePoint now);
    std::optional<Milliseconds> shortestTimeToEnd(const Worker&, const LiveRun&, TimePoint now);
    static void recordDrain(const Worker&, Step&);
    // `expectedAt`: when the answer would have arrived without any delay.
    static void recordSlowAnswer(
        const Worker&, std::string_view order, TimePoint expectedAt, OrderOutcome, Step&);
    void sendStart(Worker&, LiveRun&, Step&);
    void sendStop(Worker&, LiveRun&, Step&);
    void abandonStart(Worker&, LiveRun&, Step&);
    void hold(Worker&, Step&);
    static void holdUnanswered(Worker&, Step&);
    Milliseconds holdWait() const;
    Milliseconds holdWaitOf(const Worker&, TimePoint now) const;
    void extendLease(Worker&, Milliseconds, TimePoint now);
    Milliseconds leaseFor(const Worker&) const;
    void rejected(Worker&, LiveRun&, OrderOutcome, Step&);
    void startNotSent(Worker&, LiveRun&, Step&);
    void advanceStoredEnd(Worker&);
    void processEnds(Worker&, std::span<const EndedRun>, Step&);
    void processActive(Worker&, const WorkerStatus&, Step&);
    void recordUnexpected(const Worker&, const RunId&, Step&) const;
    void measureSpeed(Worker&, LiveRun&);
    void judgeProgress(Worker&, Step&);
    // Ends trials whose run has gone on for long: it may never end.
    void endLongTrials(Worker&, Step&);
    bool runsUntilCancelled(const TaskId&) const;
    // A completed trial run shows that the runs which lag beside it are slow, and not the worker.
    void noteSuccess(Worker&, const RunId&);
    static void markSlowRuns(Worker&);
    static void noteStarted(LiveRun&, TimePoint now);
    LiveRun* takeAnswer(Worker&, const RunId&, WorkerClock, TimePoint now);
    // `askedAt`: when the request was sent that the status answers.
    void findVanished(Worker&, const WorkerStatus&, TimePoint askedAt, Step&);
    bool hasWithdrawnEntry(const Worker&, TimePoint now) const;
    void workerGone(const WorkerId&, TimePoint now);
    void forgetEntryChanges();
    // Ends the run in the pool and in its job, and stops the runs that have become useless.
    void finish(Worker&, const RunId&, RunEnd, const std::string& checkpoint, Step&);
    // `live`: what was known of the run; null if it was not expected on this worker.
    void applyEnd(const Worker&, const EndedRun&, const LiveRun* live, Step&);
    // Called when this lifetime of the worker has answered first, so that the runs of all others have ended.
    void endOtherLifetimes(const WorkerLifetime&, Step&);
    // Called when the worker has restarted or left. `nextStartedAtMs`: start of the lifetime that answered
    // instead; 0 if it is not known.
    void endLifetime(Worker&, std::string_view reason, std::int64_t nextStartedAtMs, Step&);
    static void recordLifetimeEnd(
        const Worker&, std::string_view reason, std::int64_t nextStartedAtMs, Step&);
    void moveToNextLifetime(Worker&, std::int64_t nextStartedAtMs, Step&);
    void declareRunsLost(Worker&, std::string_view reason, Step&);
    void forgetIfGone(const WorkerLifetime&);
    LiveRun* findRun(Worker&, const RunId&);
    std::uint64_t tokenOf(const Worker&) const;
    Worker* addressee(const WorkerLifetime&, std::uint64_t token);

    WorkerPool& m_workers;
    JobBook& m_jobs;
    WorkerLeaseSettings m_settings;
    DrainPolicy m_drainPolicy;
    std::uint64_t m_epoch = 0;
    TimePoint m_earlierLeadersActUntil {};
    EarlierLeases m_earlierLeases;
    SilentWorkers m_silentWorkers;
    std::optional<TimePoint> m_adoptedAt; // when the first stored assignment was attached
    TimePoint m_lateOrdersUntil {}; // until then, late orders of this leader may be carried out
    std::set<WorkerLifetime> m_workersWithPendingEnds; // workers with pending ends
    WorkerDueQueue m_dueQueue;
    TimePoint m_allMarkedDueAt {}; // when all workers were last marked
    bool m_hasCapacityChanged = false;
    StepRates m_stepRates;
    // Changes of the registry before this time were contained in earlier updates than the next one.
    std::optional<TimePoint> m_registryKnownAt;
};

} // namespace anvilmoor::batch
