#include "batch/workers/fencing_token.h"
#include "batch/workers/run_supervisor.h"
#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace anvilmoor::batch {

// Tests when the leader takes a worker for stalled, by the progress that the worker reports.
class BatchWorkerStallTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWorkerStallTest);
    CPPUNIT_TEST(testWorkerIsNotStalledWhileItsRunIsBeingStopped);
    CPPUNIT_TEST(testWorkerIsStalledIfItsRunStandsStill);
    CPPUNIT_TEST(testJobsStartSoonWhileEveryWorkerHasUnderestimatedRun);
    CPPUNIT_TEST(testWideGangStartsSoonWhileEveryWorkerHasUnderestimatedRun);
    CPPUNIT_TEST(testWorkerIsNotStalledAgainByRunBesideWhichTrialSucceeded);
    CPPUNIT_TEST(testJobsStartSoonWhileEveryWorkerBecomesSlow);
    CPPUNIT_TEST(testWorkerOnWhichAllStandsStillGetsFewTrialRuns);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t epoch = 7;
    static constexpr Milliseconds reportInterval { 100 };

    const WorkerLifetime m_worker { WorkerId("w0-0"), 1 };
    TimePoint m_now { Seconds(100) };
    WorkerPool m_workers;
    JobBook m_jobs;
    RunSupervisor m_runs { m_workers, m_jobs, {} };
    int m_percent = 0;

    template <typename Action> void perform(Action action)
    {
        std::vector<Effect> effects;
        const Event event { m_now, {}, 1, Tick {} };
        Step step(event, effects);
        action(step);
    }

    // Assigns the only task of a job to the worker, as a stored assignment of an earlier leader.
    RunId adoptRun(Milliseconds estimatedDuration)
    {
        m_runs.begin(epoch, m_now);
        AcceptedJob accepted;
        accepted.specification
            = { JobId("job"), "payload", { testing::makeStep(1, 1, estimatedDuration) }, {} };
        JobProgress& progress = m_jobs.add(std::move(accepted))->progress;
        progress.openDueOccurrences({});
        progress.assign({ JobId("job"), 0, 0, { 0 }, 1 }, std::vector<WorkerLifetime> { m_worker });
        const RunId run = progress.assignedRuns().front();
        m_runs.adopt(progress, run, m_worker, m_now);
        return run;
    }

    void report(const RunId& run, Milliseconds duration, int percentPerReport)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += reportInterval) {
            m_percent += percentPerReport;
            const WorkerClock clock = m_now.time_since_epoch().count();
            Worker& worker = *m_workers.find(m_worker);
            worker.openHolds.push_back({ .number = ++worker.lastHold });
            const HoldAnswered answer { m_worker, fencingTokenOf(epoch, m_worker), OrderOutcome::Accepted,
                { clock, m_worker.startedAtMs, { { run, {}, m_percent } } }, worker.lastHold };
            perform([&](Step& step) { m_runs.holdAnswered(answer, step); });
        }
    }

    static constexpr int workers = 8;

    // A cluster in which each worker has one run, and time has passed in which these runs seem to stand
    // still.
    static void runLongTaskOnEachWorker(
        testing::BatchCluster& cluster, Milliseconds estimate, Milliseconds duration)
    {
        cluster.addWorkers(2, workers / 2);
        cluster.run(Milliseconds(500));
        StepSpecification step = testing::makeStep(workers, 1, estimate);
        step.maxTasksPerWorker = 1;
        const JobId job = cluster.submit(0, "small", { step });
        cluster.setDuration(job, duration);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.startsOf(job) == workers; }, Milliseconds(500)));
    }

    static bool startsWithin(testing::BatchCluster& cluster, const JobId& job, Milliseconds limit)
    {
        return cluster.runUntil([&] { return cluster.firstStart(job).has_value(); }, limit);
    }

    bool isTrusted() { return m_workers.find(m_worker)->health.isTrusted(); }

