#include "batch/leader/scheduler.h"

#include "batch/store/tables.h"
#include "batch/workers/speed_rows.h"

#include <algorithm>
#include <string>
#include <utility>

// What the leader stores, and what follows from the store's answers.

namespace anvilmoor::batch {

namespace {

// Interval at which one row of worker speeds is stored, in rotation. Speeds change little, and the next
// leader measures lost ones again within seconds.
constexpr Milliseconds speedStoreInterval { 2'000 };
// A leader that has had no answer about new jobs for longer does not know how many jobs wait. The store
// answers after a second at the latest, also if there is nothing new.
constexpr Milliseconds maxAgeOfJobs { 2'000 };
// Each commit rewrites the lease row.
constexpr std::size_t maxBytesOfSilentWorkers = 8 * 1'024;

} // namespace

// A commit also contains the lease row, which it expects and writes, and a row of speeds.
ChangeLimits Scheduler::changeLimitsOf(const StoreLimits& store)
{
    constexpr std::size_t otherEntries = 3;
    constexpr std::size_t otherBytes = 192 * 1'024;
    return { std::min(maxRowsPerCommit, store.transactionEntries - otherEntries),
        std::min(maxBytesPerCommit, store.transactionBytes - otherBytes), store.rowBytes };
}

void Scheduler::commit(Step& step)
{
    if (m_pipeline.isBusy() || (!m_jobs.hasChanges() && !m_pipeline.isRenewalDue(step.now)))
        return;
    Batch batch { ++m_lastBatch, {} };
    if (!m_isProbeDue)
        batch.changes = m_jobs.collectChanges(m_changeLimits);
    if (mayAct(step.now))
        failUnstorable(batch.changes.unstorable, step);
    CommitBatch commit { batch.number, batch.changes.writes, batch.changes.removals };
    addSpeedRow(commit, step.now);
    // noteStored() does not use the written rows, so they are not kept until the answer.
    batch.changes.writes.clear();
    m_batchInFlight = std::move(batch);
    if (m_phase == Phase::Leading) {
        const std::size_t maxBytes = std::min(maxBytesOfSilentWorkers, m_changeLimits.rowBytes / 4);
        m_lease.setSilentWorkers(m_runs.silentWorkersOfNextCommit(maxBytes, step.now));
        m_lease.setHasLaterLeases(m_runs.hasLaterLeases(step.now));
    }
    step.emit(m_pipeline.submit(std::move(commit), waitingJobs(step.now), step.now));
}

WaitingJobs Scheduler::waitingJobs(TimePoint now) const
{
    if (m_phase != Phase::Leading || now > m_jobsKnownAt + maxAgeOfJobs)
        return m_lease.record().waitingJobs;
    WaitingJobs waiting { m_jobs.waitingJobs(), m_lease.storeClock(now) };
    // The names of queues that were removed long ago are not bounded by the configuration.
    constexpr std::size_t bytesPerQueue = 16;
    std::size_t bytes = 0;
    for (const auto& [queue, count] : waiting.byQueue)
        bytes += queue.size() + bytesPerQueue;
    return bytes <= m_changeLimits.rowBytes / 2 ? waiting : WaitingJobs {};
}

void Scheduler::addSpeedRow(CommitBatch& commit, TimePoint now)
{
    const bool isDue = now >= m_speedsStoredAt + speedStoreInterval;
    if (m_phase != Phase::Leading || !isDue || !m_shouldStoreSpeeds)
        return;
    m_speedsStoredAt = now;
    m_nextSpeedRow = (m_nextSpeedRow + 1) % speedRowCount(m_workers);
    commit.writes.push_back(encodeSpeeds(m_workers, m_nextSpeedRow));
}

void Scheduler::commitAnswered(const CommitAnswered& answer, Step& step)
{
    if (m_cleanup.answered(answer, step.now))
        return;
    switch (m_pipeline.answered(answer, step.now).result) {
    case CommitPipeline::Result::None:
        return;
    case CommitPipeline::Result::Claimed:
        beginLoading(step);
        return;
    case CommitPipeline::Result::Applied:
        m_runs.commitApplied();
        batchApplied(step);
        leaseRenewed(step);
        return;
    case CommitPipeline::Result::Released:
        leadershipLost(step);
        return;
    case CommitPipeline::Result::Rejected:
        batchRejected(step);
        return;
    case CommitPipeline::Result::LeaseLost:
        if (m_phase != Phase::Following)
            leadershipLost(step);
        return;
    }
}

void Scheduler::batchApplied(Step& step)
{
    if (!m_batchInFlight)
        return;
    const Batch batch = std::move(*m_batchInFlight);
    m_batchInFlight.reset();
    if (std::exchange(m_isProbeDue, false)) {
        if (const auto job = m_jobs.shrinkRejected())
            step.warn("job.row_rejected", { { "job", job->value() } });
    }
    m_jobs.noteStored(batch.changes);
    m_runs.changesStored();
    for (const JobBook::Changes::Job& job : batch.changes.jobs)
        m_runs.progressStored(job.id, job.change, step);
}

void Scheduler::batchRejected(Step& step)
{
    if (!m_batchInFlight)
        return;
    const Batch batch = std::move(*m_batchInFlight);
    m_batchInFlight.reset();
    m_isProbeDue = true;
    m_shouldStoreSpeeds = false;
    m_jobs.noteRejected(batch.changes);
    step.warn("store.batch_rejected",
        { { "jobs", std::to_string(batch.changes.jobs.size()) },
            { "removals", std::to_string(batch.changes.expired.size()) } });
}

void Scheduler::failUnstorable(const std::vector<JobId>& jobs, Step& step)
{
    for (const JobId& job : jobs) {
        JobBook::Entry& entry = *m_jobs.find(job);
        const RunConsequence consequence = entry.progress.fail();
        step.warn("job.unstorable",
            { { "job", job.value() }, { "runs", std::to_string(consequence.toStop.size()) } });
        if (!consequence.newState) {
            m_jobs.noteUnwritable(job);
            continue;
        }
        m_jobs.noteChange(entry, step.now);
        m_runs.stopAll(consequence.toStop, step);
    }
}

} // namespace anvilmoor::batch
