#include "batch/store/leader_lease.h"
#include "batch/workers/silent_workers.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace anvilmoor::batch {

// Tests which workers the lease row lists as silent, and until when they get no lease.
class BatchSilentWorkersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchSilentWorkersTest);
    CPPUNIT_TEST(testWorkerThatAnswersMayBeListedUntilCommitWithoutItIsStored);
    CPPUNIT_TEST(testWorkerListedByEarlierLeaderMayBeListedUntilCommitWithoutItIsStored);
    CPPUNIT_TEST(testWorkerOfCommitWithoutAnswerMayBeListed);
    CPPUNIT_TEST(testManySilentWorkersLeaveLeaseRowWithinItsBytes);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t maxBytes = 2'048;

    const WorkerLifetime m_worker { WorkerId("w0-0"), 1 };
    SilentWorkers m_silent;

    bool isListed(bool mayListMore) { return m_silent.beginCommit(mayListMore, maxBytes).contains(m_worker); }

public:
    void testWorkerThatAnswersMayBeListedUntilCommitWithoutItIsStored()
    {
        m_silent.add(m_worker, 5'000);
        CPPUNIT_ASSERT(!isListed(false));
        CPPUNIT_ASSERT(!m_silent.mayBeListed(m_worker));
        CPPUNIT_ASSERT(isListed(true));
        m_silent.forget(m_worker);
        m_silent.stored();
        CPPUNIT_ASSERT(m_silent.mayBeListed(m_worker));
        CPPUNIT_ASSERT(!isListed(true));
        CPPUNIT_ASSERT(m_silent.mayBeListed(m_worker));
        m_silent.stored();
        CPPUNIT_ASSERT(!m_silent.mayBeListed(m_worker));
    }

    void testWorkerListedByEarlierLeaderMayBeListedUntilCommitWithoutItIsStored()
    {
        m_silent.begin({ {}, { { m_worker, { 5'000, TimePoint(Seconds(5)) } } } });
        CPPUNIT_ASSERT(m_silent.mayBeListed(m_worker));
        m_silent.add(m_worker, 5'000);
        CPPUNIT_ASSERT(isListed(false));
        m_silent.stored();
        m_silent.forget(m_worker);
        CPPUNIT_ASSERT(!isListed(false));
        CPPUNIT_ASSERT(m_silent.mayBeListed(m_worker));
        m_silent.stored();
        CPPUNIT_ASSERT(!m_silent.mayBeListed(m_worker));
    }

    // Guards against a lease on a worker that a commit lists which is applied after all.
    void testWorkerOfCommitWithoutAnswerMayBeListed()
    {
        m_silent.add(m_worker, 5'000);
        CPPUNIT_ASSERT(isListed(true));
        m_silent.forget(m_worker);
        CPPUNIT_ASSERT(!isListed(true));
        CPPUNIT_ASSERT(m_silent.mayBeListed(m_worker));
    }

    // Guards against a lease row that the store refuses, so that nobody can lead.
    void testManySilentWorkersLeaveLeaseRowWithinItsBytes()
    {
        constexpr int workers = 1'000;
        for (int i = 0; i < workers; ++i)
            m_silent.add({ WorkerId("worker-" + std::to_string(i)), 1'765'000'000'000 + i }, 90'000'000'000);
        const LeaseRecord empty { "a/1", 1, 1 };
        LeaseRecord full = empty;
        full.silentWorkers = m_silent.beginCommit(true, maxBytes);
        CPPUNIT_ASSERT(!full.silentWorkers.empty());
        CPPUNIT_ASSERT(encodeLease(full).size() <= encodeLease(empty).size() + maxBytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchSilentWorkersTest);

} // namespace anvilmoor::batch
