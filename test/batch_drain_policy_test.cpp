#include "batch/workers/drain_policy.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::batch {

// Tests when a draining worker may leave, and when its runs are stopped. The worker stops a run within 900
// ms.
class BatchDrainPolicyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchDrainPolicyTest);
    CPPUNIT_TEST(testRunThatSeemsToEndInTimeIsStoppedWhileTheStopIsCertainToEndInTime);
    CPPUNIT_TEST(testRunThatCannotEndInTimeIsStoppedAtOnce);
    CPPUNIT_TEST(testRunWithCheckpointsIsStoppedAsLateAsPossible);
    CPPUNIT_TEST(testRunOfUnknownProgressIsStoppedAsLateAsPossible);
    CPPUNIT_TEST(testNextDecisionIsAtTheLastStop);
    CPPUNIT_TEST(testDepartureIsComputedOnTheWorkersClock);
    CPPUNIT_TEST(testEntryIsNotTakenForWrittenInTheFuture);
    CPPUNIT_TEST(testEntryOfUnknownTimeIsAsOldAsItMayBe);
    CPPUNIT_TEST(testDepartureIsUnknownWithoutDrainOrClock);
    CPPUNIT_TEST_SUITE_END();

    const DrainPolicy m_policy { Milliseconds(900) };
    const TimePoint m_leavesAt { Seconds(100) };
    const TimePoint m_lastStopAt = m_leavesAt - Milliseconds(1'100);

    const TimePoint m_now { Seconds(50) };

    // Its clock shows 7,000 ms, and its entry states that 4,000 ms are left.
    Worker drainingWorker(WorkerClock entryWrittenAt) const
    {
        Worker worker;
        worker.record.isDraining = true;
        worker.record.remaining = Milliseconds(4'000);
        worker.record.writtenAt = entryWrittenAt;
        worker.clock.note(7'000, m_now);
        return worker;
    }

    bool shouldStop(const DrainingRun& run, TimePoint now) const
    {
        return m_policy.shouldStop(run, m_leavesAt, now);
    }

    static DrainingRun runThatNeeds(Milliseconds shortestTimeToEnd) { return { shortestTimeToEnd }; }

public:
    // It may become slower, and then end unread.
    void testRunThatSeemsToEndInTimeIsStoppedWhileTheStopIsCertainToEndInTime()
    {
        for (const Milliseconds timeToEnd : { Milliseconds(0), Milliseconds(1) }) {
            const DrainingRun run = runThatNeeds(timeToEnd);
            CPPUNIT_ASSERT(!shouldStop(run, m_lastStopAt - Milliseconds(1)));
            CPPUNIT_ASSERT(shouldStop(run, m_lastStopAt));
            CPPUNIT_ASSERT(shouldStop(run, m_leavesAt + Seconds(10)));
        }
    }

    void testRunThatCannotEndInTimeIsStoppedAtOnce()
    {
        const TimePoint early = m_leavesAt - Milliseconds(3'000);
        CPPUNIT_ASSERT(shouldStop(runThatNeeds(Milliseconds(1'901)), early));
        CPPUNIT_ASSERT(!shouldStop(runThatNeeds(Milliseconds(1'900)), early));
    }

    void testRunWithCheckpointsIsStoppedAsLateAsPossible()
    {
        DrainingRun run = runThatNeeds(Milliseconds(8'000));
        run.savesCheckpoints = true;
        CPPUNIT_ASSERT(!shouldStop(run, m_lastStopAt - Milliseconds(1)));
        CPPUNIT_ASSERT(shouldStop(run, m_lastStopAt));
    }

    void testRunOfUnknownProgressIsStoppedAsLateAsPossible()
    {
        CPPUNIT_ASSERT(!shouldStop({}, m_lastStopAt - Milliseconds(1)));
        CPPUNIT_ASSERT(shouldStop({}, m_lastStopAt));
    }

    void testNextDecisionIsAtTheLastStop()
    {
        CPPUNIT_ASSERT(m_policy.nextDecisionAt(m_leavesAt, m_leavesAt - Seconds(5)) == m_lastStopAt);
        CPPUNIT_ASSERT(m_policy.nextDecisionAt(m_leavesAt, m_lastStopAt) == TimePoint::max());
    }

    void testDepartureIsComputedOnTheWorkersClock()
    {
        // 490 ms of a clock that is 2% slow are 500 ms.
        CPPUNIT_ASSERT(earliestDeparture(drainingWorker(6'510), m_now) == m_now + Milliseconds(3'500));
        CPPUNIT_ASSERT(earliestDeparture(drainingWorker(7'000), m_now) == m_now + Milliseconds(4'000));
    }

    void testEntryIsNotTakenForWrittenInTheFuture()
    {
        CPPUNIT_ASSERT(earliestDeparture(drainingWorker(7'050), m_now) == m_now + Milliseconds(4'000));
    }

    void testEntryOfUnknownTimeIsAsOldAsItMayBe()
    {
        Worker worker = drainingWorker(0);
        CPPUNIT_ASSERT(earliestDeparture(worker, m_now) == m_now);
        worker.changedAfter = m_now - Milliseconds(300);
        CPPUNIT_ASSERT(earliestDeparture(worker, m_now) == m_now + Milliseconds(3'700));
    }

    void testDepartureIsUnknownWithoutDrainOrClock()
    {
        Worker worker = drainingWorker(6'500);
        worker.clock = {};
        CPPUNIT_ASSERT(!earliestDeparture(worker, m_now));
        worker = drainingWorker(6'500);
        worker.record.isDraining = false;
        CPPUNIT_ASSERT(!earliestDeparture(worker, m_now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchDrainPolicyTest);

} // namespace anvilmoor::batch
