#include "batch/jobs/job_book.h"
#include "batch/jobs/job_codec.h"
#include "batch/jobs/job_progress.h"
#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::batch {

class JobProgressTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobProgressTest);
    CPPUNIT_TEST(testStepWaitsForAllTasksOfEarlierSteps);
    CPPUNIT_TEST(testGangIsOneUnitAndSharesItsRun);
    CPPUNIT_TEST(testOneDoneEndFinishesWholeGang);
    CPPUNIT_TEST(testFailureOfGangCountsOnceForEachRun);
    CPPUNIT_TEST(testLastAllowedFailureFailsJobAndStopsItsRuns);
    CPPUNIT_TEST(testOnlyFailuresCountAsAttempts);
    CPPUNIT_TEST(testBrokenGangIsStoppedWholeBeforeItRunsAgain);
    CPPUNIT_TEST(testRepeatedEndChangesNothing);
    CPPUNIT_TEST(testLateDoneOfEarlierRunStopsLaterRun);
    CPPUNIT_TEST(testTaskUntilCancelledIsRestartedHoweverItEnds);
    CPPUNIT_TEST(testOccurrencesOpenWhenDue);
    CPPUNIT_TEST(testCancelStopsRunsAndStaysCancelled);
    CPPUNIT_TEST(testRestoredProgressGoesOnWithRunsAndFailures);
    CPPUNIT_TEST(testProgressOfAnotherShapeIsRefused);
    CPPUNIT_TEST(testJobRowRoundTripKeepsEveryField);
    CPPUNIT_TEST(testUnreadableJobRowGivesReason);
    CPPUNIT_TEST(testCheckpointOfAnyMemberServesWholeGang);
    CPPUNIT_TEST_SUITE_END();

    const WorkerLifetime m_first { WorkerId("w1"), 7 };
    const WorkerLifetime m_second { WorkerId("w2"), 8 };

    static AcceptedJob jobOf(std::vector<StepSpecification> steps)
    {
        AcceptedJob job;
        job.specification = { JobId("0123456789abcdef"), "payload", std::move(steps), {} };
        job.terms
            = { "queue", ServiceId("planner"), ClientAccountId("account"), 1, 2, 3.0, Milliseconds(1'000) };
        return job;
    }

    static JobProgress progressOf(std::vector<StepSpecification> steps)
    {
        JobProgress progress(jobOf(std::move(steps)));
        progress.openDueOccurrences(WallTime(Seconds(1)));
        return progress;
    }

    static RunId runOf(int step, int index, int run)
    {
        return { { JobId("0123456789abcdef"), 0, step, index }, run };
    }

    void assignAll(JobProgress& progress) const
    {
        for (const PlacementUnit& unit : progress.readyUnits())
            progress.assign(unit, std::vector<WorkerLifetime>(unit.tasks.size(), m_first));
    }

public:
    // Guards against starting a step before the steps it depends on are done.
    void testStepWaitsForAllTasksOfEarlierSteps()
    {
        StepSpecification second = testing::makeStep(1, 1);
        second.dependsOn = { 0 };
        JobProgress progress = progressOf({ testing::makeStep(2, 1), second });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, progress.readyUnits().size());
        assignAll(progress);
        progress.runEnded(runOf(0, 0, 1), RunEnd::Done, {});
        CPPUNIT_ASSERT(progress.readyUnits().empty());
        progress.runEnded(runOf(0, 1, 1), RunEnd::Done, {});
        CPPUNIT_ASSERT_EQUAL(1, progress.readyUnits().front().step);
    }

    void testGangIsOneUnitAndSharesItsRun()
    {
        JobProgress progress = progressOf({ testing::makeGang(3, 1) });
        const std::vector<PlacementUnit> units = progress.readyUnits();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, units.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, units.front().tasks.size());
        assignAll(progress);
        for (const RunId& run : progress.assignedRuns())
            CPPUNIT_ASSERT_EQUAL(1, run.run);
    }

    void testOneDoneEndFinishesWholeGang()
    {
        JobProgress progress = progressOf({ testing::makeGang(3, 1) });
        assignAll(progress);
        const RunConsequence consequence = progress.runEnded(runOf(0, 1, 1), RunEnd::Done, {});
        CPPUNIT_ASSERT(consequence.newState == JobState::Completed);
        CPPUNIT_ASSERT(progress.hasAssignments());
    }

    // Guards against failing a job too early because several members of a gang report the failure of the same
    // run.
    void testFailureOfGangCountsOnceForEachRun()
    {
        JobProgress progress = progressOf({ testing::makeGang(3, 1) });
        assignAll(progress);
        progress.runEnded(runOf(0, 0, 1), RunEnd::Failed, {});
        progress.runEnded(runOf(0, 1, 1), RunEnd::Failed, {});
        progress.runEnded(runOf(0, 2, 1), RunEnd::GangBroken, {});
        CPPUNIT_ASSERT(progress.state() == JobState::Running);
        assignAll(progress);
        const RunConsequence consequence = progress.runEnded(runOf(0, 2, 2), RunEnd::Failed, {});
        CPPUNIT_ASSERT(consequence.newState == JobState::Failed);
    }

    void testLastAllowedFailureFailsJobAndStopsItsRuns()
    {
        JobProgress progress = progressOf({ testing::makeStep(2, 1) });
        assignAll(progress);
        progress.runEnded(runOf(0, 0, 1), RunEnd::Failed, {});
        assignAll(progress);
        const RunConsequence consequence = progress.runEnded(runOf(0, 0, 2), RunEnd::Failed, {});
        CPPUNIT_ASSERT(consequence.newState == JobState::Failed);
        CPPUNIT_ASSERT(consequence.toStop == std::vector<RunId> { runOf(0, 1, 1) });
        CPPUNIT_ASSERT(progress.readyUnits().empty());
    }

    void testOnlyFailuresCountAsAttempts()
    {
        JobProgress progress = progressOf({ testing::makeStep(1, 1) });
        int run = 0;
        for (const RunEnd end : { RunEnd::Stopped, RunEnd::LeaseExpired, RunEnd::GangBroken,
                 RunEnd::GangIncomplete, RunEnd::Stopped }) {
            assignAll(progress);
            progress.runEnded(runOf(0, 0, ++run), end, {});
            CPPUNIT_ASSERT(progress.state() == JobState::Running);
        }
    }

    // Guards against two simultaneous runs of a gang member: the next run must wait until every member has
    // ended.
    void testBrokenGangIsStoppedWholeBeforeItRunsAgain()
    {
        JobProgress progress = progressOf({ testing::makeGang(2, 1) });
        assignAll(progress);
        const RunConsequence consequence = progress.runEnded(runOf(0, 0, 1), RunEnd::LeaseExpired, {});
        CPPUNIT_ASSERT(consequence.toStop == std::vector<RunId> { runOf(0, 1, 1) });
        CPPUNIT_ASSERT(progress.readyUnits().empty());
        progress.runEnded(runOf(0, 1, 1), RunEnd::Stopped, {});
        CPPUNIT_ASSERT_EQUAL(2, progress.readyUnits().front().run);
    }

    void testRepeatedEndChangesNothing()
    {
        JobProgress progress = progressOf({ testing::makeStep(1, 1) });
        assignAll(progress);
        progress.runEnded(runOf(0, 0, 1), RunEnd::Failed, {});
        CPPUNIT_ASSERT(!progress.runEnded(runOf(0, 0, 1), RunEnd::Failed, {}).isKnown);
        assignAll(progress);
        CPPUNIT_ASSERT(progress.state() == JobState::Running);
    }

    void testLateDoneOfEarlierRunStopsLaterRun()
    {
        JobProgress progress = progressOf({ testing::makeStep(1, 1) });
        assignAll(progress);
        progress.runEnded(runOf(0, 0, 1), RunEnd::LeaseExpired, {});
        assignAll(progress);
        const RunConsequence consequence = progress.runEnded(runOf(0, 0, 1), RunEnd::Done, {});
        CPPUNIT_ASSERT(consequence.toStop == std::vector<RunId> { runOf(0, 0, 2) });
        CPPUNIT_ASSERT(progress.state() == JobState::Completed);
    }

    void testTaskUntilCancelledIsRestartedHoweverItEnds()
    {
        StepSpecification step = testing::makeStep(1, 1);
        step.runsUntilCancelled = true;
        JobProgress progress = progressOf({ step });
        int run = 0;
        for (const RunEnd end : { RunEnd::Failed, RunEnd::Failed, RunEnd::Failed, RunEnd::Done }) {
            assignAll(progress);
            progress.runEnded(runOf(0, 0, ++run), end, {});
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, progress.readyUnits().size());
        }
    }

    void testOccurrencesOpenWhenDue()
    {
        AcceptedJob job = jobOf({ testing::makeStep(1, 1) });
        job.specification.schedule = { WallTime(Seconds(100)), Milliseconds(5'000), 2 };
        JobProgress progress(job);
        CPPUNIT_ASSERT(!progress.openDueOccurrences(WallTime(Milliseconds(99'999))));
        CPPUNIT_ASSERT(progress.openDueOccurrences(WallTime(Seconds(100))));
        assignAll(progress);
        progress.runEnded(runOf(0, 0, 1), RunEnd::Done, {});
        CPPUNIT_ASSERT(progress.state() == JobState::Running);
        CPPUNIT_ASSERT(progress.openDueOccurrences(WallTime(Seconds(105))));
        CPPUNIT_ASSERT_EQUAL(1, progress.readyUnits().front().occurrence);
    }

    void testCancelStopsRunsAndStaysCancelled()
    {
        JobProgress progress = progressOf({ testing::makeStep(1, 1) });
        assignAll(progress);
        CPPUNIT_ASSERT(progress.cancel().toStop == std::vector<RunId> { runOf(0, 0, 1) });
        progress.runEnded(runOf(0, 0, 1), RunEnd::Done, {});
        CPPUNIT_ASSERT(progress.state() == JobState::Cancelled);
        CPPUNIT_ASSERT(!progress.hasAssignments());
    }

    // Guards against losing run numbers or counted failures when the leader changes.
    void testRestoredProgressGoesOnWithRunsAndFailures()
    {
        JobProgress progress = progressOf({ testing::makeStep(2, 1) });
        assignAll(progress);
        progress.runEnded(runOf(0, 0, 1), RunEnd::Failed, "c1");
        JobProgress restored(progress.job());
        CPPUNIT_ASSERT(!restored.restoreProgress(progress.encodeProgress()));
        CPPUNIT_ASSERT(restored.assignedRuns() == std::vector<RunId> { runOf(0, 1, 1) });
        CPPUNIT_ASSERT(restored.find({ JobId("0123456789abcdef"), 0, 0, 1 })->assignment->worker == m_first);
        CPPUNIT_ASSERT_EQUAL(2, restored.readyUnits().front().run);
        CPPUNIT_ASSERT_EQUAL(std::string("c1"), restored.checkpointOf(runOf(0, 0, 2).task));
        assignAll(restored);
        CPPUNIT_ASSERT(restored.runEnded(runOf(0, 0, 2), RunEnd::Failed, {}).newState == JobState::Failed);
    }

    void testProgressOfAnotherShapeIsRefused()
    {
        const JobProgress progress = progressOf({ testing::makeStep(2, 1) });
        JobProgress other = progressOf({ testing::makeStep(3, 1) });
        CPPUNIT_ASSERT(other.restoreProgress(progress.encodeProgress()));
        CPPUNIT_ASSERT(other.restoreProgress("no row"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, other.readyUnits().size());
    }

    void testJobRowRoundTripKeepsEveryField()
    {
        StepSpecification step = testing::makeGang(3, 4, true, Milliseconds(700));
        step.savesCheckpoints = true;
        step.requiredLabel = "b";
        step.dataRack = "r1";
        step.maxTasksPerWorker = 2;
        AcceptedJob job = jobOf({ testing::makeStep(1, 1), step });
        job.specification.steps[1].dependsOn = { 0 };
        job.specification.schedule = { WallTime(Seconds(9)), Milliseconds(50), 4 };
        job.acceptedAt = WallTime(Seconds(3));
        const auto decoded = decodeJob(encodeJob(job));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(encodeJob(job), encodeJob(*decoded));
        const StepSpecification& second = decoded->specification.steps[1];
        CPPUNIT_ASSERT(second.isGang && second.needsOneRack && second.savesCheckpoints);
        CPPUNIT_ASSERT(!second.runsUntilCancelled && !second.usesSpareCpu && !second.allowsCopies);
        CPPUNIT_ASSERT(second.perTask == step.perTask);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), second.requiredLabel);
        CPPUNIT_ASSERT_EQUAL(4, decoded->specification.schedule.occurrences);
        CPPUNIT_ASSERT(decoded->acceptedAt == job.acceptedAt);
        CPPUNIT_ASSERT_EQUAL(job.terms.maxAttempts, decoded->terms.maxAttempts);
    }

    void testUnreadableJobRowGivesReason()
    {
        const auto decoded = decodeJob("no row");
        CPPUNIT_ASSERT(!decoded);
        CPPUNIT_ASSERT(!decoded.error().detail.empty());
    }

    void testCheckpointOfAnyMemberServesWholeGang()
    {
        JobProgress progress = progressOf({ testing::makeGang(2, 1) });
        assignAll(progress);
        progress.noteCheckpoint(runOf(0, 1, 1), "c7");
        CPPUNIT_ASSERT_EQUAL(std::string("c7"), progress.checkpointOf(runOf(0, 0, 1).task));
        progress.noteCheckpoint(runOf(0, 1, 9), "of another run");
        CPPUNIT_ASSERT_EQUAL(std::string("c7"), progress.checkpointOf(runOf(0, 0, 1).task));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobProgressTest);

} // namespace anvilmoor::batch
