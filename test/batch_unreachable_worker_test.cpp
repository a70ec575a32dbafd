#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::testing {

// Tests that work does not wait for a worker to which the leader cannot connect, unless the work may have
// been started there.
class BatchUnreachableWorkerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchUnreachableWorkerTest);
    CPPUNIT_TEST(testTaskAssignedToWorkerThatCannotBeConnectedToStartsElsewhere);
    CPPUNIT_TEST(testGangWithMembersOnWorkersThatCannotBeConnectedToStartsElsewhere);
    CPPUNIT_TEST(testRunThatMayHaveStartedIsNotRepeatedWhenItsWorkerCannotBeConnectedTo);
    CPPUNIT_TEST(testWorkerThatCanBeConnectedToAgainGetsRuns);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Milliseconds shortly { 300 };

    BatchCluster m_cluster;

    void addWorkers(int count)
    {
        m_cluster.addWorkers(1, count);
        m_cluster.run(Milliseconds(500));
    }

    bool isRunning(const JobId& job, std::size_t worker)
    {
        for (const auto& [task, run] : m_cluster.worker(worker).runs()) {
            if (task.job == job)
                return true;
        }
        return false;
    }

    bool isRunning(const JobId& job)
    {
        for (std::size_t i = 0; i < m_cluster.workerCount(); ++i) {
            if (isRunning(job, i))
                return true;
        }
        return false;
    }

    void requireNoViolation() const
    {
        if (!m_cluster.violations().empty())
            CPPUNIT_FAIL(m_cluster.violations().front());
    }

public:
    void testTaskAssignedToWorkerThatCannotBeConnectedToStartsElsewhere()
    {
        addWorkers(4);
        for (std::size_t i = 0; i + 1 < m_cluster.workerCount(); ++i)
            m_cluster.worker(i).refusesConnections = true;
        const JobId job = m_cluster.submit(0, "small", { makeStep(1, 8) });
        m_cluster.run(shortly);
        CPPUNIT_ASSERT(isRunning(job, 3));
        requireNoViolation();
    }

    void testGangWithMembersOnWorkersThatCannotBeConnectedToStartsElsewhere()
    {
        addWorkers(4);
        m_cluster.worker(0).refusesConnections = true;
        m_cluster.worker(1).refusesConnections = true;
        const JobId job = m_cluster.submit(0, "gang", { makeGang(2, 8) });
        m_cluster.run(shortly);
        CPPUNIT_ASSERT(isRunning(job, 2));
        CPPUNIT_ASSERT(isRunning(job, 3));
        requireNoViolation();
    }

    void testRunThatMayHaveStartedIsNotRepeatedWhenItsWorkerCannotBeConnectedTo()
    {
        addWorkers(2);
        for (std::size_t i = 0; i < m_cluster.workerCount(); ++i)
            m_cluster.cutLink(m_cluster.leader().value(), i, LinkCut::AnswersLost);
        const JobId job = m_cluster.submit(0, "small", { makeStep(1, 8, Milliseconds(60'000)) });
        CPPUNIT_ASSERT(m_cluster.runUntil([&] { return isRunning(job); }, Milliseconds(500)));
        m_cluster.worker(isRunning(job, 0) ? 0 : 1).refusesConnections = true;
        m_cluster.healLinks();
        m_cluster.run(Milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(1, m_cluster.startsOf(job));
        m_cluster.run(Milliseconds(15'000));
        requireNoViolation();
    }

    void testWorkerThatCanBeConnectedToAgainGetsRuns()
    {
        addWorkers(1);
        m_cluster.worker(0).refusesConnections = true;
        const JobId job = m_cluster.submit(0, "small", { makeStep(1, 8) });
        m_cluster.run(Milliseconds(3'000));
        CPPUNIT_ASSERT(!isRunning(job));
        m_cluster.worker(0).refusesConnections = false;
        CPPUNIT_ASSERT(m_cluster.runUntil([&] { return isRunning(job); }, Milliseconds(1'000)));
        requireNoViolation();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchUnreachableWorkerTest);

} // namespace anvilmoor::testing
