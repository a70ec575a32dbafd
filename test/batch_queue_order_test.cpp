#include "batch/placement/queue_order.h"
#include "support/batch_cluster.h"
#include "support/leader_state.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// Two waiting jobs of one queue: "early" has the earlier deadline.
class BatchQueueOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchQueueOrderTest);
    CPPUNIT_TEST(testSizeThatIsServedLeastComesFirst);
    CPPUNIT_TEST(testLateJobOfSizeThatIsServedLeastComesBeforeJobInTime);
    CPPUNIT_TEST(testSizesServedNearlyAlikeAreOrderedByDeadline);
    CPPUNIT_TEST(testGuaranteedJobsAreOrderedByDeadline);
    CPPUNIT_TEST(testMoreUrgentJobComesFirstHoweverOftenItsSizeIsServed);
    CPPUNIT_TEST_SUITE_END();

    const ObjectiveOrder m_order;
    testing::LeaderState m_state;

    WaitingStep waiting(const char* id, Milliseconds age, int priority = 1)
    {
        const JobId job = m_state.addJob(id, priority, testing::makeStep(1, 8), "no-guarantee", age);
        JobProgress& progress = m_state.jobs.find(job)->progress;
        progress.openDueOccurrences(m_state.wallTime);
        return { progress.readySteps().front(), &progress };
    }

    std::string firstOf(std::vector<WaitingStep> steps)
    {
        m_order.sort(steps, m_state.wallTime);
        return steps.front().id().job.value();
    }

public:
    void testSizeThatIsServedLeastComesFirst()
    {
        WaitingStep early = waiting("early", Milliseconds(200));
        WaitingStep late = waiting("late", Milliseconds(100));
        early.relativeServedShare = 0.7;
        late.relativeServedShare = 0.3;
        CPPUNIT_ASSERT_EQUAL(std::string("late"), firstOf({ early, late }));
    }

    void testLateJobOfSizeThatIsServedLeastComesBeforeJobInTime()
    {
        const WaitingStep inTime = waiting("in-time", Milliseconds(0));
        WaitingStep late = waiting("late", Seconds(10));
        late.relativeServedShare = 0.5;
        CPPUNIT_ASSERT_EQUAL(std::string("late"), firstOf({ inTime, late }));
    }

    void testSizesServedNearlyAlikeAreOrderedByDeadline()
    {
        WaitingStep early = waiting("early", Milliseconds(200));
        WaitingStep late = waiting("late", Milliseconds(100));
        early.relativeServedShare = 1.3;
        late.relativeServedShare = 0.9;
        CPPUNIT_ASSERT_EQUAL(std::string("early"), firstOf({ late, early }));
    }

    void testGuaranteedJobsAreOrderedByDeadline()
    {
        WaitingStep early = waiting("early", Milliseconds(200), 0);
        WaitingStep late = waiting("late", Milliseconds(100), 0);
        early.isGuaranteed = true;
        late.isGuaranteed = true;
        late.relativeServedShare = 0.1;
        CPPUNIT_ASSERT_EQUAL(std::string("early"), firstOf({ late, early }));
    }

    void testMoreUrgentJobComesFirstHoweverOftenItsSizeIsServed()
    {
        WaitingStep lessUrgent = waiting("less-urgent", Milliseconds(200), 2);
        const WaitingStep moreUrgent = waiting("more-urgent", Milliseconds(100), 1);
        lessUrgent.relativeServedShare = 0;
        CPPUNIT_ASSERT_EQUAL(std::string("more-urgent"), firstOf({ lessUrgent, moreUrgent }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchQueueOrderTest);

} // namespace anvilmoor::batch
