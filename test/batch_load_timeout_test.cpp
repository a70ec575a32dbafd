#include "batch/leader/load_timeout.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::batch {

// Tests how long a leader may load, and how the time-out and the claim delay grow when it expires.
class BatchLoadTimeoutTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchLoadTimeoutTest);
    CPPUNIT_TEST(testIsOverWhenLimitHasPassedSinceBegin);
    CPPUNIT_TEST(testLimitDoublesUpToMaximum);
    CPPUNIT_TEST(testClaimDelayGrowsUpToMaximum);
    CPPUNIT_TEST(testLoadingResetsLimitAndClaimDelay);
    CPPUNIT_TEST_SUITE_END();

    LoadTimeout m_timeout;

    void expire(int times)
    {
        for (int i = 0; i < times; ++i)
            m_timeout.noteExpired();
    }

    void assertLimitAndDelay(Milliseconds limit, Milliseconds claimDelay) const
    {
        CPPUNIT_ASSERT_EQUAL(limit.count(), m_timeout.limit().count());
        CPPUNIT_ASSERT_EQUAL(claimDelay.count(), m_timeout.claimDelay().count());
    }

public:
    void testIsOverWhenLimitHasPassedSinceBegin()
    {
        const TimePoint begunAt { Seconds(100) };
        m_timeout.begin(begunAt);
        CPPUNIT_ASSERT(!m_timeout.isOver(begunAt + Milliseconds(1'999)));
        CPPUNIT_ASSERT(m_timeout.isOver(begunAt + Milliseconds(2'000)));
        m_timeout.noteExpired();
        m_timeout.begin(begunAt + Seconds(10));
        CPPUNIT_ASSERT(!m_timeout.isOver(begunAt + Milliseconds(13'999)));
        CPPUNIT_ASSERT(m_timeout.isOver(begunAt + Milliseconds(14'000)));
    }

    void testLimitDoublesUpToMaximum()
    {
        CPPUNIT_ASSERT(m_timeout.limit() == Milliseconds(2'000));
        expire(1);
        CPPUNIT_ASSERT(m_timeout.limit() == Milliseconds(4'000));
        expire(2);
        CPPUNIT_ASSERT(m_timeout.limit() == Milliseconds(16'000));
        expire(1);
        CPPUNIT_ASSERT(m_timeout.limit() == Milliseconds(16'000));
    }

    void testClaimDelayGrowsUpToMaximum()
    {
        CPPUNIT_ASSERT(m_timeout.claimDelay() == Milliseconds(0));
        expire(1);
        CPPUNIT_ASSERT(m_timeout.claimDelay() == Milliseconds(1'000));
        expire(4);
        CPPUNIT_ASSERT(m_timeout.claimDelay() == Milliseconds(5'000));
        expire(1);
        CPPUNIT_ASSERT(m_timeout.claimDelay() == Milliseconds(5'000));
    }

    void testLoadingResetsLimitAndClaimDelay()
    {
        expire(3);
        assertLimitAndDelay(Milliseconds(16'000), Milliseconds(3'000));
        m_timeout.noteLoaded();
        assertLimitAndDelay(Milliseconds(2'000), Milliseconds(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchLoadTimeoutTest);

} // namespace anvilmoor::batch
