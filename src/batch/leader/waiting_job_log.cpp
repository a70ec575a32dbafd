#include "batch/leader/waiting_job_log.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::batch {

namespace {

constexpr Milliseconds checkInterval { 1'000 };
constexpr Milliseconds recordInterval { 5'000 };
// Shorter waits are usual: a start takes a commit and an order.
constexpr Milliseconds minIdleTime { 2'500 };
// The search for a cause takes as long as a placement.
constexpr std::size_t maxExaminedJobs = 16;
constexpr std::size_t maxRecordedJobs = 5;

std::string_view nameOf(RunPhase phase)
{
    switch (phase) {
    case RunPhase::AwaitingCommit:
        return "commit of the assignment";
    case RunPhase::Starting:
        return "start on the worker";
    case RunPhase::Running:
        return "nothing";
    case RunPhase::Stopping:
        return "end of the stopped run";
    }
    return "unknown";
}

// What ran on a worker that does not answer may have ended with it.
bool answers(const Worker& worker) { return worker.isConfirmed && !worker.unansweredHolds; }

bool mayRun(const JobBook::Entry& entry)
{
    const bool isOver = isTerminal(entry.progress.state());
    return !isOver && (entry.progress.hasAssignments() || !entry.progress.readySteps().empty());
}

} // namespace

WaitingJobLog::WaitingJobLog(JobBook& jobs, const WorkerPool& workers, PlacementRound& placement)
    : m_jobs(jobs)
    , m_workers(workers)
    , m_placement(placement)
{
}

void WaitingJobLog::clear()
{
    m_idleSince.clear();
    m_lastExamined = JobId();
}

std::set<JobId> WaitingJobLog::runningJobs() const
{
    std::set<JobId> running;
    for (const auto& [lifetime, worker] : m_workers.all()) {
        if (!answers(worker))
            continue;
        for (const auto& [task, run] : worker.runs) {
            if (run.phase == RunPhase::Running)
                running.insert(task.job);
        }
    }
    return running;
}

void WaitingJobLog::noteIdleJobs(Step& step)
{
    const std::set<JobId> running = runningJobs();
    std::map<JobId, TimePoint> idleSince;
    for (const JobBook::Entry* entry : m_jobs.openEntries()) {
        const JobId& job = entry->progress.job().specification.id;
        if (running.contains(job) || !mayRun(*entry))
            continue;
        const auto known = m_idleSince.find(job);
        idleSince.emplace(job, known == m_idleSince.end() ? step.now : known->second);
    }
    m_idleSince = std::move(idleSince);
}

// At most maxExaminedJobs, beginning after those that were examined last.
std::vector<JobId> WaitingJobLog::jobsToExamine(TimePoint now) const
{
    std::vector<JobId> jobs;
    const auto add = [&](auto from, auto until) {
        for (; from != until && jobs.size() < maxExaminedJobs; ++from) {
            if (now >= from->second + minIdleTime)
                jobs.push_back(from->first);
        }
    };
    const auto first = m_idleSince.upper_bound(m_lastExamined);
    add(first, m_idleSince.end());
    add(m_idleSince.begin(), first);
    return jobs;
}

WaitingJobLog::Obstacle WaitingJobLog::obstacleOfAssignment(const JobProgress& job) const
{
    for (const RunId& id : job.assignedRuns()) {
        const WorkerLifetime& lifetime = job.find(id.task)->assignment->worker;
        const auto worker = m_workers.all().find(lifetime);
        if (worker == m_workers.all().end())
            return { "a worker that is not known", lifetime };
        const auto run = worker->second.runs.find(id.task);
        if (run == worker->second.runs.end() || run->second.id != id)
            return { "an assignment without a run", lifetime };
        if (run->second.phase != RunPhase::Running)
            return { std::string(nameOf(run->second.phase)), lifetime };
        if (!answers(worker->second))
            return { "an answer of the worker", lifetime };
    }
    return {};
}

WaitingJobLog::Obstacle WaitingJobLog::obstacleOf(JobBook::Entry& entry, const Step& step)
{
    if (entry.progress.hasAssignments())
        return obstacleOfAssignment(entry.progress);
    const WaitCause cause = m_placement.waitCauseOf(entry, m_jobs, m_workers, step.now, step.wallTime);
    if (cause == WaitCause::NoRoom)
        return {};
    return { std::string(batch::nameOf(cause)), {} };
}

void WaitingJobLog::tick(Step& step)
{
    if (step.now < m_checkedAt + checkInterval)
        return;
    m_checkedAt = step.now;
    noteIdleJobs(step);
    if (step.now < m_recordedAt + recordInterval)
        return;
    const std::vector<JobId> examined = jobsToExamine(step.now);
    std::size_t recorded = 0;
    for (const JobId& job : examined) {
        m_lastExamined = job;
        const Obstacle obstacle = obstacleOf(*m_jobs.find(job), step);
        if (obstacle.name.empty())
            continue;
        step.warn("job.waiting",
            { { "job", job.value() }, { "for", obstacle.name }, { "worker", obstacle.worker.id.value() },
                { "idle_ms", std::to_string((step.now - m_idleSince.at(job)).count()) },
                { "idle_jobs", std::to_string(m_idleSince.size()) } });
        if (++recorded == maxRecordedJobs)
            break;
    }
    if (recorded)
        m_recordedAt = step.now;
}

} // namespace anvilmoor::batch
