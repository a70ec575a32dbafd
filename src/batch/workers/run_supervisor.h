#pragma once

#include "anvilmoor/batch/event.h"
#include "batch/jobs/job_book.h"
#include "batch/reducer/step.h"
#include "batch/workers/worker_pool.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// How long workers may keep what they run without an answer, as the platform states it.
struct WorkerLeaseSettings {
    Milliseconds longest { 6'000 };
    Milliseconds stopTimeout { 200 }; // a stop takes at most this long
};

// Carries each assigned run through its life on the worker: told to start once its assignment is stored, kept
// by renewed leases, stopped, ended or given up. A task gets a new run only after its last one is certainly
// over: the worker says so, its lifetime has ended, or every lease that it was given has passed.
class RunSupervisor {
public:
    RunSupervisor(WorkerPool&, JobBook&, WorkerLeaseSettings);

    // A new leadership: what is attached comes from stored assignments. Starts of earlier leaders end with
    // the leases that these may have given until now.
    void begin(std::uint64_t epoch, TimePoint now);
    // Attaches a stored assignment.
    void adopt(const JobProgress&, const RunId&, const WorkerLifetime&, TimePoint now);
    // Attaches new assignments, to be told to the workers once the change is stored.
    void attach(const JobProgress&, const PlacementUnit&, std::span<const WorkerLifetime>,
        std::uint64_t change, TimePoint now);
    // The store holds the job's progress up to this change.
    void progressStored(const JobId&, std::uint64_t change, Step&);
    // The store holds more changes of jobs: the ends that led to them may be acknowledged.
    void changesStored();

    void workersFollowed(const WorkersFollowed&, Step&);
    void startAnswered(const StartAnswered&, Step&);
    void stopAnswered(const StopAnswered&, Step&);
    void holdAnswered(const HoldAnswered&, Step&);
    void stop(const RunId&, Step&);
    void stopAll(std::span<const RunId>, Step&);

    // Sends what is due. Only a daemon that holds the lease calls this.
    void tick(Step&);

    // True once something has changed that may let a waiting task be placed.
    bool takeRoomChanged() { return std::exchange(m_hasRoomChanged, false); }

private:
    void tickWorker(Worker&, Step&);
    void tickRun(Worker&, LiveRun&, Step&);
    void sendStart(Worker&, LiveRun&, Step&);
    void sendStop(Worker&, LiveRun&, Step&);
    void hold(Worker&, Step&);
    void noteClock(Worker&, WorkerClock, TimePoint now);
    void extendLease(Worker&, Milliseconds, TimePoint now);
    Milliseconds leaseFor(const Worker&) const;
    void rejected(Worker&, LiveRun&, OrderOutcome, Step&);
    void advanceStoredEnd(Worker&) const;
    void processEnds(Worker&, std::span<const EndedRun>, Step&);
    void processActive(Worker&, const WorkerStatus&, Step&);
    void measureSpeed(Worker&, LiveRun&);
    void judgeProgress(Worker&, Step&);
    static void noteStarted(LiveRun&, TimePoint now);
    LiveRun* takeAnswer(Worker&, const RunId&, WorkerClock, TimePoint now);
    void findVanished(Worker&, std::span<const ActiveRun>, Step&);
    void workerGone(const WorkerId&, Step&);
    // Ends the run here and in its job, and stops what that makes useless.
    void finish(Worker&, const RunId&, RunEnd, const std::string& checkpoint, Step&);
    void applyEnd(const Worker&, const RunId&, RunEnd, const std::string& checkpoint, Step&);
    // The worker was born again or has left.
    void lifetimeOver(Worker&, std::string_view reason, Step&);
    void giveUpRuns(Worker&, std::string_view reason, Step&);
    void forgetIfGone(const WorkerLifetime&);
    LiveRun* findRun(Worker&, const RunId&);
    Worker* addressee(const WorkerLifetime&, std::uint64_t token);

    WorkerPool& m_workers;
    JobBook& m_jobs;
    WorkerLeaseSettings m_settings;
    std::uint64_t m_epoch = 0;
    bool m_hasRoomChanged = false;
    StepRates m_stepRates;
    std::optional<TimePoint> m_followedAt; // when the registry was last read
};

} // namespace anvilmoor::batch
