#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace anvilmoor::testing {

// Tests that a daemon that can load gets to lead, whichever daemons claim the lease before it.
class BatchLoadTurnsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchLoadTurnsTest);
    CPPUNIT_TEST(testDaemonThatClaimsLastLeadsIfNoOtherCanLoad);
    CPPUNIT_TEST(testDaemonThatClaimsLastLeadsIfNoOtherCanLoadAfterAllHaveFailed);
    CPPUNIT_TEST(testOnlyDaemonLeadsSoonAfterItCanLoad);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t daemons = 6;
    static constexpr std::size_t last = daemons - 1; // has the longest claim delay
    static constexpr Milliseconds loadTimeout { 2'000 };
    static constexpr Milliseconds handover { 400 }; // of a lease that was released
    static constexpr Milliseconds claimOfExpiredLease { 1'300 };

    BatchCluster m_cluster { daemons };

    bool isLed()
    {
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            if (m_cluster.isRunning(daemon) && m_cluster.reducer(daemon).mayAct(m_cluster.now()))
                return true;
        }
        return false;
    }

    void lead()
    {
        m_cluster.addWorkers(1, 2);
        CPPUNIT_ASSERT(m_cluster.runUntil([this] { return isLed(); }, Milliseconds(3'000)));
    }

    void replaceLeader()
    {
        const std::size_t leader = m_cluster.leader().value();
        m_cluster.kill(leader);
        m_cluster.restart(leader);
    }

    void requireLedWithin(Milliseconds limit)
    {
        const TimePoint from = m_cluster.now();
        const bool isInTime = m_cluster.runUntil([this] { return isLed(); }, limit);
        m_cluster.runUntil([this] { return isLed(); }, Milliseconds(300'000));
        CPPUNIT_ASSERT_MESSAGE(fmt::format("led after {} ms, allowed are {} ms",
                                   (m_cluster.now() - from).count(), limit.count()),
            isInTime);
    }

public:
    void testDaemonThatClaimsLastLeadsIfNoOtherCanLoad()
    {
        lead();
        m_cluster.cannotRead = { 0, 1, 2, 3, 4 };
        replaceLeader();
        requireLedWithin(claimOfExpiredLease + last * (loadTimeout + handover));
    }

    void testDaemonThatClaimsLastLeadsIfNoOtherCanLoadAfterAllHaveFailed()
    {
        constexpr Milliseconds outage { 20'000 };
        // Each has failed at most twice by then, and is allowed twice the time each time.
        constexpr Milliseconds longestTurn = 4 * loadTimeout + 2 * Milliseconds(1'000) + handover;
        lead();
        m_cluster.cannotRead = { 0, 1, 2, 3, 4, 5 };
        replaceLeader();
        m_cluster.run(outage);
        m_cluster.cannotRead.erase(last);
        requireLedWithin(daemons * longestTurn);
    }

    void testOnlyDaemonLeadsSoonAfterItCanLoad()
    {
        constexpr Milliseconds outage { 2'500 };
        lead();
        for (std::size_t daemon = 1; daemon < daemons; ++daemon)
            m_cluster.kill(daemon);
        m_cluster.cannotRead = { 0 };
        m_cluster.kill(0);
        m_cluster.restart(0);
        m_cluster.run(outage);
        m_cluster.cannotRead = {};
        requireLedWithin(claimOfExpiredLease);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchLoadTurnsTest);

} // namespace anvilmoor::testing
