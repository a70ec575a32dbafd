#include "batch/leader/row_cleanup.h"
#include "batch/store/tables.h"
#include "support/batch_cluster.h"
#include "support/fake_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <utility>
#include <variant>
#include <vector>

namespace anvilmoor::batch {

// Tests which rows the leader removes if the store's answers are lost or its rows have changed.
class BatchRowCleanupTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchRowCleanupTest);
    CPPUNIT_TEST(testCancelRequestIsRemovedOnceAfterLostAnswer);
    CPPUNIT_TEST(testRowsOfEndedJobAreRemovedAfterLostAnswer);
    CPPUNIT_TEST(testLateRemovalLeavesNewerCancelRequest);
    CPPUNIT_TEST(testCancelRequestStaysWithJobThatLeaderHasNotRead);
    CPPUNIT_TEST_SUITE_END();

    const JobId m_job { "00000000000000aa" };
    testing::FakeStore m_store;
    JobBook m_jobs;
    RowCleanup m_cleanup { m_jobs };
    TimePoint m_now { Seconds(100) };
    std::vector<Effect> m_effects;

    void tick()
    {
        m_effects.clear();
        const Event event { m_now, {}, 1, Tick {} };
        Step step(event, m_effects);
        m_cleanup.tick(step);
    }

    bool isRemovalSent() const { return !m_effects.empty(); }
    const Commit& removal() const { return std::get<Commit>(m_effects.front()); }

    void answer(CommitReply reply)
    {
        CPPUNIT_ASSERT(m_cleanup.answered({ removal().operation, std::move(reply) }, m_now));
    }

    // Sends and performs the next removal, and answers it.
    void remove()
    {
        tick();
        CPPUNIT_ASSERT(isRemovalSent());
        answer(m_store.commit(removal().transaction));
    }

    void removeWithLostAnswer()
    {
        tick();
        CPPUNIT_ASSERT(isRemovalSent());
        m_store.commit(removal().transaction);
        answer({ CommitOutcome::Unknown });
    }

    void store(const RowKey& key) { m_store.commit({ {}, { { key, "row" } }, {} }); }

    void storeCancelRequest()
    {
        store(cancelKey(m_job));
        m_jobs.requestCancel(m_job, m_store.version(), m_now);
    }

    void endJob()
    {
        AcceptedJob accepted;
        accepted.specification = { m_job, "payload", { testing::makeStep(1, 1) }, {} };
        JobBook::Entry& entry = *m_jobs.add(std::move(accepted));
        store(jobKey(m_job));
        entry.progress.cancel();
        m_jobs.noteChange(entry, m_now);
        m_jobs.noteStored(m_jobs.collectChanges({ 100 }));
    }

public:
    // Guards against a leader that removes a row again and again that is gone.
    void testCancelRequestIsRemovedOnceAfterLostAnswer()
    {
        storeCancelRequest();
        m_now += cancelRetention;
        removeWithLostAnswer();
        CPPUNIT_ASSERT(!m_store.holds(cancelKey(m_job)));
        remove();
        tick();
        CPPUNIT_ASSERT(!isRemovalSent());
    }

    void testRowsOfEndedJobAreRemovedAfterLostAnswer()
    {
        endJob();
        storeCancelRequest();
        m_now += cancelRetention;
        removeWithLostAnswer();
        CPPUNIT_ASSERT(!m_store.holds(jobKey(m_job)) && !m_store.holds(cancelKey(m_job)));
        remove();
        remove();
        tick();
        CPPUNIT_ASSERT(!isRemovalSent());
    }

    // Guards against a cancel request that is removed seconds after it was acknowledged.
    void testLateRemovalLeavesNewerCancelRequest()
    {
        storeCancelRequest();
        m_now += cancelRetention;
        tick();
        store(cancelKey(m_job));
        answer(m_store.commit(removal().transaction));
        CPPUNIT_ASSERT(m_store.holds(cancelKey(m_job)));
        tick();
        CPPUNIT_ASSERT(!isRemovalSent());
        m_now += cancelRetention;
        remove();
        CPPUNIT_ASSERT(!m_store.holds(cancelKey(m_job)));
    }

    // Guards against a job that runs because its cancel request is removed just when it is stored.
    void testCancelRequestStaysWithJobThatLeaderHasNotRead()
    {
        storeCancelRequest();
        m_now += cancelRetention;
        tick();
        store(jobKey(m_job));
        answer(m_store.commit(removal().transaction));
        CPPUNIT_ASSERT(m_store.holds(cancelKey(m_job)));
        CPPUNIT_ASSERT(m_jobs.isCancelRequested(m_job));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchRowCleanupTest);

} // namespace anvilmoor::batch