public:
    // Guards against leaving out the worker for which a run has just been evicted.
    void testWorkerIsNotStalledWhileItsRunIsBeingStopped()
    {
        const RunId run = adoptRun(Milliseconds(10'000));
        report(run, Milliseconds(2'100), 1);
        perform([&](Step& step) { m_runs.stop(run, step); });
        report(run, Milliseconds(2'000), 0);
        CPPUNIT_ASSERT(isTrusted());
    }

    void testWorkerIsStalledIfItsRunStandsStill()
    {
        const RunId run = adoptRun(Milliseconds(10'000));
        report(run, Milliseconds(2'100), 1);
        report(run, Milliseconds(2'000), 0);
        CPPUNIT_ASSERT(!isTrusted());
    }

    // Guards against closing workers for as long as slow runs last.
    void testJobsStartSoonWhileEveryWorkerHasUnderestimatedRun()
    {
        testing::BatchCluster cluster;
        runLongTaskOnEachWorker(cluster, Seconds(6), Seconds(6'000));
        cluster.run(Milliseconds(2'000));
        std::vector<JobId> jobs;
        for (int i = 0; i < workers / 2; ++i)
            jobs.push_back(cluster.submit(1, "urgent", { testing::makeStep(1, 2, Milliseconds(2'500)) }));
        for (const JobId& job : jobs)
            CPPUNIT_ASSERT(startsWithin(cluster, job, Milliseconds(3'500)));
    }

    void testWideGangStartsSoonWhileEveryWorkerHasUnderestimatedRun()
    {
        testing::BatchCluster cluster;
        runLongTaskOnEachWorker(cluster, Seconds(6), Seconds(6'000));
        cluster.run(Milliseconds(2'000));
        const JobId wide = cluster.submit(1, "urgent", { testing::makeGang(3 * workers, 2) });
        CPPUNIT_ASSERT(startsWithin(cluster, wide, Milliseconds(3'500)));
    }

    void testWorkerIsNotStalledAgainByRunBesideWhichTrialSucceeded()
    {
        testing::BatchCluster cluster;
        runLongTaskOnEachWorker(cluster, Seconds(6), Seconds(6'000));
        cluster.run(Milliseconds(5'000));
        cluster.submit(1, "small", { testing::makeStep(workers, 7, Milliseconds(2'500)) });
        cluster.run(Milliseconds(8'000));
        const JobId wide = cluster.submit(1, "urgent", { testing::makeGang(3 * workers, 2) });
        CPPUNIT_ASSERT(startsWithin(cluster, wide, Milliseconds(500)));
    }

    void testJobsStartSoonWhileEveryWorkerBecomesSlow()
    {
        testing::BatchCluster cluster;
        runLongTaskOnEachWorker(cluster, Seconds(30), Seconds(30));
        cluster.run(Milliseconds(7'000));
        for (std::size_t i = 0; i < cluster.workerCount(); ++i)
            cluster.worker(i).speed = 0.15;
        cluster.run(Milliseconds(7'000));
        const JobId job = cluster.submit(1, "urgent", { testing::makeStep(1, 2, Milliseconds(2'500)) });
        CPPUNIT_ASSERT(startsWithin(cluster, job, Milliseconds(3'500)));
    }

    void testWorkerOnWhichAllStandsStillGetsFewTrialRuns()
    {
        testing::BatchCluster cluster;
        cluster.addWorkers(1, 1);
        cluster.run(Milliseconds(500));
        const JobId stuck = cluster.submit(0, "small", { testing::makeStep(1, 1, Seconds(5)) });
        CPPUNIT_ASSERT(startsWithin(cluster, stuck, Milliseconds(500)));
        cluster.worker(0).speed = 0;
        cluster.run(Milliseconds(2'500));
        std::vector<JobId> jobs;
        for (int i = 0; i < 40; ++i) {
            jobs.push_back(cluster.submit(1, "urgent", { testing::makeStep(1, 1) }));
            cluster.run(Milliseconds(500));
        }
        const auto started = std::count_if(
            jobs.begin(), jobs.end(), [&](const JobId& job) { return cluster.firstStart(job).has_value(); });
        CPPUNIT_ASSERT(started >= 1 && started <= 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWorkerStallTest);

} // namespace anvilmoor::batch
