#include "batch/placement/packing_placement.h"
#include "batch/placement/placement_round.h"
#include "support/batch_cluster.h"
#include "support/leader_state.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <string>

namespace anvilmoor::batch {

// A service of 40 workers, mostly in use by jobs of priority 1, where wide gangs of priority 1 wait. The room
// of the first one is held, which uses up the share that may be held.
class BatchLessUrgentShareTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchLessUrgentShareTest);
    CPPUNIT_TEST(testLessUrgentTasksAreBoundedWhileGangWaitsWithoutHold);
    CPPUNIT_TEST(testLessUrgentTasksAreNotBoundedWhileEachGangHasHold);
    CPPUNIT_TEST(testLessUrgentTasksAreNotBoundedInMostlyFreeService);
    CPPUNIT_TEST(testTasksOfGangsPriorityAreNotBounded);
    CPPUNIT_TEST(testLastingTasksAreNotBounded);
    CPPUNIT_TEST(testBoundedTasksArePlacedAsOthersEnd);
    CPPUNIT_TEST(testLessUrgentGangWiderThanShareIsPlaced);
    CPPUNIT_TEST(testBoundedTaskWaitsForShare);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int workers = 40;
    static constexpr int accelerators = 8 * workers;
    // Less urgent work may use this many while a gang waits without a hold.
    static constexpr int boundedAccelerators = accelerators * 15 / 100;
    static constexpr int gangTasks = 10;

    const PackingPlacement m_packing;
    const ObjectiveOrder m_order;
    testing::LeaderState m_state;
    PlacementRound m_round { m_packing, m_order, Milliseconds(200) };

    // Each worker has a task with this many accelerators.
    void fillWorkers(int perWorker)
    {
        StepSpecification step = testing::makeStep(workers, perWorker, Seconds(60));
        step.maxTasksPerWorker = 1;
        m_state.addJob("filler", 1, step);
        m_state.place(m_round);
    }

    void addGangs(int count)
    {
        for (int i = 0; i < count; ++i)
            m_state.addJob(fmt::format("gang-{}", i).c_str(), 1, testing::makeGang(gangTasks, 8));
        m_state.place(m_round);
    }

    JobId addTasks(const char* id, int priority)
    {
        return m_state.addJob(id, priority, testing::makeStep(200, 1));
    }

    int placedOf(const JobId& job)
    {
        return static_cast<int>(testing::LeaderState::placedTasks(m_state.place(m_round), job));
    }

public:
    void setUp() override { m_state.addWorkers(5, 8); }

    // Guards against a service that fills with the least urgent work while more urgent gangs wait.
    void testLessUrgentTasksAreBoundedWhileGangWaitsWithoutHold()
    {
        fillWorkers(5);
        addGangs(2);
        CPPUNIT_ASSERT_EQUAL(boundedAccelerators, placedOf(addTasks("small", 2)));
    }

    void testLessUrgentTasksAreNotBoundedWhileEachGangHasHold()
    {
        fillWorkers(5);
        addGangs(1);
        CPPUNIT_ASSERT_EQUAL((workers - gangTasks) * 3, placedOf(addTasks("small", 2)));
    }

    void testLessUrgentTasksAreNotBoundedInMostlyFreeService()
    {
        fillWorkers(4);
        addGangs(2);
        CPPUNIT_ASSERT_EQUAL((workers - gangTasks) * 4, placedOf(addTasks("small", 2)));
    }

    void testTasksOfGangsPriorityAreNotBounded()
    {
        fillWorkers(5);
        addGangs(2);
        CPPUNIT_ASSERT_EQUAL((workers - gangTasks) * 3, placedOf(addTasks("small", 1)));
    }

    void testLastingTasksAreNotBounded()
    {
        fillWorkers(5);
        addGangs(2);
        StepSpecification step = testing::makeStep(60, 1);
        step.runsUntilCancelled = true;
        CPPUNIT_ASSERT_EQUAL(60, placedOf(m_state.addJob("lasting", 2, step)));
    }

    void testBoundedTasksArePlacedAsOthersEnd()
    {
        fillWorkers(5);
        addGangs(2);
        const JobId small = addTasks("small", 2);
        placedOf(small);
        CPPUNIT_ASSERT_EQUAL(0, placedOf(small));
        for (int task = 0; task < 3; ++task)
            m_state.endTask({ small, 0, 0, task });
        CPPUNIT_ASSERT_EQUAL(3, placedOf(small));
    }

    void testLessUrgentGangWiderThanShareIsPlaced()
    {
        fillWorkers(5);
        addGangs(2);
        const JobId wide = m_state.addJob("wide", 2, testing::makeGang(boundedAccelerators + 10, 1));
        CPPUNIT_ASSERT_EQUAL(boundedAccelerators + 10, placedOf(wide));
    }

    void testBoundedTaskWaitsForShare()
    {
        fillWorkers(5);
        addGangs(2);
        addTasks("small", 2);
        const JobId later = addTasks("small-later", 2);
        m_state.place(m_round);
        const WaitCause cause = m_round.waitCauseOf(
            *m_state.jobs.find(later), m_state.jobs, m_state.pool, m_state.now, m_state.wallTime);
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(WaitCause::LessUrgentShare)), std::string(nameOf(cause)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchLessUrgentShareTest);

} // namespace anvilmoor::batch
