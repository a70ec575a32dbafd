#include "batch/leader/long_wait_log.h"

#include <algorithm>
#include <string>

namespace anvilmoor::batch {

namespace {

constexpr Milliseconds recordInterval { 5'000 };
// Shorter waits are usual on a full service.
constexpr Milliseconds minWait { 10'000 };
constexpr std::size_t maxRecordedJobs = 3;
constexpr std::size_t maxPlacements = 8'192;

} // namespace

LongWaitLog::LongWaitLog(JobBook& jobs, const PlacementRound& placement)
    : m_jobs(jobs)
    , m_placement(placement)
{
}

void LongWaitLog::notePlaced(const AcceptedJob& job)
{
    m_placements.push_back({ job.dueAt(0), job.terms.priority });
    if (m_placements.size() > maxPlacements)
        m_placements.pop_front();
}

std::vector<LongWaitLog::WaitingJob> LongWaitLog::longWaiting(WallTime now)
{
    std::vector<WaitingJob> waiting;
    for (const JobBook::Entry* entry : m_jobs.openEntries()) {
        const bool wasPlaced
            = entry->firstPlacedAt || entry->progress.hasBegun() || entry->progress.hasAssignments();
        if (wasPlaced || isTerminal(entry->progress.state()))
            continue;
        const std::vector<StepPosition> ready = entry->progress.readySteps();
        if (ready.empty())
            continue;
        const WallTime since = entry->progress.job().dueAt(ready.front().occurrence);
        if (now >= since + minWait)
            waiting.push_back({ since, ready.front(), &entry->progress });
    }
    return waiting;
}

std::size_t LongWaitLog::jobsPlacedBefore(const WaitingJob& waiting) const
{
    const int priority = waiting.job->job().terms.priority;
    return static_cast<std::size_t>(
        std::count_if(m_placements.begin(), m_placements.end(), [&](const Placement& placed) {
            return placed.priority >= priority && placed.dueAt > waiting.since;
        }));
}

void LongWaitLog::record(const WaitingJob& waiting, std::size_t count, Step& step) const
{
    const AcceptedJob& job = waiting.job->job();
    const auto heldSince = m_placement.heldSince(job.specification.id, waiting.position);
    step.warn("job.waiting_long",
        { { "job", job.specification.id.value() }, { "queue", job.terms.queue },
            { "priority", std::to_string(job.terms.priority) }, { "shape", describeShape(job.specification) },
            { "waited_ms", std::to_string((step.wallTime - waiting.since).count()) },
            { "placed_before", std::to_string(jobsPlacedBefore(waiting)) },
            { "held_ms", heldSince ? std::to_string((step.now - *heldSince).count()) : std::string() },
            { "waiting_jobs", std::to_string(count) } });
}

void LongWaitLog::tick(Step& step)
{
    if (step.now < m_recordedAt + recordInterval)
        return;
    std::vector<WaitingJob> waiting = longWaiting(step.wallTime);
    if (waiting.empty())
        return;
    m_recordedAt = step.now;
    const std::size_t recorded = std::min(waiting.size(), maxRecordedJobs);
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(recorded), waiting.end(),
        [](const WaitingJob& a, const WaitingJob& b) { return a.since < b.since; });
    for (std::size_t i = 0; i < recorded; ++i)
        record(waiting[i], waiting.size(), step);
}

} // namespace anvilmoor::batch
