#include "batch/jobs/job_book.h"
#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::batch {

class BatchJobBookTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchJobBookTest);
    CPPUNIT_TEST(testEndedJobExpiresAfterItsRetention);
    CPPUNIT_TEST(testJobWhoseEndIsNotStoredDoesNotHideAnotherExpiredOne);
    CPPUNIT_TEST(testProgressIsRemovedAfterTheJobRow);
    CPPUNIT_TEST_SUITE_END();

    JobBook m_jobs;
    TimePoint m_now { Seconds(100) };

    JobBook::Entry& addJob(const char* id)
    {
        AcceptedJob job;
        job.specification = { JobId(id), "payload", { testing::makeStep(1, 1) }, {} };
        return *m_jobs.add(std::move(job));
    }

    void end(JobBook::Entry& entry)
    {
        entry.progress.cancel();
        m_jobs.noteChange(entry, m_now);
    }

    void storeAll() { m_jobs.noteStored(m_jobs.collectChanges({ 100 })); }

public:
    void testEndedJobExpiresAfterItsRetention()
    {
        end(addJob("a"));
        storeAll();
        CPPUNIT_ASSERT(!m_jobs.findExpired(m_now + jobRetention - Milliseconds(1)));
        CPPUNIT_ASSERT(JobId("a") == m_jobs.findExpired(m_now + jobRetention));
    }

    void testJobWhoseEndIsNotStoredDoesNotHideAnotherExpiredOne()
    {
        JobBook::Entry& first = addJob("a");
        end(first);
        end(addJob("b"));
        storeAll();
        m_jobs.noteChange(first, m_now);
        CPPUNIT_ASSERT(JobId("b") == m_jobs.findExpired(m_now + jobRetention));
    }

    void testProgressIsRemovedAfterTheJobRow()
    {
        end(addJob("a"));
        storeAll();
        CPPUNIT_ASSERT(m_jobs.collectChanges({ 100 }).removals.empty());
        m_jobs.noteRowsRemoved(JobId("a"));
        CPPUNIT_ASSERT(!m_jobs.findExpired(m_now + jobRetention));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_jobs.collectChanges({ 100 }).removals.size());
        storeAll();
        CPPUNIT_ASSERT(!m_jobs.find(JobId("a")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchJobBookTest);

} // namespace anvilmoor::batch
