#include "batch/workers/speed_rows.h"
#include "batch/workers/worker_pool.h"
#include "batch/workers/worker_speed.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <string>

namespace anvilmoor::batch {

// Guards against placing urgent gangs on slow workers. At the users' sites, the slowest worker takes 1.3 to
// 1.6 times as long as the fastest for the same work. Callers' estimates are off by up to 90%, so speeds
// cannot be derived from them.
class BatchWorkerSpeedTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWorkerSpeedTest);
    CPPUNIT_TEST(testWorkerThatAdvancesFasterThanItsSiblingsIsFaster);
    CPPUNIT_TEST(testStepWithMoreWorkDoesNotMakeItsWorkersSlow);
    CPPUNIT_TEST(testSingleTaskOfAStepLeavesItsWorkerUnrated);
    CPPUNIT_TEST(testSpeedAfterOneObservationStaysNearAverage);
    CPPUNIT_TEST(testSpeedFollowsAWorkerThatBecomesSlower);
    CPPUNIT_TEST(testSpeedIsRestoredFromItsValueAndWeight);
    CPPUNIT_TEST(testStoredSpeedsAreRestoredForTheSameLifetimes);
    CPPUNIT_TEST(testBetterKnownSpeedIsNotReplacedByTheStoredOne);
    CPPUNIT_TEST(testSpeedsOfManyWorkersTakeSeveralRows);
    CPPUNIT_TEST(testRowOfWorkersWithLongestIdsFitsIntoTheStore);
    CPPUNIT_TEST(testUnreadableSpeedsAreReported);
    CPPUNIT_TEST_SUITE_END();

    StepRates m_rates;
    std::map<std::string, WorkerSpeed> m_speeds;
    int m_steps = 0;

    // Runs a step with one task per worker. The rates are fractions of a task's work per second.
    void runStep(const std::map<std::string, double>& rates)
    {
        const StepId step { JobId("job"), 0, m_steps++ };
        for (const auto& [worker, rate] : rates) {
            const WorkerLifetime lifetime { WorkerId(worker), 1 };
            for (const SpeedObservation& observed : m_rates.add(step, lifetime, rate, m_speeds[worker]))
                m_speeds[observed.worker.id.value()].add(observed.logSpeed, observed.weight);
        }
    }

    void testWorkerThatAdvancesFasterThanItsSiblingsIsFaster()
    {
        for (int i = 0; i < 10; ++i)
            runStep({ { "fast", 0.25 }, { "slow", 0.16 }, { "usual", 0.2 } });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.25, m_speeds["fast"].value(), 0.06);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, m_speeds["usual"].value(), 0.06);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, m_speeds["slow"].value(), 0.06);
    }

    void testStepWithMoreWorkDoesNotMakeItsWorkersSlow()
    {
        for (int i = 0; i < 10; ++i) {
            runStep({ { "a", 0.5 }, { "b", 0.5 } });
            runStep({ { "c", 0.05 }, { "d", 0.05 } });
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, m_speeds["a"].value(), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, m_speeds["c"].value(), 0.01);
    }

    void testSingleTaskOfAStepLeavesItsWorkerUnrated()
    {
        runStep({ { "a", 0.01 } });
        CPPUNIT_ASSERT_EQUAL(0.0, m_speeds["a"].weight());
        CPPUNIT_ASSERT_EQUAL(1.0, m_speeds["a"].value());
    }

    // The amount of work differs by about 15% between tasks of one step, so one observation is unreliable.
    void testSpeedAfterOneObservationStaysNearAverage()
    {
        runStep({ { "a", 0.24 }, { "b", 0.2 } });
        CPPUNIT_ASSERT(m_speeds["a"].value() > 1);
        CPPUNIT_ASSERT(m_speeds["a"].value() < 1.1);
    }

    void testSpeedFollowsAWorkerThatBecomesSlower()
    {
        WorkerSpeed speed;
        for (int i = 0; i < 1'000; ++i)
            speed.add(0, 1);
        for (int i = 0; i < 40; ++i)
            speed.add(-0.5, 1);
        CPPUNIT_ASSERT(speed.logValue() < -0.4);
    }

    void testSpeedIsRestoredFromItsValueAndWeight()
    {
        WorkerSpeed speed;
        for (int i = 0; i < 5; ++i)
            speed.add(0.2, 0.8);
        const WorkerSpeed restored(speed.value(), speed.weight());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(speed.value(), restored.value(), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(speed.weight(), restored.weight(), 1e-9);
    }

    static WorkerPool poolOf(int workers, std::int64_t startedAtMs = 1)
    {
        WorkerPool pool;
        for (int i = 0; i < workers; ++i)
            pool.require({ WorkerId("worker-" + std::to_string(i)), startedAtMs });
        return pool;
    }

    void testStoredSpeedsAreRestoredForTheSameLifetimes()
    {
        WorkerPool pool = poolOf(2);
        const WorkerLifetime first { WorkerId("worker-0"), 1 };
        pool.find(first)->speed = WorkerSpeed(1.25, 6);
        const Row row = encodeSpeeds(pool, 0);
        WorkerPool next = poolOf(2);
        CPPUNIT_ASSERT(!restoreSpeeds(row.value, next));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.25, next.find(first)->speed.value(), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6, next.find(first)->speed.weight(), 0.01);
        // In a new lifetime, a worker may be of a different type.
        WorkerPool nextLifetime = poolOf(2, 2);
        CPPUNIT_ASSERT(!restoreSpeeds(row.value, nextLifetime));
        CPPUNIT_ASSERT_EQUAL(0.0, nextLifetime.find({ WorkerId("worker-0"), 2 })->speed.weight());
    }

    void testBetterKnownSpeedIsNotReplacedByTheStoredOne()
    {
        WorkerPool pool = poolOf(1);
        Worker& worker = pool.all().begin()->second;
        worker.speed = WorkerSpeed(1.25, 6);
        const Row row = encodeSpeeds(pool, 0);
        worker.speed = WorkerSpeed(0.8, 9);
        CPPUNIT_ASSERT(!restoreSpeeds(row.value, pool));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, worker.speed.value(), 0.01);
    }

    void testSpeedsOfManyWorkersTakeSeveralRows()
    {
        WorkerPool pool = poolOf(1'200);
        for (auto& [lifetime, worker] : pool.all())
            worker.speed = WorkerSpeed(1.25, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, speedRowCount(pool));
        WorkerPool next = poolOf(1'200);
        for (std::size_t i = 0; i < 5; ++i) {
            const Row row = encodeSpeeds(pool, i);
            CPPUNIT_ASSERT(row.value.size() < 48'000);
            CPPUNIT_ASSERT(!restoreSpeeds(row.value, next));
        }
        for (const auto& [lifetime, worker] : next.all())
            CPPUNIT_ASSERT(worker.speed.weight() > 0.9);
    }

    // Guards against a row that the store does not take, which would stop each commit of the leader.
    void testRowOfWorkersWithLongestIdsFitsIntoTheStore()
    {
        constexpr std::size_t longestKey = 200; // bytes
        WorkerPool pool;
        for (int i = 0; i < 500; ++i) {
            std::string id = std::to_string(i);
            id.resize(longestKey, 'w');
            pool.require({ WorkerId(id), 1'796'000'000'000 }).speed = WorkerSpeed(9'999, 9'999);
        }
        for (std::size_t i = 0; i < speedRowCount(pool); ++i)
            CPPUNIT_ASSERT(encodeSpeeds(pool, i).value.size() <= StoreLimits {}.rowBytes);
    }

    void testUnreadableSpeedsAreReported()
    {
        WorkerPool pool = poolOf(1);
        CPPUNIT_ASSERT(restoreSpeeds("no row", pool));
        CPPUNIT_ASSERT(restoreSpeeds("\x91\x01", pool));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWorkerSpeedTest);

} // namespace anvilmoor::batch
