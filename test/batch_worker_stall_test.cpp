#include "batch/workers/fencing_token.h"
#include "batch/workers/run_supervisor.h"
#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::batch {

// Tests when the leader takes a worker for stalled, by the progress that the worker reports.
class BatchWorkerStallTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWorkerStallTest);
    CPPUNIT_TEST(testWorkerIsNotStalledWhileItsRunIsBeingStopped);
    CPPUNIT_TEST(testWorkerIsStalledIfItsRunStandsStill);
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
            const HoldAnswered answer { m_worker, fencingTokenOf(epoch, m_worker), OrderOutcome::Accepted,
                { clock, m_worker.startedAtMs, { { run, {}, m_percent } } } };
            perform([&](Step& step) { m_runs.holdAnswered(answer, step); });
        }
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWorkerStallTest);

} // namespace anvilmoor::batch
