#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::testing {

// Tests what becomes of runs, and of new work, when workers drain or leave, or their registry entries change.
class BatchWorkerDepartureTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWorkerDepartureTest);
    CPPUNIT_TEST(testDrainingWorkerGetsNoNewRuns);
    CPPUNIT_TEST(testRunsOfDrainedWorkerThatLeftAreRepeatedAtOnce);
    CPPUNIT_TEST(testRunOfDrainingWorkerWithUnreadableEntryIsNotDeclaredLost);
    CPPUNIT_TEST(testRunOfWorkerWhoseEntryIsRestoredContinues);
    CPPUNIT_TEST(testRestartedDaemonsPlaceNothingOnWorkerThatLeft);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Milliseconds oneMinute { 60'000 };

    void requireNoViolation(const BatchCluster& cluster) const
    {
        if (!cluster.violations().empty())
            CPPUNIT_FAIL(cluster.violations().front());
    }

    static bool isCompleted(const BatchCluster& cluster, const JobId& job)
    {
        return cluster.stateOf(job) == JobState::Completed;
    }

    void requireCompleted(BatchCluster& cluster, const JobId& job, Milliseconds limit = oneMinute) const
    {
        CPPUNIT_ASSERT(cluster.runUntil([&] { return isCompleted(cluster, job); }, limit));
        requireNoViolation(cluster);
    }

    static void runUntilStarted(BatchCluster& cluster, const JobId& job)
    {
        CPPUNIT_ASSERT(
            cluster.runUntil([&] { return cluster.firstStart(job).has_value(); }, Milliseconds(5'000)));
    }

public:
    void testDrainingWorkerGetsNoNewRuns()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(500));
        cluster.worker(0).record.isDraining = true;
        cluster.run(Milliseconds(100));
        const JobId job = cluster.submit(1, "small", { makeStep(8, 1, Milliseconds(500)) });
        runUntilStarted(cluster, job);
        CPPUNIT_ASSERT(cluster.worker(0).runs().empty());
        requireCompleted(cluster, job);
    }

    // The lease of an unreachable worker takes more than 6 s to expire. A worker that has withdrawn its
    // registry entry has certainly stopped, so its runs need not wait for that.
    void testRunsOfDrainedWorkerThatLeftAreRepeatedAtOnce()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(30'000)) });
        runUntilStarted(cluster, job);
        cluster.run(Milliseconds(300));
        FakeWorker& leaving = cluster.workerOf(job);
        leaving.drain(oneMinute);
        cluster.run(Milliseconds(1'000));
        leaving.leave();
        cluster.unlist(leaving.record.lifetime.id);
        cluster.run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(2, cluster.startsOf(job));
        requireNoViolation(cluster);
    }

    // Guards against taking an entry that another program has overwritten for a withdrawn one.
    void testRunOfDrainingWorkerWithUnreadableEntryIsNotDeclaredLost()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(4'000)) });
        runUntilStarted(cluster, job);
        FakeWorker& worker = cluster.workerOf(job);
        worker.drain(oneMinute);
        cluster.run(Milliseconds(1'000));
        cluster.setEntryReadable(worker.record.lifetime.id, false);
        requireCompleted(cluster, job);
        CPPUNIT_ASSERT_EQUAL(1, cluster.startsOf(job));
    }

    void testRunOfWorkerWhoseEntryIsRestoredContinues()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(20'000)) });
        runUntilStarted(cluster, job);
        const WorkerId worker = cluster.workerOf(job).record.lifetime.id;
        cluster.setEntryReadable(worker, false);
        cluster.run(Milliseconds(3'000));
        cluster.kill(*cluster.leader());
        cluster.run(Milliseconds(1'000));
        cluster.setEntryReadable(worker, true);
        requireCompleted(cluster, job);
        CPPUNIT_ASSERT_EQUAL(1, cluster.startsOf(job));
    }

    void testRestartedDaemonsPlaceNothingOnWorkerThatLeft()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(500));
        const JobId earlier = cluster.submit(1, "small", { makeStep(16, 1, Milliseconds(500)) });
        CPPUNIT_ASSERT(cluster.runUntil([&] { return isCompleted(cluster, earlier); }, oneMinute));
        // The worker stays reachable, so that an order to it would be carried out.
        cluster.unlist(cluster.worker(0).record.lifetime.id);
        cluster.restartAllDaemons();
        cluster.run(Milliseconds(200));
        // More tasks than fit the other worker at the same time.
        const JobId later = cluster.submit(1, "small", { makeStep(16, 1, Milliseconds(500)) });
        const bool isDone = cluster.runUntil(
            [&] {
                CPPUNIT_ASSERT(cluster.worker(0).runs().empty());
                return isCompleted(cluster, later);
            },
            oneMinute);
        CPPUNIT_ASSERT(isDone);
        requireNoViolation(cluster);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWorkerDepartureTest);

} // namespace anvilmoor::testing
