#include "batch/jobs/job_book.h"
#include "batch/placement/packing_placement.h"
#include "batch/placement/placement_round.h"
#include "support/batch_cluster.h"
#include "support/leader_state.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::batch {

// A service with one rack of eight workers. All jobs are in one queue.
class BatchSizeCountsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchSizeCountsTest);
    CPPUNIT_TEST(testJobIsServedWhileItHasRunsAndOnceItIsDone);
    CPPUNIT_TEST(testStoppedJobIsNotServed);
    CPPUNIT_TEST(testCancelledJobIsNotCounted);
    CPPUNIT_TEST(testRemovedJobIsNotCounted);
    CPPUNIT_TEST(testJobsOfOneClassDifferByLessThanHalf);
    CPPUNIT_TEST(testRelativeShareComparesSizeWithItsQueue);
    CPPUNIT_TEST_SUITE_END();

    const PackingPlacement m_packing;
    const ObjectiveOrder m_order;
    testing::LeaderState m_state;
    PlacementRound m_round { m_packing, m_order, Milliseconds(200) };

    const JobProgress& progressOf(const JobId& job) { return m_state.jobs.find(job)->progress; }

    SizeCounts::Count countOf(const JobId& job)
    {
        const auto& queues = m_state.jobs.sizeCounts().queues();
        const auto sizes = queues.find(progressOf(job).job().terms.queue);
        if (sizes == queues.end())
            return {};
        const auto count = sizes->second.find(m_state.jobs.find(job)->sizeClass);
        return count == sizes->second.end() ? SizeCounts::Count() : count->second;
    }

    void requireCount(int served, int jobs, const JobId& job)
    {
        const SizeCounts::Count count = countOf(job);
        CPPUNIT_ASSERT_EQUAL(served, count.served);
        CPPUNIT_ASSERT_EQUAL(jobs, count.jobs);
    }

    void cancel(const JobId& job)
    {
        JobBook::Entry* const entry = m_state.jobs.find(job);
        entry->progress.cancel();
        m_state.jobs.noteChange(*entry, m_state.now);
    }

public:
    void setUp() override { m_state.addWorkers(1, 8); }

    void testJobIsServedWhileItHasRunsAndOnceItIsDone()
    {
        const JobId job = m_state.addJob("a", 1, testing::makeStep(1, 8));
        requireCount(0, 1, job);
        m_state.place(m_round);
        requireCount(1, 1, job);
        m_state.endTask({ job, 0, 0, 0 });
        CPPUNIT_ASSERT(JobState::Completed == progressOf(job).state());
        requireCount(1, 1, job);
    }

    void testStoppedJobIsNotServed()
    {
        const JobId job = m_state.addJob("a", 1, testing::makeStep(1, 8));
        m_state.place(m_round);
        JobBook::Entry* const entry = m_state.jobs.find(job);
        entry->progress.runEnded({ { job, 0, 0, 0 }, 1 }, RunEnd::Stopped, {});
        m_state.jobs.noteChange(*entry, m_state.now);
        requireCount(0, 1, job);
    }

    void testCancelledJobIsNotCounted()
    {
        const JobId job = m_state.addJob("a", 1, testing::makeStep(1, 8));
        cancel(job);
        requireCount(0, 0, job);
    }

    void testRemovedJobIsNotCounted()
    {
        const JobId job = m_state.addJob("a", 1, testing::makeStep(1, 8));
        m_state.place(m_round);
        m_state.endTask({ job, 0, 0, 0 });
        m_state.jobs.noteStored(m_state.jobs.collectChanges({ 100 }));
        m_state.jobs.noteRowsRemoved(job);
        m_state.jobs.noteStored(m_state.jobs.collectChanges({ 100 }));
        CPPUNIT_ASSERT(!m_state.jobs.find(job));
        CPPUNIT_ASSERT(m_state.jobs.sizeCounts().queues().empty());
    }

    void testJobsOfOneClassDifferByLessThanHalf()
    {
        StepSpecification step = testing::makeStep(1, 8);
        step.estimatedDuration = Milliseconds(2'000);
        const int smaller = sizeClassOf({ JobId("a"), {}, { step }, {} });
        step.estimatedDuration = Milliseconds(3'000);
        CPPUNIT_ASSERT(sizeClassOf({ JobId("b"), {}, { step }, {} }) > smaller);
    }

    void testRelativeShareComparesSizeWithItsQueue()
    {
        SizeCounts counts;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, counts.relativeServedShare("queue", 3), 0);
        counts.add("queue", 3, true);
        counts.add("queue", 3, true);
        counts.add("queue", 9, false);
        counts.add("queue", 9, true);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0 / 3, counts.relativeServedShare("queue", 3), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0 / 3, counts.relativeServedShare("queue", 9), 1e-9);
        counts.remove("queue", 9, false);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, counts.relativeServedShare("queue", 9), 1e-9);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchSizeCountsTest);

} // namespace anvilmoor::batch
