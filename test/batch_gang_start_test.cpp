#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::testing {

// Tests that the members of a gang do not wait in vain for a member that does not start. A worker ends a
// member with GangIncomplete if the others have not started in time, and the work is delayed by that time.
class BatchGangStartTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchGangStartTest);
    CPPUNIT_TEST(testMembersAreStoppedWhenOneWorkerDoesNotAnswer);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t members = 3;

    BatchCluster m_cluster;
    int m_incomplete = 0; // ends of members that waited for the others

    // Starts a gang that needs all workers. The link from the leader to the first one is cut.
    void startGangWithSilentWorker()
    {
        m_cluster.addWorkers(1, members);
        m_cluster.run(Milliseconds(500));
        for (std::size_t i = 0; i < members; ++i) {
            FakeWorker& worker = m_cluster.worker(i);
            worker.onEnd = [this, next = worker.onEnd](const batch::RunId& run, batch::RunEnd end) {
                m_incomplete += end == batch::RunEnd::GangIncomplete;
                next(run, end);
            };
        }
        m_cluster.cutLink(m_cluster.leader().value(), 0, LinkCut::Silent);
        m_cluster.submit(1, "gang", { makeGang(members, 8) });
    }

    bool isAnyMemberRunning()
    {
        for (std::size_t i = 0; i < members; ++i) {
            if (!m_cluster.worker(i).runs().empty())
                return true;
        }
        return false;
    }

public:
    void testMembersAreStoppedWhenOneWorkerDoesNotAnswer()
    {
        startGangWithSilentWorker();
        CPPUNIT_ASSERT(m_cluster.runUntil([this] { return isAnyMemberRunning(); }, Milliseconds(3'000)));
        m_cluster.run(Milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(0, m_incomplete);
        if (!m_cluster.violations().empty())
            CPPUNIT_FAIL(m_cluster.violations().front());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchGangStartTest);

} // namespace anvilmoor::testing
