#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace anvilmoor::testing {

// Tests complete deployments of daemons, store and workers in virtual time, by the answers that callers get
// and the runs that workers start.
class BatchClusterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchClusterTest);
    CPPUNIT_TEST(testAcceptedJobCompletesWithoutFaults);
    CPPUNIT_TEST(testSubmissionIsStoredBeforeItIsAccepted);
    CPPUNIT_TEST(testFirstRunOnWorkerAfterPartitionIsNotDeclaredLost);
    CPPUNIT_TEST(testRepeatedSubmissionRemainsOneJob);
    CPPUNIT_TEST(testStoreOutageLeavesOutcomeUnknownAndRefusesNothing);
    CPPUNIT_TEST(testUnknownJobIsReportedOnlyIfStoreConfirmsIt);
    CPPUNIT_TEST(testKilledLeaderIsReplacedAndItsRunsContinue);
    CPPUNIT_TEST(testRunsContinueAfterAllDaemonsAreKilled);
    CPPUNIT_TEST(testTerminatedLeaderHandsOverAtOnce);
    CPPUNIT_TEST(testLeaderCutFromStoreSendsNoOrderAfterLeaseExpiry);
    CPPUNIT_TEST(testRunOnUnreachableWorkerIsNotRepeatedBeforeLeaseExpiry);
    CPPUNIT_TEST(testRunsOfRestartedWorkerAreRepeated);
    CPPUNIT_TEST(testOrderCarriedOutLateStartsNoSecondRun);
    CPPUNIT_TEST(testLostCommitAnswersLoseNoAcceptedJob);
    CPPUNIT_TEST(testCancelStopsRunsWithinItsBound);
    CPPUNIT_TEST(testJobThatAlwaysFailsIsFailedAfterItsAttempts);
    CPPUNIT_TEST(testWorkerThatFailsEveryRunIsAvoided);
    CPPUNIT_TEST(testWorkerWithoutProgressGetsNoNewRuns);
    CPPUNIT_TEST(testUrgentWorkGoesToFastestWorkerUnderNextLeader);
    CPPUNIT_TEST(testGuaranteedWorkStartsWithinReclaimTime);
    CPPUNIT_TEST(testEvictedWorkCompletesAfterwards);
    CPPUNIT_TEST(testGangStartsOnlyWhereAllOfItFits);
    CPPUNIT_TEST(testRemovedKeyIsRefusedAndRemovedQueueNotFound);
    CPPUNIT_TEST(testRestartedDaemonsAcceptNoWithdrawnKey);
    CPPUNIT_TEST(testDaemonThatCannotConfirmConfigurationRefusesRequests);
    CPPUNIT_TEST(testOlderConfigurationIsIgnored);
    CPPUNIT_TEST(testWaitingJobsAreCounted);
    CPPUNIT_TEST(testEndsBeyondOneCommitAreAcknowledgedOnlyOnceStored);
    CPPUNIT_TEST(testDaemonWithoutStoreLeavesNewConnectionsToOthers);
    CPPUNIT_TEST(testLeaderThatCannotLoadReleasesLease);
    CPPUNIT_TEST(testLoadTimeoutGrowsIfNoDaemonLoadsInTime);
    CPPUNIT_TEST(testJobWithUnreadableProgressStartsNoTaskAgain);
    CPPUNIT_TEST(testRandomFaultsViolateNoGuarantee);
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
    void testAcceptedJobCompletesWithoutFaults()
    {
        BatchCluster cluster;
        cluster.addWorkers(2, 4);
        cluster.run(Milliseconds(500));
        batch::StepSpecification second = makeGang(4, 8, true);
        second.dependsOn = { 0 };
        const JobId job = cluster.submit(1, "gang", { makeStep(3, 1), second });
        cluster.run(Milliseconds(50));
        CPPUNIT_ASSERT(cluster.answerTo(job)->kind == AnswerKind::Accepted);
        requireCompleted(cluster, job, Milliseconds(4'000));
        CPPUNIT_ASSERT_EQUAL(7, cluster.startsOf(job));
    }

    void testSubmissionIsStoredBeforeItIsAccepted()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 4);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(0, "small", { makeStep(1, 1) });
        cluster.run(Milliseconds(9));
        CPPUNIT_ASSERT(cluster.answerTo(job)->kind == AnswerKind::Accepted);
        for (std::size_t i = 0; i < 3; ++i)
            cluster.kill(i);
        cluster.run(Milliseconds(500));
        cluster.restart(2);
        requireCompleted(cluster, job);
    }

    // Guards against declaring a run lost because of a lease from before a network partition. Seen in the
    // recorded scenario inc-f0cb of lbgia: a worker was reachable again, reported old run ends and was
    // assigned a run at once. That run was declared lost because the lease from before the partition had
    // expired.
    void testFirstRunOnWorkerAfterPartitionIsNotDeclaredLost()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 1);
        cluster.run(Milliseconds(500));
        const JobId before = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(20'000)) });
        runUntilStarted(cluster, before);
        cluster.run(Milliseconds(300));
        cluster.worker(0).isReachable = false;
        cluster.run(Milliseconds(12'000));
        const JobId job = cluster.submit(1, "urgent", { makeStep(1, 8) });
        cluster.commitDelay = Milliseconds(60);
        cluster.run(Milliseconds(300));
        cluster.worker(0).isReachable = true;
        requireCompleted(cluster, job, Milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(1, cluster.doneRuns().at({ job, 0, 0, 0 }));
    }

    void testRepeatedSubmissionRemainsOneJob()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 4);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(0, "small", { makeStep(1, 1) });
        cluster.submitAgain(1, "small", job);
        requireCompleted(cluster, job);
        cluster.submitAgain(2, "small", job);
        cluster.run(Milliseconds(3'000));
        CPPUNIT_ASSERT(cluster.answerTo(job)->kind == AnswerKind::Accepted);
        CPPUNIT_ASSERT_EQUAL(1, cluster.startsOf(job));
        requireNoViolation(cluster);
    }

    // Guards against answering "not accepted" while the store may still apply a write that it has not
    // answered.
    void testStoreOutageLeavesOutcomeUnknownAndRefusesNothing()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 4);
        cluster.run(Milliseconds(500));
        cluster.isStoreDown = true;
        const JobId job = cluster.submit(0, "small", { makeStep(1, 1) });
        cluster.run(Milliseconds(2'900));
        CPPUNIT_ASSERT(cluster.answerTo(job)->kind == AnswerKind::OutcomeUnknown);
    }

    void testUnknownJobIsReportedOnlyIfStoreConfirmsIt()
    {
        BatchCluster cluster;
        cluster.run(Milliseconds(500));
        const JobId job("ffffffffffffffff");
        cluster.query(1, "small", job);
        cluster.run(Milliseconds(100));
        CPPUNIT_ASSERT(cluster.lastAnswer()->kind == AnswerKind::NoSuchJob);
        cluster.isStoreDown = true;
        cluster.query(1, "small", job);
        cluster.run(Milliseconds(2'900));
        CPPUNIT_ASSERT(cluster.lastAnswer()->kind == AnswerKind::OutcomeUnknown);
    }

    void testKilledLeaderIsReplacedAndItsRunsContinue()
    {
        BatchCluster cluster;
        cluster.addWorkers(2, 4);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "gang", { makeGang(4, 8, true, Milliseconds(5'000)) });
        runUntilStarted(cluster, job);
        cluster.run(Milliseconds(300));
        cluster.kill(*cluster.leader());
        requireCompleted(cluster, job, Milliseconds(9'000));
        CPPUNIT_ASSERT_EQUAL(4, cluster.startsOf(job));
    }

    void testRunsContinueAfterAllDaemonsAreKilled()
    {
        BatchCluster cluster;
        cluster.addWorkers(2, 4);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "gang", { makeGang(4, 8, true, Milliseconds(5'000)) });
        runUntilStarted(cluster, job);
        for (std::size_t i = 0; i < 3; ++i)
            cluster.kill(i);
        cluster.run(Milliseconds(600));
        for (std::size_t i = 0; i < 3; ++i)
            cluster.restart(i);
        requireCompleted(cluster, job, Milliseconds(9'000));
        CPPUNIT_ASSERT_EQUAL(4, cluster.startsOf(job));
    }

    // Guards against new connections that the load balancer keeps sending to an availability zone that has
    // lost the store. The balancer needs two failed probes, one second apart, to stop, and urgent work is
    // late after 1.5 s.
    void testDaemonWithoutStoreLeavesNewConnectionsToOthers()
    {
        BatchCluster cluster;
        cluster.run(Milliseconds(500));
        cluster.cutFromStore = { 1 };
        cluster.run(Milliseconds(1'100));
        CPPUNIT_ASSERT(cluster.reducer(1).isReady(cluster.now()));
        cluster.run(Milliseconds(300));
        CPPUNIT_ASSERT(!cluster.reducer(1).isReady(cluster.now()));
        CPPUNIT_ASSERT(cluster.reducer(0).isReady(cluster.now()));
        cluster.cutFromStore = {};
        cluster.run(Milliseconds(100));
        CPPUNIT_ASSERT(cluster.reducer(1).isReady(cluster.now()));
    }

    // Guards against a leader that keeps the lease although it cannot load the stored state. Seen in scenario
    // scale-1 of the grown lbgia, seed 12: a host with a 10 Mbit/s link held the lease for 18 s and could not
    // read the jobs.
    void testLeaderThatCannotLoadReleasesLease()
    {
        BatchCluster cluster;
        cluster.cannotRead = { 0 };
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, cluster.leader().value());
        const JobId job = cluster.submit(1, "urgent", { makeStep(1, 1) });
        requireCompleted(cluster, job, Milliseconds(4'000));
        CPPUNIT_ASSERT(cluster.leader().value() != 0);
    }

    void testLoadTimeoutGrowsIfNoDaemonLoadsInTime()
    {
        BatchCluster cluster;
        cluster.cannotRead = { 0, 1, 2 };
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "urgent", { makeStep(1, 1) });
        cluster.run(Milliseconds(20'000));
        cluster.cannotRead = {};
        requireCompleted(cluster, job, Milliseconds(9'000));
    }

    // Guards against acknowledging run ends that are not stored yet. Found by the fault search in scenario
    // store-lapses of the grown lbgia, seed 251847722555: more jobs had changed than fit into one commit, and
    // run ends that only the following commit stored were acknowledged. The next leader ran these tasks
    // again.
    void testEndsBeyondOneCommitAreAcknowledgedOnlyOnceStored()
    {
        for (int offset = 0; offset < 800; offset += 100) {
            BatchCluster cluster;
            cluster.addWorkers(4, 8);
            cluster.run(Milliseconds(500));
            std::vector<JobId> jobs;
            for (int i = 0; i < 200; ++i)
                jobs.push_back(cluster.submit(1, "small", { makeStep(1, 1) }));
            cluster.run(Milliseconds(900));
            cluster.commitDelay = Milliseconds(300);
            cluster.run(Milliseconds(300 + offset));
            if (const auto leader = cluster.leader())
                cluster.kill(*leader);
            cluster.commitDelay = Milliseconds(0);
            for (const JobId& job : jobs)
                requireCompleted(cluster, job);
        }
    }

    // Guards against running a job again from its beginning because its progress cannot be decoded.
    void testJobWithUnreadableProgressStartsNoTaskAgain()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 4);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "small", { makeStep(2, 1, Milliseconds(20'000)) });
        const JobId other = cluster.submit(1, "small", { makeStep(2, 1, Milliseconds(3'000)) });
        runUntilStarted(cluster, job);
        cluster.run(Milliseconds(300));
        cluster.corruptProgress(job);
        cluster.kill(*cluster.leader());
        requireCompleted(cluster, other);
        cluster.run(Milliseconds(20'000));
        CPPUNIT_ASSERT_EQUAL(2, cluster.startsOf(job));
        requireNoViolation(cluster);
    }

    void testTerminatedLeaderHandsOverAtOnce()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 4);
        cluster.run(Milliseconds(500));
        const std::size_t old = *cluster.leader();
        cluster.terminate(old);
        CPPUNIT_ASSERT(cluster.runUntil(
            [&] { return cluster.leader() && *cluster.leader() != old; }, Milliseconds(800)));
        const JobId job = cluster.submit(*cluster.leader(), "urgent", { makeStep(1, 1) });
        requireCompleted(cluster, job, Milliseconds(3'000));
        CPPUNIT_ASSERT(cluster.runUntil([&] { return !cluster.isRunning(old); }, Milliseconds(6'000)));
    }

    void testLeaderCutFromStoreSendsNoOrderAfterLeaseExpiry()
    {
        BatchCluster cluster;
        cluster.addWorkers(2, 4);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "small", { makeStep(6, 1, Milliseconds(9'000)) });
        runUntilStarted(cluster, job);
        const std::size_t old = *cluster.leader();
        cluster.cutFromStore.insert(old);
        cluster.run(Milliseconds(4'000));
        cluster.cutFromStore.clear();
        requireCompleted(cluster, job);
        CPPUNIT_ASSERT_EQUAL(6, cluster.startsOf(job));
    }

    void testRunOnUnreachableWorkerIsNotRepeatedBeforeLeaseExpiry()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 3);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(20'000)) });
        runUntilStarted(cluster, job);
        cluster.run(Milliseconds(300));
        cluster.workerOf(job).isReachable = false;
        cluster.run(Milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(1, cluster.startsOf(job));
        cluster.run(Milliseconds(6'000));
        CPPUNIT_ASSERT_EQUAL(2, cluster.startsOf(job));
        requireNoViolation(cluster);
    }

    void testRunsOfRestartedWorkerAreRepeated()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 3);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "small", { makeStep(2, 1, Milliseconds(3'000)) });
        runUntilStarted(cluster, job);
        cluster.run(Milliseconds(300));
        cluster.workerOf(job).restart();
        requireCompleted(cluster, job, Milliseconds(8'000));
    }

    void testOrderCarriedOutLateStartsNoSecondRun()
    {
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            BatchCluster cluster(3, seed);
            cluster.addWorkers(2, 4);
            cluster.run(Milliseconds(500));
            cluster.lateOrderShare = 0.3;
            std::vector<JobId> jobs;
            for (int i = 0; i < 6; ++i) {
                jobs.push_back(cluster.submit(1, "gang", { makeGang(2, 2) }));
                jobs.push_back(cluster.submit(2, "small", { makeStep(3, 1) }));
                cluster.run(Milliseconds(400));
            }
            cluster.run(Milliseconds(6'000));
            cluster.lateOrderShare = 0;
            for (const JobId& job : jobs)
                requireCompleted(cluster, job);
            cluster.run(Milliseconds(12'000));
            requireNoViolation(cluster);
        }
    }

    void testLostCommitAnswersLoseNoAcceptedJob()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            BatchCluster cluster(3, seed);
            cluster.addWorkers(2, 4);
            cluster.run(Milliseconds(500));
            cluster.lostCommitReplyShare = 0.35;
            std::vector<JobId> jobs;
            for (int i = 0; i < 8; ++i) {
                jobs.push_back(cluster.submit(static_cast<std::size_t>(i % 3), "small", { makeStep(2, 1) }));
                cluster.run(Milliseconds(400));
            }
            for (const JobId& job : jobs) {
                const auto answer = cluster.answerTo(job);
                if (answer && answer->kind == AnswerKind::Accepted)
                    requireCompleted(cluster, job);
            }
            requireNoViolation(cluster);
        }
    }

    void testCancelStopsRunsWithinItsBound()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 4);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "gang", { makeGang(3, 2, false, Milliseconds(30'000)) });
        runUntilStarted(cluster, job);
        cluster.cancel(2, "gang", job);
        cluster.run(Milliseconds(100));
        CPPUNIT_ASSERT(cluster.lastAnswer()->kind == AnswerKind::Cancelled);
        // The platform allows 3 s until runs are stopped, plus 0.2 s for the stop itself.
        cluster.run(Milliseconds(3'000));
        for (std::size_t i = 0; i < cluster.workerCount(); ++i)
            CPPUNIT_ASSERT(cluster.worker(i).runs().empty());
        CPPUNIT_ASSERT(cluster.stateOf(job) == JobState::Cancelled);
        cluster.run(Milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(3, cluster.startsOf(job));
    }

    void testJobThatAlwaysFailsIsFailedAfterItsAttempts()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 4);
        cluster.run(Milliseconds(500));
        for (std::size_t i = 0; i < 4; ++i)
            cluster.worker(i).isFailing = true;
        const JobId job = cluster.submit(1, "small", { makeStep(1, 1) });
        CPPUNIT_ASSERT(
            cluster.runUntil([&] { return cluster.stateOf(job) == JobState::Failed; }, Milliseconds(10'000)));
        cluster.run(Milliseconds(3'000));
        // The default configuration allows two attempts.
        CPPUNIT_ASSERT_EQUAL(2, cluster.startsOf(job));
    }

    void testWorkerThatFailsEveryRunIsAvoided()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 4);
        cluster.run(Milliseconds(500));
        cluster.worker(0).isFailing = true;
        int failed = 0;
        for (int i = 0; i < 30; ++i) {
            const JobId job = cluster.submit(1, "small", { makeStep(1, 8, Milliseconds(300)) });
            cluster.run(Milliseconds(500));
            failed += cluster.stateOf(job) == JobState::Failed ? 1 : 0;
        }
        CPPUNIT_ASSERT(failed <= 2);
        requireNoViolation(cluster);
    }

    // Guards against placing work on a worker that answers every poll although its runs make no progress.
    void testWorkerWithoutProgressGetsNoNewRuns()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(500));
        const JobId stuck = cluster.submit(1, "small", { makeStep(1, 2, Milliseconds(5'000)) });
        runUntilStarted(cluster, stuck);
        FakeWorker& stalled = cluster.workerOf(stuck);
        stalled.speed = 0;
        cluster.run(Milliseconds(3'000));
        // By free capacity alone, placement would prefer the stalled worker to the idle one.
        const JobId job = cluster.submit(1, "urgent", { makeStep(2, 2) });
        requireCompleted(cluster, job, Milliseconds(3'000));
        stalled.speed = 1;
        requireCompleted(cluster, stuck, Milliseconds(8'000));
        const JobId later = cluster.submit(1, "small", { makeStep(16, 1) });
        requireCompleted(cluster, later, Milliseconds(3'000));
    }

    // Guards against placing urgent work on slow workers, and against a new leader that has not restored the
    // measured speeds.
    void testUrgentWorkGoesToFastestWorkerUnderNextLeader()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 4);
        cluster.worker(2).speed = 1.5;
        cluster.run(Milliseconds(500));
        for (int i = 0; i < 4; ++i) {
            const JobId warmUp = cluster.submit(1, "small", { makeStep(4, 8, Milliseconds(4'000)) });
            requireCompleted(cluster, warmUp);
        }
        cluster.run(Milliseconds(2'500));
        cluster.kill(*cluster.leader());
        cluster.run(Milliseconds(3'000));
        const JobId job = cluster.submit(2, "urgent", { makeStep(1, 8) });
        runUntilStarted(cluster, job);
        CPPUNIT_ASSERT(&cluster.workerOf(job) == &cluster.worker(2));
    }

    // The platform requires guaranteed work to start within 2.7 s of its acceptance.
    void testGuaranteedWorkStartsWithinReclaimTime()
    {
        BatchCluster cluster;
        cluster.addWorkers(2, 2);
        cluster.run(Milliseconds(500));
        std::vector<JobId> fillers;
        for (int i = 0; i < 4; ++i)
            fillers.push_back(cluster.submit(1, "small", { makeStep(8, 1, Milliseconds(30'000)) }, "key-b"));
        cluster.run(Milliseconds(2'000));
        const JobId job = cluster.submit(0, "urgent", { makeGang(2, 8, true) }, "key-a");
        const TimePoint submittedAt = cluster.now();
        runUntilStarted(cluster, job);
        CPPUNIT_ASSERT(*cluster.firstStart(job) - submittedAt < Milliseconds(2'700));
        requireCompleted(cluster, job);
    }

    void testEvictedWorkCompletesAfterwards()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(500));
        const JobId gang = cluster.submit(1, "gang", { makeGang(2, 8, true, Milliseconds(6'000)) }, "key-b");
        runUntilStarted(cluster, gang);
        cluster.run(Milliseconds(1'000));
        const JobId urgent = cluster.submit(0, "urgent", { makeGang(2, 8, true) }, "key-a");
        requireCompleted(cluster, urgent, Milliseconds(5'000));
        requireCompleted(cluster, gang);
        CPPUNIT_ASSERT_EQUAL(4, cluster.startsOf(gang));
    }

    void testGangStartsOnlyWhereAllOfItFits()
    {
        BatchCluster cluster;
        cluster.addWorkers(2, 2);
        cluster.run(Milliseconds(500));
        const JobId blocker = cluster.submit(1, "gang", { makeStep(1, 8, Milliseconds(3'000)) });
        const JobId other = cluster.submit(1, "gang", { makeStep(1, 8, Milliseconds(3'000)) });
        runUntilStarted(cluster, other);
        const JobId gang = cluster.submit(1, "gang", { makeGang(4, 8) });
        cluster.run(Milliseconds(1'500));
        CPPUNIT_ASSERT_EQUAL(0, cluster.startsOf(gang));
        requireCompleted(cluster, gang);
        CPPUNIT_ASSERT_EQUAL(4, cluster.startsOf(gang));
        CPPUNIT_ASSERT(isCompleted(cluster, blocker));
    }

    // Requests arrive from the moment at which the daemons are back, before they have read anything.
    void testRestartedDaemonsAcceptNoWithdrawnKey()
    {
        BatchCluster cluster;
        cluster.addWorkers(1, 2);
        cluster.run(Milliseconds(500));
        batch::Configuration changed = BatchCluster::defaultConfiguration();
        changed.version = 2;
        changed.accounts.front().apiKeys.clear();
        cluster.setConfiguration(changed);
        cluster.run(Milliseconds(100));
        cluster.restartAllDaemons();
        for (std::size_t request = 0; request < 60; ++request) {
            const JobId job = cluster.submit(request % 3, "small", { makeStep(1, 1) });
            cluster.run(Milliseconds(20));
            const auto answer = cluster.answerTo(job);
            CPPUNIT_ASSERT(!answer || answer->kind != AnswerKind::Accepted);
            CPPUNIT_ASSERT_EQUAL(0, cluster.startsOf(job));
        }
        cluster.submit(1, "small", { makeStep(1, 1) });
        CPPUNIT_ASSERT(cluster.lastAnswer()->kind == AnswerKind::UnknownKey);
    }

    void testRemovedKeyIsRefusedAndRemovedQueueNotFound()
    {
        BatchCluster cluster;
        cluster.run(Milliseconds(500));
        batch::Configuration changed = BatchCluster::defaultConfiguration();
        changed.version = 2;
        changed.accounts.front().apiKeys.clear();
        changed.queues.pop_back();
        cluster.setConfiguration(changed);
        cluster.run(Milliseconds(100));
        cluster.submit(1, "gang", { makeStep(1, 1) });
        CPPUNIT_ASSERT(cluster.lastAnswer()->kind == AnswerKind::UnknownKey);
        cluster.submit(1, "small", { makeStep(1, 1) }, "key-b");
        CPPUNIT_ASSERT(cluster.lastAnswer()->kind == AnswerKind::NoSuchQueue);
    }

    // Guards against a daemon that still accepts an API key because it cannot learn of the key's removal.
    void testDaemonThatCannotConfirmConfigurationRefusesRequests()
    {
        BatchCluster cluster;
        cluster.run(Milliseconds(500));
        CPPUNIT_ASSERT(cluster.reducer(1).isReady(cluster.now()));
        cluster.cutFromStore.insert(1);
        cluster.run(Milliseconds(4'100));
        CPPUNIT_ASSERT(!cluster.reducer(1).isReady(cluster.now()));
        cluster.submit(1, "small", { makeStep(1, 1) });
        CPPUNIT_ASSERT(cluster.lastAnswer()->kind == AnswerKind::NoConfiguration);
    }

    void testOlderConfigurationIsIgnored()
    {
        BatchCluster cluster;
        batch::Configuration newer = BatchCluster::defaultConfiguration();
        newer.version = 9;
        newer.queues.pop_back();
        cluster.setConfiguration(newer);
        cluster.run(Milliseconds(500));
        cluster.setConfiguration(BatchCluster::defaultConfiguration());
        cluster.run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 9 }, cluster.reducer(0).configuration().version);
    }

    void testWaitingJobsAreCounted()
    {
        BatchCluster cluster;
        cluster.run(Milliseconds(500));
        for (int i = 0; i < 5; ++i)
            cluster.submit(1, "small", { makeStep(1, 1) });
        // The reported count may be up to 2 s old.
        cluster.run(Milliseconds(2'000));
        cluster.count(2, "small");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 5 }, cluster.lastAnswer()->count);
    }

    // Injects daemon kills, network partitions, lost answers, late orders and worker restarts in random
    // order, with a different sequence for each seed.
    void testRandomFaultsViolateNoGuarantee()
    {
        for (std::uint64_t seed = 1; seed <= 25; ++seed) {
            BatchCluster cluster(4, seed);
            cluster.addWorkers(3, 4);
            cluster.run(Milliseconds(500));
            std::mt19937_64 random(seed * 977);
            std::vector<JobId> jobs;
            for (int round = 0; round < 40; ++round) {
                injectFault(cluster, random);
                submitRandomJob(cluster, random, jobs);
                cluster.run(Milliseconds(300));
            }
            clearFaults(cluster);
            for (const JobId& job : jobs) {
                const auto answer = cluster.answerTo(job);
                if (!answer || answer->kind != AnswerKind::Accepted)
                    continue;
                const bool hasEnded = cluster.runUntil(
                    [&] { return batch::isTerminal(cluster.stateOf(job)); }, 2 * oneMinute);
                CPPUNIT_ASSERT_MESSAGE(
                    fmt::format("seed {}: job {} has not ended", seed, job.value()), hasEnded);
            }
            if (!cluster.violations().empty())
                CPPUNIT_FAIL(fmt::format("seed {}: {}", seed, cluster.violations().front()));
        }
    }

private:
    static void submitRandomJob(BatchCluster& cluster, std::mt19937_64& random, std::vector<JobId>& jobs)
    {
        const std::size_t daemon = random() % 4;
        if (!cluster.isRunning(daemon))
            return;
        switch (random() % 3) {
        case 0:
            jobs.push_back(cluster.submit(daemon, "urgent", { makeGang(2, 4, true, Milliseconds(800)) }));
            return;
        case 1:
            jobs.push_back(cluster.submit(daemon, "gang", { makeGang(3, 8, false, Milliseconds(2'000)) }));
            return;
        default:
            jobs.push_back(cluster.submit(daemon, "small", { makeStep(6, 1, Milliseconds(1'500)) }));
        }
    }

    static void injectFault(BatchCluster& cluster, std::mt19937_64& random)
    {
        const std::size_t daemon = random() % 4;
        FakeWorker& worker = cluster.worker(random() % cluster.workerCount());
        switch (random() % 12) {
        case 0:
            if (cluster.isRunning(daemon))
                cluster.kill(daemon);
            return;
        case 1:
            if (!cluster.isRunning(daemon))
                cluster.restart(daemon);
            return;
        case 2:
            cluster.cutFromStore.insert(daemon);
            return;
        case 3:
            cluster.cutFromStore.clear();
            return;
        case 4:
            cluster.cutFromWorkers.insert(daemon);
            return;
        case 5:
            cluster.cutFromWorkers.clear();
            return;
        case 6:
            worker.isReachable = !worker.isReachable;
            return;
        case 7:
            worker.restart();
            return;
        case 8:
            cluster.lostCommitReplyShare = cluster.lostCommitReplyShare > 0 ? 0 : 0.3;
            return;
        case 9:
            cluster.lateOrderShare = cluster.lateOrderShare > 0 ? 0 : 0.2;
            return;
        case 10:
            cluster.isStoreDown = !cluster.isStoreDown;
            return;
        default:
            return;
        }
    }

    static void clearFaults(BatchCluster& cluster)
    {
        cluster.cutFromStore.clear();
        cluster.cutFromWorkers.clear();
        cluster.isStoreDown = false;
        cluster.lostCommitReplyShare = 0;
        cluster.lateOrderShare = 0;
        for (std::size_t i = 0; i < cluster.workerCount(); ++i)
            cluster.worker(i).isReachable = true;
        for (std::size_t i = 0; i < 4; ++i) {
            if (!cluster.isRunning(i))
                cluster.restart(i);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchClusterTest);

} // namespace anvilmoor::testing
