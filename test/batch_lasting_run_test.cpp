#include "batch/workers/run_supervisor.h"
#include "support/batch_cluster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace anvilmoor::testing {

// Tests that tasks which run until their job is cancelled, or for hours, keep no worker from other work.
class BatchLastingRunTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchLastingRunTest);
    CPPUNIT_TEST(testAllLastingTasksRunOnceTheyFailNoMore);
    CPPUNIT_TEST(testJobStartsSoonAfterLastingTasksHaveFailed);
    CPPUNIT_TEST(testJobStartsSoonWhileTrialRunsOfAllWorkersTakeHours);
    CPPUNIT_TEST(testWorkerThatFailsEveryRunIsStillAvoidedAfterLongTrial);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int workers = 6;
    static constexpr int lastingTasks = 12;
    static constexpr Milliseconds hours { 7'200'000 };

    BatchCluster m_cluster { 3 };

    JobId submitLasting()
    {
        batch::StepSpecification step = makeStep(lastingTasks, 1, Milliseconds(2'000));
        step.runsUntilCancelled = true;
        const JobId job = m_cluster.submit(0, "small", { step });
        m_cluster.setDuration(job, hours);
        return job;
    }

    void setFailing(bool isFailing)
    {
        for (std::size_t i = 0; i < m_cluster.workerCount(); ++i)
            m_cluster.worker(i).isFailing = isFailing;
    }

    // The tasks of the job fail now and then for the given time.
    void failRuns(Milliseconds time)
    {
        const TimePoint end = m_cluster.now() + time;
        while (m_cluster.now() < end) {
            m_cluster.run(Milliseconds(900));
            setFailing(true);
            m_cluster.run(Milliseconds(20));
            setFailing(false);
        }
    }

    int runningTasksOf(const JobId& job)
    {
        int running = 0;
        for (std::size_t i = 0; i < m_cluster.workerCount(); ++i) {
            for (const auto& [task, run] : m_cluster.worker(i).runs())
                running += task.job == job ? 1 : 0;
        }
        return running;
    }

    void requireCompletedSoon(const JobId& job)
    {
        CPPUNIT_ASSERT(m_cluster.runUntil(
            [&] { return m_cluster.stateOf(job) == JobState::Completed; }, Milliseconds(3'000)));
    }

public:
    void setUp() override
    {
        m_cluster.addWorkers(2, workers / 2);
        m_cluster.run(Milliseconds(1'000));
    }

    // Guards against lasting tasks of which only one a worker runs for good, after each has failed
    // (review/6).
    void testAllLastingTasksRunOnceTheyFailNoMore()
    {
        const JobId job = submitLasting();
        failRuns(Milliseconds(20'000));
        CPPUNIT_ASSERT(
            m_cluster.runUntil([&] { return runningTasksOf(job) == lastingTasks; }, Milliseconds(6'000)));
    }

    void testJobStartsSoonAfterLastingTasksHaveFailed()
    {
        submitLasting();
        failRuns(Milliseconds(20'000));
        m_cluster.run(Milliseconds(1'000));
        requireCompletedSoon(m_cluster.submit(1, "small", { makeStep(4, 1) }));
    }

    // Guards against workers that are closed for as long as their trial runs take.
    void testJobStartsSoonWhileTrialRunsOfAllWorkersTakeHours()
    {
        setFailing(true);
        std::vector<JobId> failing;
        for (int i = 0; i < 4 * workers; ++i)
            failing.push_back(m_cluster.submit(0, "small", { makeStep(1, 1) }));
        const auto isFailed = [this](const JobId& job) { return m_cluster.stateOf(job) == JobState::Failed; };
        CPPUNIT_ASSERT(m_cluster.runUntil(
            [&] { return std::all_of(failing.begin(), failing.end(), isFailed); }, Milliseconds(120'000)));
        setFailing(false);
        const JobId slow = m_cluster.submit(0, "small", { makeStep(workers, 1, hours) });
        m_cluster.run(Milliseconds(60'000));
        CPPUNIT_ASSERT_EQUAL(workers, runningTasksOf(slow));
        requireCompletedSoon(m_cluster.submit(1, "small", { makeStep(4, 1) }));
    }

    void testWorkerThatFailsEveryRunIsStillAvoidedAfterLongTrial()
    {
        batch::WorkerHealth health;
        TimePoint now { Seconds(100) };
        for (int i = 0; i < 3; ++i)
            health.runFailed(now);
        now += Milliseconds(3'000);
        CPPUNIT_ASSERT(health.isDueForTrial(now));
        health.trialStarted();
        health.trialPassed();
        CPPUNIT_ASSERT(health.isTrusted());
        health.runFailed(now);
        CPPUNIT_ASSERT(!health.isTrusted() && !health.isDueForTrial(now + Milliseconds(5'000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchLastingRunTest);

} // namespace anvilmoor::testing
