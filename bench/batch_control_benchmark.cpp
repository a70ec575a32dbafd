// Measures what the batch scheduler's leader spends on single events, by number of workers, with a full fleet
// and a long queue. Prints one JSON line for each case. Arguments, if any, are the numbers of workers.

#include "batch/placement/packing_placement.h"
#include "batch/placement/placement_round.h"
#include "batch/workers/fencing_token.h"
#include "batch/workers/run_supervisor.h"
#include "support/batch_cluster.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <fmt/core.h>
#include <random>
#include <set>
#include <string_view>
#include <vector>

namespace anvilmoor::batch {

namespace {

constexpr int workersPerRack = 8;
constexpr int waitingJobs = 1'500;
constexpr std::uint64_t epoch = 7;
constexpr Milliseconds stopTimeout { 900 };

// A full fleet with a queue of waiting jobs: urgent gangs, large gangs and jobs of many small tasks.
class Fleet {
public:
    explicit Fleet(int workers)
    {
        m_configuration = testing::BatchCluster::defaultConfiguration();
        m_runs.begin(epoch, m_now);
        addWorkers(workers);
        fill(workers);
        for (int job = 0; job < waitingJobs; ++job)
            addJob();
    }

    PlacementOutcome place() { return m_round.run(m_jobs, m_workers, m_configuration, m_now, m_wallTime); }

    template <typename Action> void perform(Action action)
    {
        m_effects.clear();
        const Event event { m_now, m_wallTime, 1, Tick {} };
        Step step(event, m_effects);
        action(step);
    }

    void tick()
    {
        m_now += tickInterval;
        perform([this](Step& step) { m_runs.tick(step); });
    }

