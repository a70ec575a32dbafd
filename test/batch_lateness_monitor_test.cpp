#include "batch/daemon/lateness_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::batch {

class BatchLatenessMonitorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchLatenessMonitorTest);
    CPPUNIT_TEST(testTimerThatFiresOnTimeIsNoChange);
    CPPUNIT_TEST(testLongDelayIsReportedOnceUntilItIsOver);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Milliseconds interval { 20 };

    LatenessMonitor m_monitor { interval };
    TimePoint m_now { Seconds(100) };

    std::optional<LatenessMonitor::Change> fireAfter(Milliseconds time)
    {
        m_now += time;
        return m_monitor.timerFired(m_now);
    }

public:
    void setUp() override { fireAfter(interval); }

    void testTimerThatFiresOnTimeIsNoChange()
    {
        for (int i = 0; i < 500; ++i)
            CPPUNIT_ASSERT(!fireAfter(interval));
    }

    void testLongDelayIsReportedOnceUntilItIsOver()
    {
        const auto begin = fireAfter(interval + Milliseconds(400));
        CPPUNIT_ASSERT(begin && begin->isLate);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 400 }, begin->lateness.count());
        CPPUNIT_ASSERT(!fireAfter(interval + Milliseconds(900)));
        std::optional<LatenessMonitor::Change> end;
        for (int i = 0; i < 200 && !end; ++i)
            end = fireAfter(interval);
        CPPUNIT_ASSERT(end && !end->isLate);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 900 }, end->lateness.count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchLatenessMonitorTest);

} // namespace anvilmoor::batch
