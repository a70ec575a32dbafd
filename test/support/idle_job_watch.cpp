#include "support/idle_job_watch.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace anvilmoor::testing {

namespace {

using namespace batch;

constexpr double maxShareInUse = 0.5;

double ratio(std::int64_t part, std::int64_t whole)
{
    return static_cast<double>(part) / static_cast<double>(whole);
}

// The largest share of any of the resources.
double shareOf(const Resources& used, const Resources& capacity)
{
    return std::max({ ratio(used.cpuMillicores, capacity.cpuMillicores),
        ratio(used.memoryMb, capacity.memoryMb), ratio(used.accelerators, capacity.accelerators) });
}

std::int64_t timesWithin(std::int64_t room, std::int64_t need)
{
    return need ? std::max<std::int64_t>(room, 0) / need : std::numeric_limits<int>::max();
}

int fitsIn(const Resources& room, const Resources& need)
{
    return static_cast<int>(std::min({ timesWithin(room.cpuMillicores, need.cpuMillicores),
        timesWithin(room.memoryMb, need.memoryMb), timesWithin(room.accelerators, need.accelerators) }));
}

} // namespace

IdleJobWatch::IdleJobWatch(BatchCluster& cluster)
    : m_cluster(cluster)
{
}

IdleJobWatch::Usage IdleJobWatch::usage()
{
    Usage usage;
    double shares = 0;
    int workers = 0;
    for (std::size_t i = 0; i < m_cluster.workerCount(); ++i) {
        FakeWorker& worker = m_cluster.worker(i);
        if (!worker.isReachable)
            continue;
        Resources used;
        for (const auto& [task, run] : worker.runs()) {
            usage.running.insert(task.job);
            used += worker.resourcesOf(task);
        }
        ++workers;
        shares += shareOf(used, worker.record.capacity);
        Resources room = worker.isFailing ? used : worker.record.capacity;
        room -= used;
        usage.room.push_back(room);
    }
    usage.share = workers ? shares / workers : 1;
    return usage;
}

std::optional<IdleJob> IdleJobWatch::besideRoom(const JobId& job, const Usage& usage) const
{
    if (usage.share >= maxShareInUse || usage.running.contains(job) || isTerminal(m_cluster.stateOf(job)))
        return std::nullopt;
    const StepSpecification& step = m_cluster.specificationOf(job).steps.front();
    int fits = 0;
    for (const Resources& room : usage.room)
        fits += fitsIn(room, step.perTask);
    const int tasks = step.isGang ? step.taskCount : 1;
    if (fits < 2 * tasks)
        return std::nullopt;
    return IdleJob { job, m_cluster.now(), m_cluster.startsOf(job), usage.share, fits };
}

void IdleJobWatch::observe(const std::vector<JobId>& accepted)
{
    const Usage now = usage();
    std::map<JobId, IdleJob> allIdle;
    for (const JobId& job : accepted) {
        auto idle = besideRoom(job, now);
        if (!idle)
            continue;
        // Between two looks, a run may have started and ended.
        const auto earlier = m_idle.find(job);
        if (earlier != m_idle.end() && earlier->second.starts == idle->starts)
            idle->since = earlier->second.since;
        allIdle.emplace(job, *idle);
        if (m_cluster.now() >= idle->since + maxIdleTime && m_reported.insert(job).second)
            m_idleJobs.push_back(*idle);
    }
    m_idle = std::move(allIdle);
}

} // namespace anvilmoor::testing
