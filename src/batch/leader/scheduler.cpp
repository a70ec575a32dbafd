#include "batch/leader/scheduler.h"

#include "batch/jobs/job_codec.h"
#include "batch/store/tables.h"
#include "batch/workers/speed_rows.h"

#include <algorithm>
#include <cmath>
#include <span>
#include <string>
#include <utility>

namespace anvilmoor::batch {

namespace {

// Minimum time between two placement rounds. Events that arrive in between are handled by one round.
constexpr Milliseconds minPlacementInterval { 10 };
// A round starts at the earliest after this multiple of the duration of the previous one, so that placement
// leaves at least half of the time to everything else.
constexpr int placementIntervalFactor = 2;
// Upper limit of that time. A round may appear long because the host was suspended during it.
constexpr Milliseconds maxPlacementPause { 500 };
// Maximum time between two placement rounds. Placement may also become possible through the passage of time
// alone: an occurrence falls due, or a suspect worker is due for a trial.
constexpr Milliseconds maxPlacementInterval { 250 };
constexpr Milliseconds progressReadRetryDelay { 100 };

std::string namesOf(std::span<const WorkerLifetime> workers)
{
    std::string names;
    for (const WorkerLifetime& worker : workers)
        names += (names.empty() ? "" : " ") + worker.id.value();
    return names;
}

} // namespace

Scheduler::Scheduler(LeaderLease& lease, const Configuration& configuration, const PlacementPolicy& placement,
    const QueueOrder& order, WorkerLeaseSettings settings, const StoreLimits& storeLimits)
    : m_lease(lease)
    , m_configuration(configuration)
    , m_changeLimits(changeLimitsOf(storeLimits))
    , m_runs(m_workers, m_jobs, settings)
    , m_placement(placement, order, settings.stopTimeout, storeLimits)
    , m_waitingJobLog(m_jobs, m_workers, m_placement)
    , m_longWaitLog(m_jobs, m_placement)
    , m_overloadLog(m_jobs, m_workers, m_placement)
    , m_pipeline(lease)
    , m_cleanup(m_jobs)
    , m_keptAnswers(m_runs)
{
}

bool Scheduler::mayClaim(TimePoint now) const
{
    return !m_isSteppingDown && m_pipeline.mayClaim(now) && m_lease.isFree(now, m_loadTimeout.claimDelay());
}

bool Scheduler::mayAct(TimePoint now) const
{
    return m_phase == Phase::Leading && m_lease.mayAct(now) && !m_pipeline.isReleasing();
}

void Scheduler::tick(Step& step)
{
    // A repeated commit and a release state it as well.
    if (m_phase == Phase::Leading)
        m_lease.setHasLaterLeases(m_runs.hasLaterLeases(step.now));
    if (auto repeated = m_pipeline.resend(step.now))
        step.emit(std::move(*repeated));
    if (m_phase == Phase::Following) {
        if (mayClaim(step.now))
            step.emit(m_pipeline.claim(step.now));
        return;
    }
    if (m_isSteppingDown && !m_pipeline.isBusy()) {
        step.emit(m_pipeline.release(step.now));
        return;
    }
    if (m_phase == Phase::Loading && !m_pipeline.isBusy() && m_loadTimeout.isOver(step.now)) {
        abandonLoading(step);
        return;
    }
    if (m_phase == Phase::Loading && m_retryProgressReadAt && step.now >= *m_retryProgressReadAt)
        requestProgress(step);
    if (mayAct(step.now)) {
        m_runs.tick(step);
        m_cleanup.tick(step);
        m_waitingJobLog.tick(step);
        m_longWaitLog.tick(step);
        m_overloadLog.tick(step);
    }
    if (step.now >= m_placedAt + maxPlacementInterval)
        m_isPlacementDue = true;
}

void Scheduler::abandonLoading(Step& step)
{
    step.warn("leader.load_timeout",
        { { "epoch", std::to_string(m_lease.epoch()) },
            { "limit_ms", std::to_string(m_loadTimeout.limit().count()) },
            { "has_jobs", m_hasAllJobRows ? "yes" : "no" }, { "has_workers", m_hasAllWorkers ? "yes" : "no" },
            { "has_progress", m_loadedProgress ? "yes" : "no" } });
    m_loadTimeout.noteExpired();
    step.emit(m_pipeline.release(step.now));
}

void Scheduler::beginLoading(Step& step)
{
    m_loadTimeout.begin(step.now);
    m_epoch = m_lease.epoch();
    step.record("leader.claimed", { { "epoch", std::to_string(m_epoch) } });
    m_phase = Phase::Loading;
    // An earlier leader acts for a lease duration after its last applied commit, which precedes this claim.
    m_runs.begin(m_epoch, step.now + leaseDuration, earlierLeases(step.now));
    step.emit(FollowLeaderTables { true });
    requestProgress(step);
    requestSpeeds(step);
}

EarlierLeases Scheduler::earlierLeases(TimePoint now) const
{
    const auto boundOf = [this, now](StoreClock endsBy) {
        return LeaseBound { endsBy, m_lease.timeOf(endsBy, now).value_or(TimePoint::max()) };
    };
    EarlierLeases earlier;
    const StoreClock stored = m_pipeline.earlierLeasesEndBy();
    // Earlier leaders act no longer than one whose last commit is sent now.
    earlier.all = boundOf(stored ? stored : m_lease.leasesEndBy(now));
    for (const auto& [worker, endsBy] : m_lease.record().silentWorkers)
        earlier.silentWorkers.emplace(worker, boundOf(endsBy));
    return earlier;
}

// Loading finishes without the speeds; they are applied when they arrive.
void Scheduler::requestSpeeds(Step& step)
{
    m_speedReadOperation = (m_speedReadOperation + 1) | speedReadBit;
    RowKey first = speedKey(0);
    first.key.clear();
    step.emit(ReadRows { m_speedReadOperation, std::move(first), {} });
}

void Scheduler::restoreSpeeds(Step& step)
{
    for (const Row& row : m_loadedSpeeds) {
        if (const auto problem = batch::restoreSpeeds(row.value, m_workers))
            step.warn("store.unreadable_row", { { "key", row.key.key }, { "reason", *problem } });
    }
    m_loadedSpeeds.clear();
}

void Scheduler::requestProgress(Step& step)
{
    m_retryProgressReadAt.reset();
    m_progressReadOperation = (m_progressReadOperation + 1) | progressReadBit;
    step.emit(ReadRows { m_progressReadOperation, progressKey(JobId()), {} });
}

void Scheduler::readAnswered(const ReadAnswered& answer, Step& step)
{
    if (m_phase != Phase::Following && answer.operation == m_speedReadOperation) {
        m_loadedSpeeds = answer.reply.rows;
        if (m_phase == Phase::Leading)
            restoreSpeeds(step);
        return;
    }
    if (m_phase != Phase::Loading || answer.operation != m_progressReadOperation)
        return;
    if (!answer.reply.isOk) {
        m_retryProgressReadAt = step.now + progressReadRetryDelay;
        return;
    }
    m_loadedProgress = answer.reply.rows;
    finishLoading(step);
}

void Scheduler::finishLoading(Step& step)
{
    if (m_phase != Phase::Loading || !m_hasAllJobRows || !m_hasAllWorkers || !m_loadedProgress)
        return;
    // Adopted runs may have to be stopped at once.
    if (!m_lease.mayAct(step.now) || m_pipeline.isReleasing())
        return;
    for (const Row& row : *m_loadedProgress) {
        const JobId job(row.key.key);
        JobBook::Entry* entry = m_jobs.find(job);
        if (!entry) {
            step.warn("store.progress_without_job", { { "job", job.value() } });
            continue;
        }
        if (auto problem = entry->progress.restoreProgress(row.value)) {
            step.warn("store.unreadable_row", { { "job", job.value() }, { "reason", *problem } });
            m_jobs.noteUnreadable(*entry);
            continue;
        }
        for (const RunId& run : entry->progress.assignedRuns()) {
            const auto& assignment = entry->progress.find(run.task)->assignment;
            m_runs.adopt(entry->progress, run, assignment->worker, step.now);
        }
        m_jobs.noteRestored(*entry, step.now);
    }
    m_loadedProgress.reset();
    m_phase = Phase::Leading;
    m_loadTimeout.noteLoaded();
    m_speedsStoredAt = step.now;
    restoreSpeeds(step);
    m_isPlacementDue = true;
    step.record("leader.loaded",
        { { "epoch", std::to_string(m_lease.epoch()) }, { "jobs", std::to_string(m_jobs.size()) },
            { "workers", std::to_string(m_workers.all().size()) } });
    cancelRequestedJobs(step);
}

void Scheduler::cancelRequestedJobs(Step& step)
{
    for (JobBook::Entry* entry : m_jobs.openEntries())
        cancelIfRequested(entry->progress.job().specification.id, step);
}

void Scheduler::leadershipLost(Step& step)
{
    step.warn("leader.lost",
        { { "epoch", std::to_string(m_epoch) }, { "stored_epoch", std::to_string(m_lease.epoch()) },
            { "discarded_answers", std::to_string(m_keptAnswers.size()) } });
    m_phase = Phase::Following;
    m_jobs = JobBook();
    m_workers = WorkerPool();
    m_placement.clear();
    m_waitingJobLog.clear();
    m_longWaitLog.clear();
    m_batchInFlight.reset();
    m_isProbeDue = false;
    m_shouldStoreSpeeds = true;
    m_cleanup.clear();
    m_keptAnswers.clear();
    m_hasKeptCancelRequests = false;
    m_hasAllJobRows = false;
    m_hasAllWorkers = false;
    m_loadedProgress.reset();
    m_loadedSpeeds.clear();
    m_retryProgressReadAt.reset();
    step.emit(FollowLeaderTables { false });
}

void Scheduler::rowsUpdated(const RowsUpdated& update, Step& step)
{
    if (m_phase == Phase::Following || update.table != SchedulerTable::Jobs)
        return;
    for (const Row& row : update.rows)
        applyJobRow(row, step);
    m_hasAllJobRows = m_hasAllJobRows || update.isComplete;
    m_jobsKnownAt = update.knownAt;
    m_isPlacementDue = true;
    finishLoading(step);
}

void Scheduler::applyJobRow(const Row& row, Step& step)
{
    const auto name = parseJobKey(row.key.key);
    if (row.isDeleted || !name)
        return;
    if (name->kind == JobRowKind::CancelRequest) {
        m_jobs.requestCancel(name->job, row.version, step.now);
        cancelIfRequested(name->job, step);
        return;
    }
    auto job = decodeJob(row.value);
    if (!job) {
        step.warn("store.unreadable_row", { { "job", name->job.value() }, { "reason", job.error().detail } });
        return;
    }
    if (m_jobs.add(std::move(*job)))
        cancelIfRequested(name->job, step);
}

void Scheduler::cancelIfRequested(const JobId& job, Step& step)
{
    JobBook::Entry* entry = m_jobs.find(job);
    if (m_phase != Phase::Leading || !entry || entry->isUnreadable || !m_jobs.isCancelRequested(job))
        return;
    if (!mayAct(step.now)) {
        m_hasKeptCancelRequests = true;
        return;
    }
    const RunConsequence consequence = entry->progress.cancel();
    if (!consequence.newState)
        return;
    step.record(
        "job.cancelled", { { "job", job.value() }, { "runs", std::to_string(consequence.toStop.size()) } });
    m_jobs.noteChange(*entry, step.now);
    m_runs.stopAll(consequence.toStop, step);
}

void Scheduler::workersUpdated(const WorkersUpdated& update, Step& step)
{
    if (m_phase == Phase::Following)
        return;
    m_runs.workersUpdated(update, step);
    m_hasAllWorkers = m_hasAllWorkers || update.isComplete;
    finishLoading(step);
}

void Scheduler::startAnswered(const StartAnswered& answer, Step& step)
{
    if (mayAct(step.now))
        m_runs.startAnswered(answer, step);
    else
        keepAnswer(answer);
}

void Scheduler::stopAnswered(const StopAnswered& answer, Step& step)
{
    if (mayAct(step.now))
        m_runs.stopAnswered(answer, step);
    else
        keepAnswer(answer);
}

void Scheduler::holdAnswered(const HoldAnswered& answer, Step& step)
{
    if (mayAct(step.now))
        m_runs.holdAnswered(answer, step);
    else
        keepAnswer(answer);
}

void Scheduler::keepAnswer(WorkerAnswer answer)
{
    // Before loading has finished, answers can only be to orders of an earlier leadership.
    if (m_phase == Phase::Leading)
        m_keptAnswers.keep(std::move(answer));
}

void Scheduler::leaseRenewed(Step& step)
{
    finishLoading(step);
    if (!mayAct(step.now))
        return;
    m_keptAnswers.deliver(step);
    if (std::exchange(m_hasKeptCancelRequests, false))
        cancelRequestedJobs(step);
    m_runs.tick(step);
}

void Scheduler::finishEvent(Step& step)
{
    if (m_phase == Phase::Following || m_isSteppingDown)
        return;
    m_isPlacementDue = m_runs.takeCapacityChanged() || m_isPlacementDue;
    const bool isDue = m_isPlacementDue && step.now >= m_placedAt + m_placementInterval;
    if (isDue && !m_isTurnRequested && mayAct(step.now)) {
        m_isTurnRequested = true;
        step.emit(RequestPlacementTurn {});
    }
    commit(step);
}

void Scheduler::placementTurn(const PlacementTurn& turn, Step& step)
{
    m_isTurnRequested = false;
    m_placementInterval
        = std::clamp(turn.lastDuration * placementIntervalFactor, minPlacementInterval, maxPlacementPause);
    if (m_isPlacementDue && !m_isSteppingDown && mayAct(step.now))
        place(step);
}

void Scheduler::place(Step& step)
{
    m_isPlacementDue = false;
    m_placedAt = step.now;
    const PlacementOutcome outcome
        = m_placement.run(m_jobs, m_workers, m_configuration, step.now, step.wallTime);
    for (const PlacementDecision& decision : outcome.placed) {
        JobBook::Entry* entry = m_jobs.find(decision.unit.job);
        if (!entry->firstPlacedAt && !entry->progress.hasBegun())
            noteFirstPlacement(*entry, step);
        entry->progress.assign(decision.unit, decision.workers);
        m_jobs.noteChange(*entry, step.now);
        m_runs.attach(entry->progress, decision.unit, decision.workers, entry->change, step.now);
        step.record("run.assigned",
            { { "job", decision.unit.job.value() }, { "step", std::to_string(decision.unit.step) },
                { "task", std::to_string(decision.unit.tasks.front()) },
                { "tasks", std::to_string(decision.unit.tasks.size()) },
                { "run", std::to_string(decision.unit.run) }, { "workers", namesOf(decision.workers) } });
    }
    for (const Eviction& eviction : outcome.evictions)
        stopVictims(eviction, step);
}

void Scheduler::noteFirstPlacement(JobBook::Entry& entry, Step& step)
{
    const AcceptedJob& job = entry.progress.job();
    entry.firstPlacedAt = step.wallTime;
    m_longWaitLog.notePlaced(job);
    int tasks = 1;
    for (const StepSpecification& each : job.specification.steps)
        tasks = std::max(tasks, each.isGang ? each.taskCount : 1);
    step.emit(RecordWait { job.terms.priority, tasks, step.wallTime - job.dueAt(0) });
}

void Scheduler::stopVictims(const Eviction& eviction, Step& step)
{
    for (const RunId& victim : eviction.victims) {
        if (JobBook::Entry* entry = m_jobs.find(victim.task.job))
            ++entry->evictedRuns;
        step.record("run.evicted",
            { { "job", victim.task.job.value() }, { "step", std::to_string(victim.task.step) },
                { "task", std::to_string(victim.task.index) }, { "run", std::to_string(victim.run) },
                { "for_job", eviction.beneficiary.value() },
                { "cost", std::to_string(std::lround(eviction.cost)) } });
    }
    m_runs.stopAll(eviction.victims, step);
}

std::optional<JobState> Scheduler::stateOf(const JobId& job, TimePoint now) const
{
    const JobBook::Entry* entry = m_jobs.find(job);
    if (!mayAct(now) || !entry)
        return std::nullopt;
    return entry->storedState;
}

} // namespace anvilmoor::batch
