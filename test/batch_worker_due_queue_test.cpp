#include "batch/workers/worker_due_queue.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::batch {

class BatchWorkerDueQueueTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWorkerDueQueueTest);
    CPPUNIT_TEST(testOnlyDueWorkersAreTaken);
    CPPUNIT_TEST(testEarlierTimeReplacesLaterOne);
    CPPUNIT_TEST(testTakenWorkerIsNotTakenAgain);
    CPPUNIT_TEST(testForgottenWorkerIsSkipped);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now { Seconds(100) };
    const WorkerLifetime m_first { WorkerId("first"), 1 };
    const WorkerLifetime m_second { WorkerId("second"), 1 };
    WorkerPool m_workers;
    WorkerDueQueue m_dueQueue;

    void add(const WorkerLifetime& lifetime, Milliseconds later)
    {
        m_dueQueue.add(m_workers.require(lifetime), m_now + later);
    }

    std::vector<WorkerLifetime> takeAfter(Milliseconds later)
    {
        return m_dueQueue.takeDue(m_now + later, m_workers);
    }

public:
    void testOnlyDueWorkersAreTaken()
    {
        add(m_first, Milliseconds(10));
        add(m_second, Milliseconds(20));
        CPPUNIT_ASSERT(takeAfter(Milliseconds(9)).empty());
        CPPUNIT_ASSERT(std::vector { m_first } == takeAfter(Milliseconds(10)));
        CPPUNIT_ASSERT(std::vector { m_second } == takeAfter(Milliseconds(20)));
    }

    void testEarlierTimeReplacesLaterOne()
    {
        add(m_first, Milliseconds(20));
        add(m_first, Milliseconds(10));
        add(m_first, Milliseconds(30));
        CPPUNIT_ASSERT(std::vector { m_first } == takeAfter(Milliseconds(10)));
        CPPUNIT_ASSERT(takeAfter(Milliseconds(40)).empty());
    }

    void testTakenWorkerIsNotTakenAgain()
    {
        add(m_first, Milliseconds(10));
        takeAfter(Milliseconds(10));
        CPPUNIT_ASSERT(takeAfter(Milliseconds(10)).empty());
        add(m_first, Milliseconds(20));
        CPPUNIT_ASSERT(std::vector { m_first } == takeAfter(Milliseconds(20)));
    }

    void testForgottenWorkerIsSkipped()
    {
        add(m_first, Milliseconds(10));
        m_workers.erase(m_first);
        CPPUNIT_ASSERT(takeAfter(Milliseconds(10)).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWorkerDueQueueTest);

} // namespace anvilmoor::batch
