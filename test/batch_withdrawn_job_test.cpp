#include "batch/jobs/cancel_requests.h"
#include "batch/store/tables.h"
#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <string>

namespace anvilmoor::batch {

// Tests that no job starts once its cancel request was acknowledged, whatever copy of the job is stored
// later.
class BatchWithdrawnJobTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWithdrawnJobTest);
    CPPUNIT_TEST(testJobOfDaemonCutFromStoreDoesNotStartAfterCancel);
    CPPUNIT_TEST(testJobOfDaemonCutFromStoreForLongDoesNotStartAfterCancel);
    CPPUNIT_TEST(testJobStoredByLateTransactionDoesNotStartAfterCancel);
    CPPUNIT_TEST(testRepeatedSubmissionStartsNothingAfterCancelOfUnknownJob);
    CPPUNIT_TEST(testRepeatedSubmissionStartsNothingUnderNextLeader);
    CPPUNIT_TEST(testRepeatedSubmissionStartsNothingAfterRowsOfEndedJobWereDue);
    CPPUNIT_TEST(testCancelOfUnknownJobIsAcknowledgedOnlyOnceStored);
    CPPUNIT_TEST(testUnusedCancelRequestsAreRemoved);
    CPPUNIT_TEST(testCancelRequestOfUnreadableJobIsKept);
    CPPUNIT_TEST(testCancelsOfUnknownJobsAreBounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t cutOff = 2; // a daemon that is not the leader
    // Longer than any wait for a start, so that a job that may start has started.
    static constexpr Milliseconds startTime { 8'000 };

    testing::BatchCluster m_cluster { 3 };

    JobId submit(std::size_t daemon)
    {
        return m_cluster.submit(daemon, "small", { testing::makeStep(1, 1) });
    }

    void cancel(const JobId& job, AnswerKind expected)
    {
        m_cluster.cancel(0, "small", job);
        m_cluster.run(Milliseconds(100));
        CPPUNIT_ASSERT(m_cluster.answerTo(job)->kind == expected);
    }

    void requireNoStart(const JobId& job)
    {
        m_cluster.run(startTime);
        CPPUNIT_ASSERT_EQUAL(0, m_cluster.startsOf(job));
    }

    JobId withdrawUnknownJob()
    {
        m_cluster.cutFromStore.insert(cutOff);
        const JobId job = submit(cutOff);
        m_cluster.run(Milliseconds(1'500));
        CPPUNIT_ASSERT(m_cluster.answerTo(job)->kind == AnswerKind::OutcomeUnknown);
        cancel(job, AnswerKind::NoSuchJob);
        return job;
    }

public:
    void setUp() override
    {
        m_cluster.addWorkers(1, 4);
        m_cluster.run(Milliseconds(1'000));
        CPPUNIT_ASSERT(m_cluster.leader() && *m_cluster.leader() != cutOff);
    }

    // Guards against a daemon that stores a job when the store answers it again, long after the job was
    // withdrawn through another daemon (review/7).
    void testJobOfDaemonCutFromStoreDoesNotStartAfterCancel()
    {
        const JobId job = withdrawUnknownJob();
        m_cluster.run(Milliseconds(7'000));
        m_cluster.cutFromStore.clear();
        requireNoStart(job);
    }

    // Guards against the same after the cancel request has been removed.
    void testJobOfDaemonCutFromStoreForLongDoesNotStartAfterCancel()
    {
        const JobId job = withdrawUnknownJob();
        m_cluster.run(cancelRetention + Milliseconds(10'000));
        CPPUNIT_ASSERT(!m_cluster.store().holds(cancelKey(job)));
        m_cluster.cutFromStore.clear();
        requireNoStart(job);
    }

    // Guards against the same by the store itself, which performs a transaction seconds later.
    void testJobStoredByLateTransactionDoesNotStartAfterCancel()
    {
        m_cluster.disturbances.lateCommitShare = 1;
        const JobId job = submit(cutOff);
        m_cluster.disturbances.lateCommitShare = 0;
        cancel(job, AnswerKind::NoSuchJob);
        CPPUNIT_ASSERT(
            m_cluster.runUntil([&] { return m_cluster.store().holds(jobKey(job)); }, Milliseconds(8'000)));
        requireNoStart(job);
    }

    // Guards against the same by the client's own repeated request.
    void testRepeatedSubmissionStartsNothingAfterCancelOfUnknownJob()
    {
        const JobId job = withdrawUnknownJob();
        m_cluster.run(Milliseconds(20'000));
        m_cluster.submitAgain(1, "small", job);
        requireNoStart(job);
        CPPUNIT_ASSERT(m_cluster.stateOf(job) == JobState::Cancelled);
    }

    void testRepeatedSubmissionStartsNothingUnderNextLeader()
    {
        const JobId job = withdrawUnknownJob();
        m_cluster.kill(*m_cluster.leader());
        m_cluster.run(Milliseconds(6'000));
        m_cluster.submitAgain(1, "small", job);
        requireNoStart(job);
    }

    // Guards against a cancel request that is removed with the rows of its job, shortly after it came.
    void testRepeatedSubmissionStartsNothingAfterRowsOfEndedJobWereDue()
    {
        const JobId job = submit(1);
        m_cluster.run(jobRetention);
        CPPUNIT_ASSERT_EQUAL(1, m_cluster.startsOf(job));
        cancel(job, AnswerKind::Cancelled);
        m_cluster.run(Milliseconds(4'000));
        m_cluster.submitAgain(1, "small", job);
        m_cluster.run(startTime);
        CPPUNIT_ASSERT_EQUAL(1, m_cluster.startsOf(job));
    }

    void testCancelOfUnknownJobIsAcknowledgedOnlyOnceStored()
    {
        const JobId job("00000000000000aa");
        m_cluster.commitDelay = Milliseconds(300);
        m_cluster.cancel(1, "small", job);
        m_cluster.run(Milliseconds(250));
        CPPUNIT_ASSERT(!m_cluster.answerTo(job));
        m_cluster.run(Milliseconds(500));
        CPPUNIT_ASSERT(m_cluster.answerTo(job)->kind == AnswerKind::NoSuchJob);
        CPPUNIT_ASSERT(m_cluster.store().holds(cancelKey(job)));
    }

    // Guards against rows that stay for good.
    void testUnusedCancelRequestsAreRemoved()
    {
        std::vector<JobId> jobs;
        for (int i = 0; i < 200; ++i) {
            jobs.emplace_back(fmt::format("{:016x}", 0xa0000 + i));
            m_cluster.cancel(1, "small", jobs.back());
        }
        m_cluster.run(cancelRetention);
        CPPUNIT_ASSERT(m_cluster.store().holds(cancelKey(jobs.back())));
        m_cluster.run(Milliseconds(5'000));
        for (const JobId& job : jobs)
            CPPUNIT_ASSERT(!m_cluster.store().holds(cancelKey(job)));
    }

    // Guards against a leader that tries to remove such a request again and again, and that removes others
    // with it never.
    void testCancelRequestOfUnreadableJobIsKept()
    {
        const JobId unreadable("00000000000000aa");
        m_cluster.store().commit({ {}, { { jobKey(unreadable), "no row" } }, {} });
        m_cluster.cancel(1, "small", unreadable);
        JobId other;
        for (int i = 0; other.value().empty(); ++i) {
            const JobId candidate(fmt::format("{:016x}", 0xb0000 + i));
            if (cancelKey(candidate).part == cancelKey(unreadable).part)
                other = candidate;
        }
        m_cluster.cancel(1, "small", other);
        m_cluster.run(cancelRetention + Milliseconds(5'000));
        CPPUNIT_ASSERT(m_cluster.store().holds(cancelKey(unreadable)));
        CPPUNIT_ASSERT(!m_cluster.store().holds(cancelKey(other)));
    }

    void testCancelsOfUnknownJobsAreBounded()
    {
        for (int i = 0; i < 3'000; ++i) {
            m_cluster.cancel(1, "small", JobId(fmt::format("{:016x}", 0xc0000 + i)));
            m_cluster.run(Milliseconds(1));
        }
        m_cluster.run(Milliseconds(500));
        CPPUNIT_ASSERT(m_cluster.answerTo(JobId("00000000000c0000"))->kind == AnswerKind::NoSuchJob);
        const JobId last(fmt::format("{:016x}", 0xc0000 + 2'999));
        CPPUNIT_ASSERT(m_cluster.answerTo(last)->kind == AnswerKind::TooManyCancels);
        CPPUNIT_ASSERT(!m_cluster.store().holds(cancelKey(last)));
        m_cluster.run(cancelRetention);
        m_cluster.cancel(1, "small", last);
        m_cluster.run(Milliseconds(100));
        CPPUNIT_ASSERT(m_cluster.answerTo(last)->kind == AnswerKind::NoSuchJob);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWithdrawnJobTest);

} // namespace anvilmoor::batch
