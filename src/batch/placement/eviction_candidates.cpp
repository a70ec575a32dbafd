#include "batch/placement/eviction_candidates.h"

#include "batch/jobs/job_size.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace anvilmoor::batch {

namespace {

// A run with checkpoints loses at most this much work by a stop: the time to restore it.
constexpr double checkpointRestoreSeconds = 0.2;

// A stopped run has to be placed again, so this share of its estimated duration is added to the cost of a
// stop.
constexpr double reschedulingCostShare = 0.2;
// Each earlier eviction of the job raises the cost of a stop by this factor of the base cost.
constexpr double repeatedEvictionPenalty = 1.0;
// Less urgent work costs less to stop: runs below priority 1 have the weight 1.
constexpr double weightOfPriorityOne = 3;

// Identifies the runs of a gang. Refers to the job's id.
struct GangKey {
    std::string_view job;
    int occurrence = 0;
    int step = 0;

    auto operator<=>(const GangKey&) const = default;
};

struct GangRuns {
    EvictionCandidate all;
    bool hasEndingRuns = false;
    bool isStoppable = true;

    void add(EvictionCandidate run, bool isRunStoppable)
    {
        hasEndingRuns |= run.runs.empty();
        isStoppable &= isRunStoppable;
        all.cost += run.cost;
        all.runs.insert(all.runs.end(), run.runs.begin(), run.runs.end());
        all.room.insert(all.room.end(), run.room.begin(), run.room.end());
    }
};

} // namespace

EvictionCandidates::EvictionCandidates(const CapacityView& view, std::vector<EvictionCandidate> candidates)
    : m_candidates(std::move(candidates))
    , m_byCandidate(m_candidates.size())
    , m_byWorker(view.workers().size())
    , m_freeable(view.workers().size())
{
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
        std::vector<Freed>& parts = m_byCandidate[i];
        for (const auto& [lifetime, resources] : m_candidates[i].room) {
            const auto worker = view.indexOf(lifetime);
            if (!worker)
                continue;
            m_freeable[*worker] += resources;
            const auto known = std::find_if(
                parts.begin(), parts.end(), [&worker](const Freed& part) { return part.worker == *worker; });
            if (known == parts.end())
                parts.push_back({ i, *worker, resources });
            else
                known->resources += resources;
        }
        for (const Freed& part : parts)
            m_byWorker[part.worker].push_back(part);
    }
}

void EvictionCandidates::noteStopping(std::span<const std::size_t> candidates)
{
    for (const std::size_t candidate : candidates) {
        m_candidates[candidate].runs.clear();
        m_candidates[candidate].cost = 0;
    }
}

EvictionCandidateFinder::EvictionCandidateFinder(const WorkerPool& workers, const JobBook& jobs,
    const EvictionCounts& evictionCounts, Milliseconds stopTimeout, TimePoint now)
    : m_workers(workers)
    , m_jobs(jobs)
    , m_evictionCounts(evictionCounts)
    , m_stopTimeout(stopTimeout)
    , m_now(now)
{
}

std::vector<EvictionCandidate> EvictionCandidateFinder::find(const ServiceId& service, int priority) const
{
    return findIf(service, [this, priority](const Worker& worker, const LiveRun& run) {
        return run.priority > priority || endsWithinStopTimeout(worker, run);
    });
}

std::vector<EvictionCandidate> EvictionCandidateFinder::findAmong(
    const ServiceId& service, const std::set<RunId>& runs) const
{
    return findIf(service, [this, &runs](const Worker& worker, const LiveRun& run) {
        const bool endsByItself = run.phase != RunPhase::Stopping && endsWithinStopTimeout(worker, run);
        return runs.contains(run.id) || endsByItself;
    });
}

std::vector<EvictionCandidate> EvictionCandidateFinder::findIf(
    const ServiceId& service, const Predicate& isCandidate) const
{
    std::vector<EvictionCandidate> result;
    std::map<GangKey, GangRuns> gangs;
    for (const auto& [lifetime, worker] : m_workers.all()) {
        if (worker.record.service != service)
            continue;
        for (const auto& [task, run] : worker.runs) {
            const JobBook::Entry* entry = m_jobs.find(task.job);
            if (!entry)
                continue;
            const StepSpecification& step = entry->progress.specificationOf(task.step);
            EvictionCandidate candidate = candidateOf(worker, run, step);
            const bool isStoppable = run.phase != RunPhase::AwaitingCommit && isCandidate(worker, run);
            if (step.isGang)
                gangs[{ task.job.value(), task.occurrence, task.step }].add(
                    std::move(candidate), isStoppable);
            else if (isStoppable)
                result.push_back(std::move(candidate));
        }
    }
    for (auto& [key, gang] : gangs) {
        // A gang of which only some runs are ending is neither free to wait for nor to be stopped again.
        const bool isPartlyEnding = gang.hasEndingRuns && !gang.all.runs.empty();
        if (gang.isStoppable && !isPartlyEnding)
            result.push_back(std::move(gang.all));
    }
    return result;
}

EvictionCandidate EvictionCandidateFinder::candidateOf(
    const Worker& worker, const LiveRun& run, const StepSpecification& step) const
{
    EvictionCandidate candidate;
    candidate.room.emplace_back(worker.record.lifetime, run.resources);
    if (endsWithinStopTimeout(worker, run))
        return candidate;
    candidate.runs.push_back(run.id);
    candidate.cost = cost(run, step);
    return candidate;
}

// Returns whether the run ends within the stop timeout without another stop order. Its resources may be
// promised to the unit at hand: those reserved for other units are already deducted from the view.
bool EvictionCandidateFinder::endsWithinStopTimeout(const Worker& worker, const LiveRun& run) const
{
    if (run.phase == RunPhase::Stopping)
        return true;
    const auto end = run.progress.expectedEnd();
    return end && *end <= worker.clock.at(m_now) + m_stopTimeout.count();
}

// Returns the cost of stopping the run in core-seconds, weighted by priority: less urgent work costs less.
double EvictionCandidateFinder::cost(const LiveRun& run, const StepSpecification& step) const
{
    const TimePoint since = run.acceptedAt.value_or(m_now);
    const double worked = static_cast<double>((m_now - since).count()) / 1'000;
    const double lost = step.savesCheckpoints ? std::min(worked, checkpointRestoreSeconds) : worked;
    const double estimate = static_cast<double>(step.estimatedDuration.count()) / 1'000;
    const double weight = run.priority > 1 ? 1 : weightOfPriorityOne;
    const auto stops = m_evictionCounts.find(run.id.task.job);
    const int earlierStops = stops == m_evictionCounts.end() ? 0 : stops->second;
    return weight * (lost + reschedulingCostShare * estimate) * coresOf(run.resources)
        * (1 + repeatedEvictionPenalty * earlierStops);
}

} // namespace anvilmoor::batch
