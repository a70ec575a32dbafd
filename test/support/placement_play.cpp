#include "support/placement_play.h"

#include "batch/jobs/job_size.h"
#include "support/leader_state.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace anvilmoor::testing {

using namespace batch;

namespace {

constexpr Milliseconds slice { 50 };
constexpr Milliseconds reportInterval { 500 };
constexpr Milliseconds stopTimeout { 900 };
constexpr Milliseconds startDelay { 100 };
constexpr int farRunFactor = 3;
constexpr std::array slownesses { 1.0, 1.0, 1.3 };
constexpr WallTime wallBegin { Seconds(1'000) };

double seconds(Milliseconds duration) { return static_cast<double>(duration.count()) / 1'000; }

// Whether the gang would fit into a rack of idle workers.
bool fitsIntoOneRack(const StepSpecification& step, int workersPerRack)
{
    const WorkerCapacity idle = makeCapacity(0, 0);
    const int perWorker = tasksThatFit({ step, step.perTask, step.taskCount }, idle, idle.whole);
    return step.taskCount <= workersPerRack * perWorker;
}

const QueueConfiguration& queueNamed(const std::vector<QueueConfiguration>& queues, const std::string& name)
{
    return *std::find_if(queues.begin(), queues.end(),
        [&name](const QueueConfiguration& queue) { return queue.name == name; });
}

} // namespace

double PlayedJob::size() const { return step.taskCount * coresOf(step.perTask) * seconds(work); }

Milliseconds PlayedJob::objective() const
{
    static const std::vector<QueueConfiguration> queues = trafficQueues();
    const QueueConfiguration& terms = queueNamed(queues, queue);
    const auto stretched = static_cast<std::int64_t>(terms.stretch * static_cast<double>(work.count()));
    return Milliseconds(stretched) + terms.latencyTarget;
}

PlacementPlay::PlacementPlay(const PlaySettings& settings, const PlacementPolicy& placement,
    const QueueOrder& order, std::uint64_t seed)
    : m_settings(settings)
    , m_round(placement, order, stopTimeout)
    , m_sampler(seed, settings.racks)
{
    m_configuration.version = 1;
    m_configuration.queues = trafficQueues();
    addWorkers();
}

void PlacementPlay::addWorkers()
{
    // Accounts whose guarantees cover most of the accelerators.
    constexpr std::array guaranteedShares { 0.3, 0.2, 0.1 };
    const double accelerators = 8.0 * m_settings.racks * m_settings.workersPerRack;
    for (std::size_t i = 0; i < guaranteedShares.size(); ++i)
        m_configuration.accounts.push_back({ ClientAccountId(fmt::format("account-{}", i)), {},
            static_cast<std::int64_t>(guaranteedShares[i] * accelerators) });
    for (int rack = 0; rack < m_settings.racks; ++rack) {
        for (int index = 0; index < m_settings.workersPerRack; ++index) {
            const WorkerCapacity capacity = makeCapacity(rack, index);
            m_pool.update({ capacity.lifetime, "10.0.0.1:1", ServiceId("planner"), AvailabilityZoneId("z"),
                              capacity.whole, "a", capacity.rack },
                m_now);
            m_pool.find(capacity.lifetime)->isConfirmed = true;
            m_slowness[capacity.lifetime] = slownesses[m_sampler.random()() % slownesses.size()];
        }
    }
}

void PlacementPlay::run()
{
    const TimePoint trafficEnd = m_begin + m_settings.trafficTime;
    while (m_now < trafficEnd + m_settings.timeAfterTraffic) {
        if (m_now < trafficEnd)
            submitJobs();
        endUnits();
        if ((m_now - m_begin) % reportInterval == Milliseconds(0))
            reportProgress();
        place();
        if (m_now < trafficEnd)
            noteUse();
        m_now += slice;
    }
}

double PlacementPlay::loadOf(const TrafficClass& kind) const
{
    const Milliseconds time = m_now - m_begin;
    double load = 1;
    for (const TrafficBurst& burst : m_settings.bursts) {
        const bool isForKind = burst.queue.empty() || burst.queue == kind.queue;
        if (isForKind && time >= burst.begin && time < burst.end)
            load *= burst.factor;
    }
    return load;
}

void PlacementPlay::submitJobs()
{
    for (const TrafficClass& kind : m_settings.classes) {
        std::poisson_distribution<> arrivals(kind.jobsPerSecond * loadOf(kind) * seconds(slice));
        for (int left = arrivals(m_sampler.random()); left; --left)
            submit(kind);
    }
}

void PlacementPlay::submit(const TrafficClass& kind)
{
    SampledJob sampled = m_sampler.draw(kind);
    if (!fitsIntoOneRack(sampled.step, m_settings.workersPerRack))
        sampled.step.needsOneRack = false;
    const std::size_t account = m_sampler.drawAccount(m_configuration.accounts.size());
    const QueueConfiguration& queue = queueNamed(m_configuration.queues, kind.queue);
    const JobId id(fmt::format("job-{:05}", m_jobs.size()));
    AcceptedJob job;
    job.specification = { id, "payload", { sampled.step }, {} };
    job.terms = { queue.name, queue.service, m_configuration.accounts[account].name, queue.priority,
        queue.maxAttempts, queue.stretch, queue.latencyTarget };
    job.acceptedAt = wallBegin + (m_now - m_begin);
    m_book.add(std::move(job));
    m_indexes.emplace(id, m_jobs.size());
    m_jobs.push_back({ id, kind.queue, sampled.step, sampled.work, m_now });
}

void PlacementPlay::endUnits()
{
    std::vector<RunningUnit> ended;
    std::erase_if(m_running, [&](RunningUnit& running) {
        if (running.endsAt > m_now)
            return false;
        ended.push_back(std::move(running));
        return true;
    });
    for (const RunningUnit& running : ended)
        end(running);
}

void PlacementPlay::end(const RunningUnit& running)
{
    JobBook::Entry* entry = m_book.find(running.unit.job);
    const RunEnd how = running.isStopping ? RunEnd::Stopped : RunEnd::Done;
    for (std::size_t i = 0; i < running.unit.tasks.size(); ++i) {
        const TaskId task { running.unit.job, 0, running.unit.step, running.unit.tasks[i] };
        m_pool.detach(*m_pool.find(running.workers[i]), task);
        entry->progress.runEnded({ task, running.unit.run }, how, {});
    }
    m_book.noteChange(*entry, m_now);
    PlayedJob& job = played(running.unit.job);
    if (running.isStopping) {
        ++job.stops;
        m_lostWork += seconds(m_now - running.startedAt) * coresOf(job.step.perTask)
            * static_cast<double>(running.unit.tasks.size());
    }
    if (entry->progress.state() == JobState::Completed)
        job.completedAt = m_now;
}

void PlacementPlay::reportProgress()
{
    const WorkerClock clock = m_now.time_since_epoch().count();
    for (auto& [lifetime, worker] : m_pool.all())
        worker.clock.note(clock, m_now);
    for (const RunningUnit& running : m_running) {
        const auto percent = static_cast<int>(100 * (m_now - running.startedAt) / running.duration);
        for (std::size_t i = 0; i < running.unit.tasks.size(); ++i) {
            const TaskId task { running.unit.job, 0, running.unit.step, running.unit.tasks[i] };
            m_pool.find(running.workers[i])->runs.at(task).progress.note({ std::min(percent, 100), clock });
        }
    }
}

void PlacementPlay::place()
{
    const WallTime wallTime = wallBegin + (m_now - m_begin);
    const PlacementOutcome outcome = m_round.run(m_book, m_pool, m_configuration, m_now, wallTime);
    for (const PlacementDecision& decision : outcome.placed)
        start(decision);
    for (const Eviction& eviction : outcome.evictions)
        stop(eviction);
}

Milliseconds PlacementPlay::durationOn(const PlayedJob& job, const std::vector<WorkerLifetime>& workers)
{
    double slowness = 0;
    std::set<RackId> racks;
    for (const WorkerLifetime& worker : workers) {
        slowness = std::max(slowness, m_slowness.at(worker));
        racks.insert(m_pool.find(worker)->record.rack);
    }
    const bool isAwayFromData
        = !job.step.dataRack.empty() && (racks.size() > 1 || racks.begin()->value() != job.step.dataRack);
    const bool isFar = isAwayFromData || (job.step.needsOneRack && racks.size() > 1);
    const double factor = slowness * (isFar ? farRunFactor : 1);
    return Milliseconds(static_cast<std::int64_t>(factor * static_cast<double>(job.work.count())) + 1);
}

void PlacementPlay::start(const PlacementDecision& decision)
{
    JobBook::Entry* entry = m_book.find(decision.unit.job);
    entry->progress.assign(decision.unit, decision.workers);
    m_book.noteChange(*entry, m_now);
    PlayedJob& job = played(decision.unit.job);
    if (!job.startedAt)
        job.startedAt = m_now;
    const int priority = entry->progress.job().terms.priority;
    for (std::size_t i = 0; i < decision.workers.size(); ++i) {
        const TaskId task { decision.unit.job, 0, decision.unit.step, decision.unit.tasks[i] };
        LiveRun run { { task, decision.unit.run }, job.step.perTask, priority, RunPhase::Running };
        run.acceptedAt = m_now;
        run.progress = { job.step.estimatedDuration, job.step.isGang };
        m_pool.attach(*m_pool.find(decision.workers[i]), std::move(run));
    }
    const Milliseconds duration = startDelay + durationOn(job, decision.workers);
    m_running.push_back({ decision.unit, decision.workers, m_now, m_now + duration, duration });
}

void PlacementPlay::stop(const Eviction& eviction)
{
    const std::set<RunId> victims(eviction.victims.begin(), eviction.victims.end());
    for (RunningUnit& running : m_running) {
        const TaskId first { running.unit.job, 0, running.unit.step, running.unit.tasks.front() };
        if (!victims.contains({ first, running.unit.run }))
            continue;
        running.isStopping = true;
        running.endsAt = std::min(running.endsAt, m_now + stopTimeout);
        for (std::size_t i = 0; i < running.unit.tasks.size(); ++i) {
            const TaskId task { running.unit.job, 0, running.unit.step, running.unit.tasks[i] };
            m_pool.find(running.workers[i])->runs.at(task).phase = RunPhase::Stopping;
        }
    }
}

void PlacementPlay::noteUse()
{
    Resources used;
    Resources whole;
    for (const auto& [lifetime, worker] : m_pool.all()) {
        used += worker.used;
        whole += worker.record.capacity;
    }
    m_useSum += static_cast<double>(used.accelerators) / static_cast<double>(whole.accelerators);
    ++m_useSamples;
}

double PlacementPlay::acceleratorsInUse() const { return m_useSamples ? m_useSum / m_useSamples : 0; }

} // namespace anvilmoor::testing
