#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace anvilmoor::testing {

// Tests how the leader decides that a lifetime of a worker is over, while orders for it are still under way.
class BatchWorkerLifetimeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWorkerLifetimeTest);
    CPPUNIT_TEST(testStartRepeatedToNextLifetimeIsNoSecondRun);
    CPPUNIT_TEST(testStartCarriedOutLateByNextLifetimeIsNoSecondRun);
    CPPUNIT_TEST(testOlderRegistryEntryEndsNoLivingLifetime);
    CPPUNIT_TEST(testExpiredEntryOfDrainingWorkerEndsNoLifetime);
    CPPUNIT_TEST(testEntryThatIsGoneAfterAnOutageOfTheStoreEndsNoLifetime);
    CPPUNIT_TEST(testEntryExpiredAfterShortHeartbeatsEndsNoLifetime);
    CPPUNIT_TEST(testStartCarriedOutLateAfterLeaseExpiryIsNoSecondRun);
    CPPUNIT_TEST_SUITE_END();

    // Runs on a worker with this much time left are not stopped.
    static constexpr Milliseconds longDrain { 60'000 };

    static void requireNoViolation(const BatchCluster& cluster, const std::string& variant)
    {
        if (!cluster.violations().empty())
            CPPUNIT_FAIL(fmt::format("{}: {}", variant, cluster.violations().front()));
    }

    static void requireCompleted(BatchCluster& cluster, const JobId& job, const std::string& variant)
    {
        const bool isCompleted = cluster.runUntil(
            [&] { return cluster.stateOf(job) == JobState::Completed; }, Milliseconds(60'000));
        CPPUNIT_ASSERT_MESSAGE(variant, isCompleted);
        requireNoViolation(cluster, variant);
    }

    static void setBehavior(BatchCluster& cluster, bool refuses)
    {
        for (std::size_t i = 0; i < cluster.workerCount(); ++i) {
            cluster.worker(i).behavior.maxLease = Milliseconds(6'000);
            cluster.worker(i).behavior.refusesOtherLifetimes = refuses;
        }
    }

    // Sends registry updates without any change for this long, as a follower does.
    static void followSilentRegistry(BatchCluster& cluster, Milliseconds duration)
    {
        for (const TimePoint end = cluster.now() + duration; cluster.now() < end;) {
            cluster.updateRegistry(false, {}, {});
            cluster.run(Milliseconds(100));
        }
    }

public:
    // Guards against declaring a run lost that the worker's next lifetime has started.
    void testStartRepeatedToNextLifetimeIsNoSecondRun()
    {
        for (const bool refuses : { false, true }) {
            for (int offset = 0; offset < 40; offset += 2) {
                BatchCluster cluster;
                cluster.addWorkers(1, 3);
                setBehavior(cluster, refuses);
                cluster.run(Milliseconds(500));
                cluster.registryDelay = Milliseconds(400);
                const JobId job = cluster.submit(1, "small", { makeStep(2, 8, Milliseconds(3'000)) });
                cluster.run(Milliseconds(offset));
                cluster.worker(0).restart();
                cluster.worker(1).restart();
                requireCompleted(cluster, job, fmt::format("refuses {}, offset {} ms", refuses, offset));
            }
        }
    }

    // Guards against a second run if the next lifetime carries a start order out that the earlier one left.
    void testStartCarriedOutLateByNextLifetimeIsNoSecondRun()
    {
        for (const bool refuses : { false, true }) {
            for (std::uint64_t seed = 1; seed <= 12; ++seed) {
                BatchCluster cluster(3, seed);
                cluster.addWorkers(1, 2);
                setBehavior(cluster, refuses);
                cluster.run(Milliseconds(500));
                cluster.lateOrderShare = 1;
                const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(20'000)) });
                cluster.run(Milliseconds(400));
                cluster.lateOrderShare = 0;
                cluster.run(Milliseconds(700));
                cluster.workerOf(job).restart();
                requireCompleted(cluster, job, fmt::format("refuses {}, seed {}", refuses, seed));
            }
        }
    }

    // Guards against ending a lifetime because an entry that an earlier one wrote is read after its own.
    void testOlderRegistryEntryEndsNoLivingLifetime()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 2);
        const batch::WorkerRecord older = cluster.worker(0).record;
        cluster.worker(0).restart();
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "small", { makeStep(16, 1, Milliseconds(5'000)) });
        cluster.run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(16, cluster.startsOf(job));
        cluster.isRegistrySilent = true;
        cluster.updateRegistry(false, { older }, {});
        cluster.run(Milliseconds(500));
        cluster.isRegistrySilent = false;
        requireCompleted(cluster, job, "older entry");
        CPPUNIT_ASSERT_EQUAL(16, cluster.startsOf(job));
    }

    // Guards against taking the expiry of an entry of unknown age for its withdrawal by a draining worker.
    void testExpiredEntryOfDrainingWorkerEndsNoLifetime()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(8'000)) });
        cluster.run(Milliseconds(500));
        FakeWorker& draining = cluster.workerOf(job);
        draining.drain(longDrain);
        cluster.run(Milliseconds(500));
        cluster.isRegistrySilent = true;
        followSilentRegistry(cluster, Milliseconds(3'400));
        cluster.updateRegistry(true, { cluster.worker(0).record, cluster.worker(1).record }, {});
        followSilentRegistry(cluster, Milliseconds(1'000));
        cluster.updateRegistry(false, {}, { draining.record.lifetime.id });
        followSilentRegistry(cluster, Milliseconds(500));
        cluster.isRegistrySilent = false;
        requireCompleted(cluster, job, "expired entry");
        CPPUNIT_ASSERT_EQUAL(1, cluster.startsOf(job));
    }

    // Guards against taking a draining worker's entry for withdrawn that has expired while the store was
    // away.
    void testEntryThatIsGoneAfterAnOutageOfTheStoreEndsNoLifetime()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(8'000)) });
        cluster.run(Milliseconds(500));
        FakeWorker& draining = cluster.workerOf(job);
        draining.drain(longDrain);
        cluster.run(Milliseconds(500));
        cluster.isRegistrySilent = true;
        cluster.run(Milliseconds(1'500));
        cluster.updateRegistry(false, {}, { draining.record.lifetime.id }, true);
        followSilentRegistry(cluster, Milliseconds(500));
        cluster.isRegistrySilent = false;
        requireCompleted(cluster, job, "outage of the store");
        CPPUNIT_ASSERT_EQUAL(1, cluster.startsOf(job));
    }

    // Guards against assuming the usual heartbeat interval where the deployment's is shorter.
    void testEntryExpiredAfterShortHeartbeatsEndsNoLifetime()
    {
        BatchCluster cluster;
        cluster.workerLeases.heartbeatInterval = Milliseconds(500);
        for (std::size_t i = 0; i < 3; ++i)
            cluster.restart(i);
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(3'000));
        const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(5'000)) });
        cluster.run(Milliseconds(500));
        FakeWorker& draining = cluster.workerOf(job);
        draining.drain(longDrain);
        cluster.run(Milliseconds(500));
        cluster.isRegistrySilent = true;
        followSilentRegistry(cluster, Milliseconds(1'600));
        cluster.updateRegistry(false, {}, { draining.record.lifetime.id });
        followSilentRegistry(cluster, Milliseconds(500));
        cluster.isRegistrySilent = false;
        requireCompleted(cluster, job, "short heartbeats");
        CPPUNIT_ASSERT_EQUAL(1, cluster.startsOf(job));
    }

    // Guards against a late start order for a lifetime whose leases expired before the next one was known.
    void testStartCarriedOutLateAfterLeaseExpiryIsNoSecondRun()
    {
        for (const bool refuses : { false, true }) {
            for (std::uint64_t seed = 1; seed <= 40; ++seed) {
                BatchCluster cluster(3, seed);
                cluster.addWorkers(1, 2);
                setBehavior(cluster, refuses);
                cluster.run(Milliseconds(500));
                cluster.lateOrderShare = 1;
                const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(20'000)) });
                cluster.run(Milliseconds(400));
                cluster.lateOrderShare = 0;
                cluster.run(Milliseconds(700));
                FakeWorker& restarted = cluster.workerOf(job);
                restarted.leave();
                cluster.run(Milliseconds(8'500));
                restarted.restart();
                restarted.isReachable = true;
                requireCompleted(cluster, job, fmt::format("refuses {}, seed {}", refuses, seed));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWorkerLifetimeTest);

} // namespace anvilmoor::testing
