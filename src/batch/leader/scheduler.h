#pragma once

#include "anvilmoor/batch/configuration.h"
#include "anvilmoor/batch/event.h"
#include "batch/jobs/job_book.h"
#include "batch/leader/kept_answers.h"
#include "batch/leader/load_timeout.h"
#include "batch/leader/long_wait_log.h"
#include "batch/leader/overload_log.h"
#include "batch/leader/row_cleanup.h"
#include "batch/leader/waiting_job_log.h"
#include "batch/placement/placement_round.h"
#include "batch/reducer/step.h"
#include "batch/store/commit_pipeline.h"
#include "batch/store/leader_lease.h"
#include "batch/workers/run_supervisor.h"
#include "batch/workers/worker_pool.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// The part of the daemon that claims the leader lease and, while holding it, schedules all jobs. It loads the
// state that the previous leader stored, follows the job rows and the worker registry, and places tasks. Each
// assignment is stored before the start order is sent to the worker, and each run end is stored before it is
// acknowledged, because the worker then forgets it.
//
// After its permission to act has ended, the leader sends no order, and declares no run ended and no worker
// lost, until a commit is applied: another daemon may lead, and what workers report may be the effect of that
// daemon's orders.
class Scheduler {
public:
    Scheduler(LeaderLease&, const Configuration&, const PlacementPolicy&, const QueueOrder&,
        WorkerLeaseSettings, const StoreLimits&);

    void tick(Step&);
    // Places waiting tasks, if that is still due and allowed.
    void placementTurn(const PlacementTurn&, Step&);
    // Releases the lease once no commit is in flight, and never claims it again.
    void stepDown() { m_isSteppingDown = true; }
    bool hasSteppedDown() const { return m_isSteppingDown && !m_lease.isLeader() && !m_pipeline.isBusy(); }

    void rowsUpdated(const RowsUpdated&, Step&);
    void workersUpdated(const WorkersUpdated&, Step&);
    void commitAnswered(const CommitAnswered&, Step&);
    void readAnswered(const ReadAnswered&, Step&);
    void startAnswered(const StartAnswered&, Step&);
    void stopAnswered(const StopAnswered&, Step&);
    void holdAnswered(const HoldAnswered&, Step&);
    // Called after each event. Requests a placement turn and commits pending changes if that is due and
    // allowed.
    void finishEvent(Step&);

    // Whether the daemon may send orders, place tasks and answer for the stored state.
    bool mayAct(TimePoint now) const;
    // Returns the stored state of a job, the only state that may be reported to callers. Returns nullopt if
    // the job is not known, or if this daemon is not a leader with a valid lease that has finished loading.
    std::optional<JobState> stateOf(const JobId&, TimePoint now) const;

private:
    enum class Phase { Following, Loading, Leading };

    struct Batch {
        std::uint64_t number = 0;
        JobBook::Changes changes;
    };

    static ChangeLimits changeLimitsOf(const StoreLimits&);
    bool mayClaim(TimePoint now) const;
    void beginLoading(Step&);
    EarlierLeases earlierLeases(TimePoint now) const;
    void abandonLoading(Step&);
    void leadershipLost(Step&);
    // Keeps the answer until the leader may act again.
    void keepAnswer(WorkerAnswer);
    // Called after each applied commit, which renews the permission to act unless its answer took too long.
    void leaseRenewed(Step&);
    void requestProgress(Step&);
    void requestSpeeds(Step&);
    void restoreSpeeds(Step&);
    void addSpeedRow(CommitBatch&, TimePoint now);
    void finishLoading(Step&);
    void applyJobRow(const Row&, Step&);
    void cancelIfRequested(const JobId&, Step&);
    void cancelRequestedJobs(Step&);
    void place(Step&);
    void noteFirstPlacement(JobBook::Entry&, Step&);
    void stopVictims(const Eviction&, Step&);
    void commit(Step&);
    // What the next commit states. A leader that does not know the numbers keeps those of the lease row, with
    // their age.
    WaitingJobs waitingJobs(TimePoint now) const;
    void batchApplied(Step&);
    void batchRejected(Step&);
    // Fails jobs whose progress the store cannot keep.
    void failUnstorable(const std::vector<JobId>&, Step&);

    LeaderLease& m_lease;
    const Configuration& m_configuration;
    const ChangeLimits m_changeLimits;
    JobBook m_jobs;
    WorkerPool m_workers;
    RunSupervisor m_runs;
    PlacementRound m_placement;
    WaitingJobLog m_waitingJobLog;
    LongWaitLog m_longWaitLog;
    OverloadLog m_overloadLog;
    CommitPipeline m_pipeline;
    RowCleanup m_cleanup;
    Phase m_phase = Phase::Following;
    std::uint64_t m_epoch = 0; // of the latest leadership
    bool m_isSteppingDown = false;
    LoadTimeout m_loadTimeout;
    KeptAnswers m_keptAnswers;
    bool m_hasKeptCancelRequests = false;
    bool m_hasAllJobRows = false;
    TimePoint m_jobsKnownAt {}; // the job rows are known up to this time
    bool m_hasAllWorkers = false;
    std::optional<std::vector<Row>> m_loadedProgress;
    OperationId m_progressReadOperation = 0;
    std::optional<TimePoint> m_retryProgressReadAt;
    OperationId m_speedReadOperation = 0;
    std::vector<Row> m_loadedSpeeds; // applied to the workers once loading is finished
    std::size_t m_nextSpeedRow = 0;
    TimePoint m_speedsStoredAt {};
    bool m_isPlacementDue = false;
    TimePoint m_placedAt {};
    bool m_isTurnRequested = false;
    Milliseconds m_placementInterval { 0 }; // between the starts of two placement turns
    std::optional<Batch> m_batchInFlight;
    std::uint64_t m_lastBatch = 0;
    // The next commit stores the lease row only. It shows whether the store rejects all commits or only those
    // with certain rows.
    bool m_isProbeDue = false;
    bool m_shouldStoreSpeeds = true; // until the store rejects a commit
};

} // namespace anvilmoor::batch
