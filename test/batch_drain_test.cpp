#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <random>
#include <vector>

namespace anvilmoor::testing {

// Tests that no work is lost with a worker that leaves as announced: each of its runs ends, and its end is
// known, before that.
class BatchDrainTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchDrainTest);
    CPPUNIT_TEST(testRunThatIsDoneAsItsWorkerLeavesIsNotRepeated);
    CPPUNIT_TEST(testGangThatIsDoneAsItsWorkersLeaveIsNotRepeated);
    CPPUNIT_TEST(testRunThatEndsBeforeItsLastStopIsNotStopped);
    CPPUNIT_TEST(testRunThatBecomesSlowerNearItsEndIsNotRepeated);
    CPPUNIT_TEST(testRunThatCannotEndInTimeIsStoppedAtOnce);
    CPPUNIT_TEST(testRunWithCheckpointsWorksUntilItsWorkerHasToStopIt);
    CPPUNIT_TEST(testRunOfWorkerWithSlowClockIsStoppedInTimeAfterLongNotice);
    CPPUNIT_TEST(testGangIsStoppedAsOneBeforeAMemberIsLost);
    CPPUNIT_TEST(testLastingTaskMovesBeforeItsWorkerLeaves);
    CPPUNIT_TEST(testLeaderThatLoadsDuringDrainRepeatsNoDoneRun);
    CPPUNIT_TEST(testDrainReadLateRepeatsNoDoneRun);
    CPPUNIT_TEST(testRandomDrainsRepeatNoDoneRun);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Milliseconds notice { 2'000 };
    static constexpr Milliseconds stopTimeout { 900 };

    // Daemons and workers that agree on how long a stop takes.
    static void startCluster(BatchCluster& cluster, int workers)
    {
        cluster.workerLeases.stopTimeout = stopTimeout;
        for (std::size_t i = 0; i < 3; ++i)
            cluster.restart(i);
        cluster.addWorkers(1, workers);
        for (std::size_t i = 0; i < cluster.workerCount(); ++i)
            cluster.worker(i).behavior.maxStopTime = stopTimeout;
        cluster.run(Milliseconds(3'000));
    }

    static void runUntilStarts(BatchCluster& cluster, const JobId& job, int starts)
    {
        CPPUNIT_ASSERT(
            cluster.runUntil([&] { return cluster.startsOf(job) >= starts; }, Milliseconds(10'000)));
    }

    static void requireCompleted(BatchCluster& cluster, const JobId& job, const std::string& variant)
    {
        const bool isCompleted = cluster.runUntil(
            [&] { return cluster.stateOf(job) == JobState::Completed; }, Milliseconds(60'000));
        if (!cluster.violations().empty())
            CPPUNIT_FAIL(fmt::format("{}: {}", variant, cluster.violations().front()));
        CPPUNIT_ASSERT_MESSAGE(variant, isCompleted);
    }

    // Plays 15 s in which 8 of 16 workers leave, one after the other, while jobs of all kinds arrive.
    static std::vector<JobId> drainHalfOfTheWorkers(BatchCluster& cluster, std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::vector<JobId> jobs;
        for (int tick = 0; tick < 60; ++tick) {
            const Milliseconds duration(300 + random() % 8'000);
            if (tick % 2) {
                batch::StepSpecification step = makeStep(6, 1, duration);
                step.savesCheckpoints = random() % 2;
                jobs.push_back(cluster.submit(1, "small", { step }));
            } else if (tick % 4) {
                jobs.push_back(cluster.submit(1, "gang", { makeGang(2, 4, false, duration) }));
            }
            if (tick >= 12 && tick % 6 == 0)
                cluster.drainAndLeave(
                    static_cast<std::size_t>(tick / 6 - 2), Milliseconds(1'500 + random() % 4'000));
            cluster.run(Milliseconds(250));
        }
        return jobs;
    }

    // Has a worker of the job leave shortly after the job's run has ended.
    static void drainAroundEnd(BatchCluster& cluster, const JobId& job, Milliseconds untilEnd, int offsetMs)
    {
        runUntilStarts(cluster, job, 1);
        cluster.run(untilEnd - notice + Milliseconds(offsetMs));
        cluster.drainAndLeave(cluster.workersOf(job).front(), notice);
    }

public:
    void testRunThatIsDoneAsItsWorkerLeavesIsNotRepeated()
    {
        for (int offset = -20; offset <= 60; offset += 2) {
            BatchCluster cluster;
            startCluster(cluster, 2);
            const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(3'000)) });
            drainAroundEnd(cluster, job, Milliseconds(3'000), offset);
            requireCompleted(cluster, job, fmt::format("offset {} ms", offset));
        }
    }

    void testGangThatIsDoneAsItsWorkersLeaveIsNotRepeated()
    {
        for (int offset = -20; offset <= 60; offset += 4) {
            BatchCluster cluster;
            startCluster(cluster, 4);
            const JobId job = cluster.submit(1, "gang", { makeGang(2, 8, false, Milliseconds(3'000)) });
            runUntilStarts(cluster, job, 2);
            cluster.run(Milliseconds(3'000 + offset) - notice);
            for (const std::size_t worker : cluster.workersOf(job))
                cluster.drainAndLeave(worker, notice);
            requireCompleted(cluster, job, fmt::format("offset {} ms", offset));
        }
    }

    void testRunThatEndsBeforeItsLastStopIsNotStopped()
    {
        BatchCluster cluster;
        startCluster(cluster, 2);
        const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(5'000)) });
        runUntilStarts(cluster, job, 1);
        cluster.run(Milliseconds(4'300));
        cluster.drainAndLeave(cluster.workersOf(job).front(), notice);
        requireCompleted(cluster, job, "fits");
        CPPUNIT_ASSERT_EQUAL(1, cluster.startsOf(job));
    }

    // Guards against runs that are not stopped because they seem certain to end in time.
    void testRunThatBecomesSlowerNearItsEndIsNotRepeated()
    {
        constexpr Milliseconds duration { 5'000 };
        constexpr Milliseconds leftAtLastStop { 500 };
        constexpr Milliseconds beforeLeaving { 1'100 };
        for (int offset = -112; offset <= 40; offset += 4) {
            BatchCluster cluster;
            startCluster(cluster, 2);
            const JobId job = cluster.submit(1, "small", { makeStep(1, 1, duration) });
            runUntilStarts(cluster, job, 1);
            cluster.run(duration - leftAtLastStop + beforeLeaving - notice);
            const std::size_t worker = cluster.workersOf(job).front();
            cluster.drainAndLeave(worker, notice);
            cluster.run(notice - beforeLeaving);
            const double timeToEnd = static_cast<double>(beforeLeaving.count() + offset);
            cluster.worker(worker).speed = static_cast<double>(leftAtLastStop.count()) / timeToEnd;
            requireCompleted(cluster, job, fmt::format("offset {} ms", offset));
        }
    }

    void testRunThatCannotEndInTimeIsStoppedAtOnce()
    {
        BatchCluster cluster;
        startCluster(cluster, 2);
        const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(20'000)) });
        runUntilStarts(cluster, job, 1);
        cluster.run(Milliseconds(3'000));
        const TimePoint drainedAt = cluster.now();
        cluster.drainAndLeave(cluster.workersOf(job).front(), Milliseconds(8'000));
        runUntilStarts(cluster, job, 2);
        CPPUNIT_ASSERT(cluster.now() < drainedAt + stopTimeout + Milliseconds(300));
        requireCompleted(cluster, job, "does not fit");
    }

    // The time that remains is used, and nothing of the work is lost.
    void testRunWithCheckpointsWorksUntilItsWorkerHasToStopIt()
    {
        BatchCluster cluster;
        startCluster(cluster, 2);
        batch::StepSpecification step = makeStep(1, 1, Milliseconds(20'000));
        step.savesCheckpoints = true;
        const JobId job = cluster.submit(1, "small", { step });
        runUntilStarts(cluster, job, 1);
        cluster.run(Milliseconds(3'000));
        const TimePoint drainedAt = cluster.now();
        cluster.drainAndLeave(cluster.workersOf(job).front(), Milliseconds(8'000));
        runUntilStarts(cluster, job, 2);
        CPPUNIT_ASSERT(cluster.now() >= drainedAt + Milliseconds(8'000) - stopTimeout - Milliseconds(300));
        CPPUNIT_ASSERT(cluster.now() < drainedAt + Milliseconds(8'000));
        cluster.run(Milliseconds(10'500));
        requireCompleted(cluster, job, "with checkpoints");
        CPPUNIT_ASSERT(cluster.now() < drainedAt + Milliseconds(19'500));
    }

    void testRunOfWorkerWithSlowClockIsStoppedInTimeAfterLongNotice()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            BatchCluster cluster(3, seed);
            startCluster(cluster, 2);
            batch::StepSpecification step = makeStep(4, 1, Milliseconds(40'000));
            step.savesCheckpoints = true;
            const JobId job = cluster.submit(1, "small", { step });
            runUntilStarts(cluster, job, 4);
            cluster.drainAndLeave(cluster.workersOf(job).front(), Milliseconds(30'000));
            requireCompleted(cluster, job, fmt::format("seed {}", seed));
        }
    }

    void testGangIsStoppedAsOneBeforeAMemberIsLost()
    {
        BatchCluster cluster;
        startCluster(cluster, 4);
        const JobId job = cluster.submit(1, "gang", { makeGang(2, 8, false, Milliseconds(10'000)) });
        runUntilStarts(cluster, job, 2);
        cluster.run(Milliseconds(2'000));
        const TimePoint drainedAt = cluster.now();
        cluster.drainAndLeave(cluster.workersOf(job).front(), Milliseconds(4'000));
        runUntilStarts(cluster, job, 4);
        CPPUNIT_ASSERT(cluster.now() < drainedAt + stopTimeout + Milliseconds(300));
        requireCompleted(cluster, job, "gang");
        CPPUNIT_ASSERT_EQUAL(4, cluster.startsOf(job));
    }

    void testLastingTaskMovesBeforeItsWorkerLeaves()
    {
        BatchCluster cluster;
        startCluster(cluster, 2);
        batch::StepSpecification step = makeStep(1, 1, Milliseconds(60'000));
        step.runsUntilCancelled = true;
        const JobId job = cluster.submit(1, "small", { step });
        runUntilStarts(cluster, job, 1);
        cluster.run(Milliseconds(1'000));
        const TimePoint drainedAt = cluster.now();
        cluster.drainAndLeave(cluster.workersOf(job).front(), notice);
        runUntilStarts(cluster, job, 2);
        CPPUNIT_ASSERT(cluster.now() < drainedAt + notice);
        CPPUNIT_ASSERT(cluster.violations().empty());
    }

    void testLeaderThatLoadsDuringDrainRepeatsNoDoneRun()
    {
        for (int offset = -20; offset <= 60; offset += 4) {
            BatchCluster cluster;
            startCluster(cluster, 2);
            const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(6'000)) });
            runUntilStarts(cluster, job, 1);
            cluster.run(Milliseconds(2'000 + offset));
            cluster.drainAndLeave(cluster.workersOf(job).front(), 2 * notice);
            cluster.run(Milliseconds(200));
            cluster.kill(*cluster.leader());
            requireCompleted(cluster, job, fmt::format("offset {} ms", offset));
        }
    }

    void testDrainReadLateRepeatsNoDoneRun()
    {
        for (int offset = -20; offset <= 60; offset += 4) {
            BatchCluster cluster;
            startCluster(cluster, 2);
            cluster.registryDelay = Milliseconds(600);
            const JobId job = cluster.submit(1, "small", { makeStep(1, 1, Milliseconds(3'000)) });
            drainAroundEnd(cluster, job, Milliseconds(3'000), offset);
            requireCompleted(cluster, job, fmt::format("offset {} ms", offset));
        }
    }

    void testRandomDrainsRepeatNoDoneRun()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            BatchCluster cluster(3, seed);
            startCluster(cluster, 16);
            for (const JobId& job : drainHalfOfTheWorkers(cluster, seed))
                requireCompleted(cluster, job, fmt::format("seed {}", seed));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchDrainTest);

} // namespace anvilmoor::testing
