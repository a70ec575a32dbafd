#include "batch/workers/run_progress.h"
#include "batch/workers/worker_health.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::batch {

// Guards against placing new work on workers that answer every status poll although the runs on them have
// stopped making progress.
class BatchRunProgressTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchRunProgressTest);
    CPPUNIT_TEST(testExpectedEndFollowsTheRateOfProgress);
    CPPUNIT_TEST(testExpectedEndIsUnknownWithoutProgress);
    CPPUNIT_TEST(testExpectedEndDoesNotCountTheWaitForTheGang);
    CPPUNIT_TEST(testTimeToEndIsBoundedOnceTheRunHasAdvanced);
    CPPUNIT_TEST(testTimeToEndIsUnknownWhileTheRunLags);
    CPPUNIT_TEST(testRateIsKnownOnceTheRunHasAdvancedFarEnough);
    CPPUNIT_TEST(testRunThatStopsAdvancingLags);
    CPPUNIT_TEST(testRunThatBecomesMuchSlowerLags);
    CPPUNIT_TEST(testRunThatStaysAtZeroPercentLags);
    CPPUNIT_TEST(testGangMemberThatWaitsDoesNotLag);
    CPPUNIT_TEST(testFinishedMemberThatWaitsForItsGangDoesNotLag);
    CPPUNIT_TEST(testLongTaskIsGivenTimeToShowProgress);
    CPPUNIT_TEST(testRunMuchSlowerThanEstimateAdvancesOnceItHasShownItsPace);
    CPPUNIT_TEST(testSlowRunThatIsFollowedFromBetweenTwoPercentIsNotTakenForFast);
    CPPUNIT_TEST(testRunMuchSlowerThanEstimateLagsOnceItStandsStill);
    CPPUNIT_TEST(testRunWithSteadyProgressIsAdvancing);
    CPPUNIT_TEST(testStalledWorkerIsTrustedAgainOnceSomethingAdvances);
    CPPUNIT_TEST(testStalledWorkerWithoutRunsGetsATrial);
    CPPUNIT_TEST(testStalledWorkerIsDueForTrialWhileItsRunsStandStill);
    CPPUNIT_TEST(testSuspensionDoublesWhileTrialsOfStalledWorkerStall);
    CPPUNIT_TEST(testWorkerWithFailuresIsNotTrustedDespiteProgress);
    CPPUNIT_TEST_SUITE_END();

    using Pace = RunProgress::Pace;

    // Adds one reading every 500 ms with these percentages.
    static void advance(RunProgress& run, WorkerClock& at, std::initializer_list<int> percents)
    {
        for (const int percent : percents) {
            at += 500;
            run.note({ percent, at });
        }
    }

    void testExpectedEndFollowsTheRateOfProgress()
    {
        RunProgress run;
        run.note({ 10, 1'000 });
        run.note({ 40, 2'500 });
        CPPUNIT_ASSERT_EQUAL(WorkerClock { 5'500 }, run.expectedEnd().value());
        run.note({ 100, 5'600 });
        CPPUNIT_ASSERT_EQUAL(WorkerClock { 5'600 }, run.expectedEnd().value());
    }

    void testTimeToEndIsBoundedOnceTheRunHasAdvanced()
    {
        RunProgress run;
        run.note({ 10, 1'000 });
        run.note({ 14, 1'400 });
        CPPUNIT_ASSERT(!run.shortestTimeToEnd(1'400));
        run.note({ 40, 4'000 });
        CPPUNIT_ASSERT(run.shortestTimeToEnd(4'500) < Milliseconds(5'500));
        CPPUNIT_ASSERT(run.shortestTimeToEnd(4'500) > Milliseconds(4'000));
        run.note({ 100, 9'500 });
        CPPUNIT_ASSERT(run.shortestTimeToEnd(9'500) == Milliseconds(0));
    }

    void testTimeToEndIsUnknownWhileTheRunLags()
    {
        RunProgress run(Milliseconds(10'000), false);
        WorkerClock at = 0;
        advance(run, at, { 5, 10, 15, 20, 25, 30 });
        CPPUNIT_ASSERT(run.shortestTimeToEnd(at));
        advance(run, at, { 30, 30, 30, 30, 30 });
        CPPUNIT_ASSERT(!run.shortestTimeToEnd(at));
    }

    // No end may be predicted for a run that has stopped making progress.
    void testExpectedEndIsUnknownWithoutProgress()
    {
        RunProgress run;
        CPPUNIT_ASSERT(!run.expectedEnd());
        run.note({ 0, 1'000 });
        run.note({ 30, 2'000 });
        CPPUNIT_ASSERT(!run.expectedEnd());
        run.note({ 30, 3'000 });
        CPPUNIT_ASSERT(!run.expectedEnd());
    }

    void testExpectedEndDoesNotCountTheWaitForTheGang()
    {
        RunProgress run(Milliseconds(5'000), true);
        for (WorkerClock at = 0; at <= 2'000; at += 500)
            run.note({ 0, at });
        run.note({ 50, 2'500 });
        run.note({ 60, 3'000 });
        CPPUNIT_ASSERT_EQUAL(WorkerClock { 5'000 }, run.expectedEnd().value());
    }

    void testRateIsKnownOnceTheRunHasAdvancedFarEnough()
    {
        RunProgress run;
        run.note({ 4, 1'000 });
        run.note({ 23, 2'900 });
        CPPUNIT_ASSERT(!run.rate());
        run.note({ 24, 3'000 });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, run.rate().value(), 1e-9);
    }

    void testRunThatStopsAdvancingLags()
    {
        RunProgress run(Milliseconds(6'000), false);
        WorkerClock at = 0;
        advance(run, at, { 8, 16, 24, 32 });
        CPPUNIT_ASSERT(run.pace() == Pace::Advancing);
        advance(run, at, { 32, 32, 32 });
        CPPUNIT_ASSERT(run.pace() == Pace::Lagging);
    }

    void testRunThatBecomesMuchSlowerLags()
    {
        RunProgress run(Milliseconds(6'000), false);
        WorkerClock at = 0;
        advance(run, at, { 8, 16, 24, 32, 33, 34, 36, 37 });
        CPPUNIT_ASSERT(run.pace() == Pace::Lagging);
        advance(run, at, { 45, 53, 61, 69 });
        CPPUNIT_ASSERT(run.pace() == Pace::Advancing);
    }

    void testRunThatStaysAtZeroPercentLags()
    {
        RunProgress run(Milliseconds(6'000), false);
        WorkerClock at = 0;
        advance(run, at, { 0, 0, 0 });
        CPPUNIT_ASSERT(run.pace() == Pace::Lagging);
    }

    void testGangMemberThatWaitsDoesNotLag()
    {
        RunProgress run(Milliseconds(6'000), true);
        WorkerClock at = 0;
        advance(run, at, { 0, 0, 0, 0, 0, 0 });
        CPPUNIT_ASSERT(run.pace() == Pace::Unknown);
        advance(run, at, { 8, 16, 16, 16, 16 });
        CPPUNIT_ASSERT(run.pace() == Pace::Lagging);
    }

    void testFinishedMemberThatWaitsForItsGangDoesNotLag()
    {
        RunProgress run(Milliseconds(6'000), true);
        WorkerClock at = 0;
        advance(run, at, { 40, 70, 100, 100, 100, 100, 100 });
        CPPUNIT_ASSERT(run.pace() == Pace::Unknown);
    }

    // A task of four hours needs more than two minutes to advance by one percent.
    void testLongTaskIsGivenTimeToShowProgress()
    {
        RunProgress run(Milliseconds(4 * 3'600 * 1'000), false);
        WorkerClock at = 0;
        for (int minute = 0; minute < 20; ++minute) {
            at += 60'000;
            run.note({ 0, at });
            CPPUNIT_ASSERT(run.pace() == Pace::Unknown);
        }
    }

    // Guards against taking each pause between two percent for a standstill.
    void testRunMuchSlowerThanEstimateAdvancesOnceItHasShownItsPace()
    {
        RunProgress run(Milliseconds(6'000), false);
        WorkerClock at = 0;
        advance(run, at, { 0, 0, 0, 0, 0, 0, 0 });
        CPPUNIT_ASSERT(run.pace() == Pace::Lagging);
        for (int percent = 1; percent < 20; ++percent) {
            for (int reading = 0; reading < 8; ++reading) {
                advance(run, at, { percent });
                CPPUNIT_ASSERT(run.pace() == Pace::Advancing);
            }
        }
    }

    // A new leader follows runs that have already begun.
    void testSlowRunThatIsFollowedFromBetweenTwoPercentIsNotTakenForFast()
    {
        RunProgress run(Milliseconds(6'000), false);
        WorkerClock at = 0;
        advance(run, at, { 40, 41, 41, 41, 41, 41, 41, 41, 41 });
        for (int percent = 42; percent < 60; ++percent) {
            for (int reading = 0; reading < 8; ++reading) {
                advance(run, at, { percent });
                CPPUNIT_ASSERT(run.pace() == Pace::Advancing);
            }
        }
    }

    void testRunMuchSlowerThanEstimateLagsOnceItStandsStill()
    {
        RunProgress run(Milliseconds(6'000), false);
        WorkerClock at = 0;
        for (int percent = 0; percent < 5; ++percent)
            advance(run, at, { percent, percent });
        for (int reading = 0; reading < 12; ++reading)
            advance(run, at, { 4 });
        CPPUNIT_ASSERT(run.pace() == Pace::Lagging);
    }

    void testRunWithSteadyProgressIsAdvancing()
    {
        RunProgress run(Milliseconds(20'000), false);
        WorkerClock at = 0;
        for (int percent = 2; percent < 100; percent += 2) {
            advance(run, at, { percent });
            CPPUNIT_ASSERT(run.pace() != Pace::Lagging);
        }
        CPPUNIT_ASSERT(run.pace() == Pace::Advancing);
    }

    void testStalledWorkerIsTrustedAgainOnceSomethingAdvances()
    {
        WorkerHealth health;
        CPPUNIT_ASSERT(health.recordStall(TimePoint(Seconds(1))));
        CPPUNIT_ASSERT(!health.recordStall(TimePoint(Seconds(2))));
        CPPUNIT_ASSERT(!health.isTrusted());
        CPPUNIT_ASSERT(health.recordAdvance());
        CPPUNIT_ASSERT(health.isTrusted());
        CPPUNIT_ASSERT(!health.recordAdvance());
    }

    // Guards against excluding a stalled worker forever: once its stalled runs have been removed, no run is
    // left that could show progress.
    void testStalledWorkerWithoutRunsGetsATrial()
    {
        WorkerHealth health;
        health.recordStall(TimePoint(Seconds(1)));
        CPPUNIT_ASSERT(!health.isDueForTrial(TimePoint(Seconds(3))));
        CPPUNIT_ASSERT(health.isDueForTrial(TimePoint(Seconds(5))));
        health.trialStarted();
        CPPUNIT_ASSERT(!health.isDueForTrial(TimePoint(Seconds(6))));
        health.runSucceeded();
        CPPUNIT_ASSERT(health.isTrusted());
    }

    // Guards against closing a worker for as long as a slow run lasts.
    void testStalledWorkerIsDueForTrialWhileItsRunsStandStill()
    {
        WorkerHealth health;
        for (int second = 1; second <= 5; ++second)
            health.recordStall(TimePoint(Seconds(second)));
        CPPUNIT_ASSERT(health.isDueForTrial(TimePoint(Seconds(5))));
    }

    void testSuspensionDoublesWhileTrialsOfStalledWorkerStall()
    {
        WorkerHealth health;
        health.recordStall(TimePoint(Seconds(1)));
        health.trialStarted();
        health.trialStalled(TimePoint(Seconds(6)));
        CPPUNIT_ASSERT(!health.isDueForTrial(TimePoint(Seconds(11))));
        CPPUNIT_ASSERT(health.isDueForTrial(TimePoint(Seconds(12))));
        health.trialStarted();
        health.trialStalled(TimePoint(Seconds(14)));
        CPPUNIT_ASSERT(!health.isDueForTrial(TimePoint(Seconds(25))));
        CPPUNIT_ASSERT(health.isDueForTrial(TimePoint(Seconds(26))));
    }

    void testWorkerWithFailuresIsNotTrustedDespiteProgress()
    {
        WorkerHealth health;
        for (int i = 0; i < 3; ++i)
            health.runFailed(TimePoint(Seconds(1)));
        health.recordStall(TimePoint(Seconds(1)));
        health.recordAdvance();
        CPPUNIT_ASSERT(!health.isTrusted());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchRunProgressTest);

} // namespace anvilmoor::batch