    // The next worker reports its runs; none has ended.
    void answerHold()
    {
        Worker& worker = nextWorker();
        HoldAnswered answer { worker.record.lifetime, fencingTokenOf(epoch, worker.record.lifetime),
            OrderOutcome::Accepted, { 1'000, worker.record.lifetime.startedAtMs } };
        for (const auto& [task, run] : worker.runs)
            answer.status.active.push_back({ run.id, {}, 50 });
        answer.number = ++worker.lastHold;
        worker.openHolds.push_back({ .number = answer.number });
        perform([&](Step& step) { m_runs.holdAnswered(answer, step); });
    }

    void updateRegistry()
    {
        const WorkersUpdated update { false, { nextWorker().record }, {}, m_now };
        perform([&](Step& step) { m_runs.workersUpdated(update, step); });
    }

    void listRegistry()
    {
        WorkersUpdated update { true, {}, {}, m_now };
        for (const auto& [lifetime, worker] : m_workers.all())
            update.changed.push_back(worker.record);
        perform([&](Step& step) { m_runs.workersUpdated(update, step); });
    }

    std::size_t runs() const
    {
        std::size_t count = 0;
        for (const auto& [lifetime, worker] : m_workers.all())
            count += worker.runs.size();
        return count;
    }

private:
    Worker& nextWorker()
    {
        m_next = (m_next + 1) % m_lifetimes.size();
        return *m_workers.find(m_lifetimes[m_next]);
    }

    void addWorkers(int workers)
    {
        for (int i = 0; i < workers; ++i) {
            const WorkerLifetime lifetime { WorkerId(fmt::format("worker-{:06}", i)), 1'700'000'000'000 + i };
            WorkerRecord record { lifetime, "10.0.0.1:1", ServiceId("planner"), AvailabilityZoneId("z"),
                { 128'000, 256'000, 8 }, "a", RackId(fmt::format("rack-{:05}", i / workersPerRack)) };
            m_workers.update(record, m_now);
            m_workers.find(lifetime)->isConfirmed = true;
            m_lifetimes.push_back(lifetime);
        }
    }

    // Places jobs until most accelerators are in use.
    void fill(int workers)
    {
        constexpr int tasksPerWorker = 3;
        for (int tasks = 0; tasks < workers * tasksPerWorker;)
            tasks += addJob();
        const PlacementOutcome outcome = place();
        std::set<JobId> placed;
        for (const PlacementDecision& decision : outcome.placed) {
            m_jobs.find(decision.unit.job)->progress.assign(decision.unit, decision.workers);
            placed.insert(decision.unit.job);
        }
        for (const JobId& job : placed) {
            const JobProgress& progress = m_jobs.find(job)->progress;
            for (const RunId& run : progress.assignedRuns())
                m_runs.adopt(progress, run, progress.find(run.task)->assignment->worker, m_now);
        }
        m_round.clear();
    }

    // Returns the number of tasks.
    int addJob()
    {
        constexpr std::array<std::int64_t, 5> sizes { 1, 2, 4, 8, 8 };
        const int kind = static_cast<int>(m_random() % 22);
        const auto size = sizes[m_random() % sizes.size()];
        const int priority = kind < 14 ? 0 : kind < 18 ? 1 : 2;
        const int most = priority == 0 ? 10 : priority == 1 ? 26 : 76;
        const int tasks = 1 + static_cast<int>(m_random() % static_cast<std::uint64_t>(most));
        StepSpecification step = priority == 2
            ? testing::makeStep(tasks, 1, Milliseconds(6'100))
            : testing::makeGang(tasks, static_cast<int>(size), true, Milliseconds(priority ? 6'800 : 2'500));
        AcceptedJob job;
        job.specification
            = { JobId(fmt::format("{:016x}", ++m_lastJob)), "payload", { std::move(step) }, {} };
        job.terms = { "queue", ServiceId("planner"), ClientAccountId("account-a"), priority, 3,
            priority ? 3.0 : 1.5, Milliseconds(300) };
        job.acceptedAt = m_wallTime - Milliseconds(m_random() % 10'000);
        m_jobs.add(std::move(job));
        return tasks;
    }

    std::mt19937_64 m_random { 42 };
    TimePoint m_now { std::chrono::hours(100) };
    WallTime m_wallTime { Seconds(1'000'000) };
    Configuration m_configuration;
    WorkerPool m_workers;
    JobBook m_jobs;
    RunSupervisor m_runs { m_workers, m_jobs, { Milliseconds(10'000), stopTimeout, Milliseconds(1'500) } };
    const PackingPlacement m_packing;
    const ObjectiveOrder m_order;
    PlacementRound m_round { m_packing, m_order, stopTimeout };
    std::vector<WorkerLifetime> m_lifetimes;
    std::vector<Effect> m_effects;
    std::size_t m_next = 0;
    int m_lastJob = 0;
};

// Prints the median and the largest time of one call.
template <typename Action> void measure(std::string_view name, int workers, int repetitions, Action action)
{
    std::vector<double> times;
    for (int i = 0; i < repetitions; ++i) {
        const auto begin = std::chrono::steady_clock::now();
        action();
        const auto end = std::chrono::steady_clock::now();
        times.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
    }
    std::sort(times.begin(), times.end());
    fmt::print(
        "{{\"case\":\"{}\",\"workers\":{},\"waiting_jobs\":{},\"median_us\":{:.1f},\"max_us\":{:.1f}}}\n",
        name, workers, waitingJobs, times[times.size() / 2], times.back());
}

void measureFleet(int workers)
{
    Fleet fleet(workers);
    fmt::print("{{\"workers\":{},\"runs\":{}}}\n", workers, fleet.runs());
    measure("placement_round", workers, 11, [&] { fleet.place(); });
    measure("tick", workers, 101, [&] { fleet.tick(); });
    measure("hold_answer", workers, 1'001, [&] { fleet.answerHold(); });
    measure("registry_update", workers, 1'001, [&] { fleet.updateRegistry(); });
    measure("registry_list", workers, 3, [&] { fleet.listRegistry(); });
}

} // namespace

} // namespace anvilmoor::batch

int main(int argc, char** argv)
{
    std::vector<int> sizes { 540, 3'000, 19'000 };
    if (argc > 1)
        sizes.clear();
    for (int argument = 1; argument < argc; ++argument)
        sizes.push_back(std::atoi(argv[argument]));
    for (const int workers : sizes)
        anvilmoor::batch::measureFleet(workers);
}
