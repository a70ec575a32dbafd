#include "batch/jobs/job_book.h"
#include "batch/jobs/job_codec.h"
#include "batch/jobs/job_progress.h"
#include "batch/jobs/progress_budget.h"
#include "batch/store/message_pack.h"
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
    CPPUNIT_TEST(testRestoredProgressKeepsWhatIsDone);
    CPPUNIT_TEST(testRestoredJobOpensNoCompletedOccurrenceAgain);
    CPPUNIT_TEST(testCompletedOccurrencesTakeNoRoomInRow);
    CPPUNIT_TEST(testRowOfEarlierFormatIsReadAndWrittenSmaller);
    CPPUNIT_TEST(testCheckpointsThatDoNotFitAreLeftOut);
    CPPUNIT_TEST(testAssignmentsOfEndedJobThatDoNotFitAreLeftOut);
    CPPUNIT_TEST(testNoMoreOccurrencesOpenThanTasksMayBeOpen);
    CPPUNIT_TEST(testBudgetLeavesRoomForWorkThatHasBegun);
    CPPUNIT_TEST(testGangThatNeedsMoreThanARowFitsInNone);
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

    static JobProgress scheduledProgress(int occurrences)
    {
        AcceptedJob job = jobOf({ testing::makeStep(3, 1) });
        job.specification.schedule = { WallTime(Seconds(100)), Milliseconds(1), occurrences };
        JobProgress progress(std::move(job));
        progress.openDueOccurrences(WallTime(Seconds(1'000)));
        return progress;
    }

    void complete(JobProgress& progress, int occurrence) const
    {
        for (const PlacementUnit& unit : progress.unitsOf({ occurrence, 0 })) {
            progress.assign(unit, std::vector<WorkerLifetime>(unit.tasks.size(), m_first));
            const TaskId task { unit.job, occurrence, 0, unit.tasks.front() };
            progress.runEnded({ task, unit.run }, RunEnd::Done, {});
        }
    }

    static JobProgress restoredFrom(const JobProgress& progress)
    {
        JobProgress restored(progress.job());
        CPPUNIT_ASSERT(!restored.restoreProgress(progress.encodeProgress()));
        return restored;
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

    void testRestoredProgressKeepsWhatIsDone()
    {
        JobProgress progress = progressOf({ testing::makeStep(20, 1) });
        assignAll(progress);
        for (const int index : { 0, 7, 8, 19 })
            progress.runEnded(runOf(0, index, 1), RunEnd::Done, {});
        progress.runEnded(runOf(0, 9, 1), RunEnd::Stopped, "c9");
        const JobProgress restored = restoredFrom(progress);
        for (int index = 0; index < 20; ++index) {
            const TaskProgress& stored = *progress.find(runOf(0, index, 1).task);
            const TaskProgress& read = *restored.find(runOf(0, index, 1).task);
            CPPUNIT_ASSERT_EQUAL(stored.isDone, read.isDone);
            CPPUNIT_ASSERT(stored.assignment == read.assignment);
            CPPUNIT_ASSERT_EQUAL(stored.checkpoint, read.checkpoint);
        }
        CPPUNIT_ASSERT_EQUAL(2, restored.readyUnits().front().run);
    }

    // Guards against running an occurrence twice.
    void testRestoredJobOpensNoCompletedOccurrenceAgain()
    {
        JobProgress progress = scheduledProgress(10);
        for (const int occurrence : { 1, 2, 5 })
            complete(progress, occurrence);
        JobProgress restored = restoredFrom(progress);
        restored.openDueOccurrences(WallTime(Seconds(1'000)));
        std::vector<int> open;
        for (const StepPosition& position : restored.readySteps())
            open.push_back(position.occurrence);
        CPPUNIT_ASSERT(open == std::vector<int>({ 0, 3, 4, 6, 7, 8, 9 }));
        CPPUNIT_ASSERT(restored.isDone({ JobId("0123456789abcdef"), 5, 0, 0 }));
        for (const int occurrence : open)
            complete(restored, occurrence);
        CPPUNIT_ASSERT(restored.state() == JobState::Completed);
    }

    // Guards against a row that grows with each occurrence.
    void testCompletedOccurrencesTakeNoRoomInRow()
    {
        JobProgress progress = scheduledProgress(1'000);
        const std::size_t before = progress.encodeProgress().size();
        for (int occurrence = 0; occurrence < 999; ++occurrence)
            complete(progress, occurrence);
        CPPUNIT_ASSERT(progress.encodeProgress().size() < before + 16);
        complete(progress, 999);
        CPPUNIT_ASSERT(progress.state() == JobState::Completed);
    }

    // A row of the earlier format that is almost as large as the store allows: 8 occurrences, of which 4 are
    // done, with 8 workers in use.
    void testRowOfEarlierFormatIsReadAndWrittenSmaller()
    {
        using Json = nlohmann::json;
        constexpr int tasks = 690;
        Json occurrences = Json::array();
        for (int occurrence = 0; occurrence < 8; ++occurrence) {
            Json rows = Json::array();
            for (int task = 0; task < tasks; ++task) {
                Json row = Json::array({ occurrence < 4, 1, 0, 0, "" });
                if (occurrence >= 4 && task % 2)
                    row[4] = "00000bb87a21d94b";
                if (occurrence >= 4 && !(task % 8)) {
                    row.push_back(1);
                    row.push_back("worker-" + std::to_string(task % 64));
                    row.push_back(1'796'000'000'000);
                }
                rows.push_back(std::move(row));
            }
            occurrences.push_back(Json::array({ std::move(rows) }));
        }
        const std::string bytes = toMessagePack(Json::array({ 1, true, std::move(occurrences) }));
        CPPUNIT_ASSERT(bytes.size() > 60'000 && bytes.size() <= StoreLimits {}.rowBytes);

        AcceptedJob job = jobOf({ testing::makeStep(tasks, 1) });
        job.specification.schedule = { WallTime(Seconds(100)), Milliseconds(2'000), 8 };
        JobProgress progress(job);
        CPPUNIT_ASSERT(!progress.restoreProgress(bytes));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 * 87 }, progress.assignedRuns().size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("00000bb87a21d94b"), progress.checkpointOf({ JobId("0123456789abcdef"), 4, 0, 1 }));
        CPPUNIT_ASSERT_EQUAL(2, progress.readyUnits().front().run);
        CPPUNIT_ASSERT(progress.encodeProgress().size() < bytes.size());
        const JobProgress restored = restoredFrom(progress);
        CPPUNIT_ASSERT(progress.assignedRuns() == restored.assignedRuns());
        CPPUNIT_ASSERT(restored.isDone({ JobId("0123456789abcdef"), 3, 0, 0 }));
    }

    void testCheckpointsThatDoNotFitAreLeftOut()
    {
        constexpr std::size_t rowBytes = 4'096;
        JobProgress progress = progressOf({ testing::makeStep(10, 1) });
        assignAll(progress);
        for (int index = 0; index < 10; ++index)
            progress.noteCheckpoint(runOf(0, index, 1), std::string(1'000, 'c'));
        const std::string row = progress.encodeProgress(rowBytes);
        CPPUNIT_ASSERT(row.size() > rowBytes / 2 && row.size() <= rowBytes);
        JobProgress restored(progress.job());
        CPPUNIT_ASSERT(!restored.restoreProgress(row));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 10 }, restored.assignedRuns().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1'000 }, restored.checkpointOf(runOf(0, 0, 1).task).size());
        CPPUNIT_ASSERT(restored.checkpointOf(runOf(0, 9, 1).task).empty());
    }

    void testAssignmentsOfEndedJobThatDoNotFitAreLeftOut()
    {
        constexpr std::size_t rowBytes = 512;
        JobProgress progress = progressOf({ testing::makeStep(400, 1) });
        assignAll(progress);
        progress.cancel();
        const std::string row = progress.encodeProgress(rowBytes);
        CPPUNIT_ASSERT(row.size() <= rowBytes);
        JobProgress restored(progress.job());
        CPPUNIT_ASSERT(!restored.restoreProgress(row));
        CPPUNIT_ASSERT(restored.state() == JobState::Cancelled);
        CPPUNIT_ASSERT(restored.hasAssignments());
    }

    // Guards against the memory that a job of many occurrences that are due at once would take.
    void testNoMoreOccurrencesOpenThanTasksMayBeOpen()
    {
        AcceptedJob job = jobOf({ testing::makeStep(9'000, 1) });
        job.specification.schedule = { WallTime(Seconds(100)), Milliseconds(0), 100'000 };
        JobProgress progress(job);
        progress.openDueOccurrences(WallTime(Seconds(200)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, progress.readySteps().size());
        complete(progress, 0);
        CPPUNIT_ASSERT(progress.openDueOccurrences(WallTime(Seconds(200))));
        CPPUNIT_ASSERT_EQUAL(2, progress.readySteps().back().occurrence);
    }

    // Guards against tasks that have begun and cannot be assigned again because others take the whole row.
    void testBudgetLeavesRoomForWorkThatHasBegun()
    {
        constexpr std::size_t rowBytes = 4'096;
        constexpr std::size_t workerIdBytes = 2;
        JobProgress progress = progressOf({ testing::makeStep(1'000, 1) });
        CPPUNIT_ASSERT(ProgressBudget::isNeeded(progress, rowBytes, workerIdBytes));
        int assigned = 0;
        for (int round = 0; round < 1'000; ++round) {
            ProgressBudget budget(progress, rowBytes, workerIdBytes);
            for (const PlacementUnit& unit : progress.readyUnits()) {
                if (!budget.admits(unit))
                    break;
                budget.take(unit);
                progress.assign(unit, std::vector<WorkerLifetime> { m_first });
                ++assigned;
            }
        }
        CPPUNIT_ASSERT(assigned > 100 && assigned < 1'000);
        for (const RunId& run : progress.assignedRuns())
            progress.runEnded(run, RunEnd::Failed, {});
        const ProgressBudget budget(progress, rowBytes, workerIdBytes);
        CPPUNIT_ASSERT(budget.admits(progress.readyUnits().front()));
        CPPUNIT_ASSERT(progress.bytesWithoutCheckpoints() <= rowBytes);
    }

    void testGangThatNeedsMoreThanARowFitsInNone()
    {
        constexpr std::size_t workerIdBytes = 40;
        const std::size_t rowBytes = StoreLimits {}.rowBytes;
        const auto fits = [&](StepSpecification step) {
            return ProgressBudget::fitsAlone(
                jobOf({ std::move(step) }).specification, rowBytes, workerIdBytes);
        };
        CPPUNIT_ASSERT(fits(testing::makeGang(512, 1)));
        CPPUNIT_ASSERT(!fits(testing::makeGang(4'000, 1)));
        CPPUNIT_ASSERT(fits(testing::makeStep(4'000, 1)));
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
