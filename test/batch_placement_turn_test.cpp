#include "support/batch_cluster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::testing {

using namespace batch;

// Tests that placement waits for input that has arrived: a leader that is short of CPU time must handle
// answers of workers and of the store first, because they keep its leases alive.
class BatchPlacementTurnTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchPlacementTurnTest);
    CPPUNIT_TEST(testFreeCapacityIsNotUsedBeforeTheTurn);
    CPPUNIT_TEST(testTurnIsRequestedOnceUntilItComes);
    CPPUNIT_TEST(testSlowTurnIsFollowedByAnEquallyLongPause);
    CPPUNIT_TEST(testTurnDuringWhichTheHostWasSuspendedIsFollowedByAShortPause);
    CPPUNIT_TEST_SUITE_END();

    // The job is larger than the only worker, until a second worker is added.
    BatchCluster m_cluster;
    BatchReducer* m_leader = nullptr;
    TimePoint m_now {};

    template <typename Kind> static long count(const std::vector<Effect>& effects)
    {
        return std::count_if(effects.begin(), effects.end(),
            [](const Effect& effect) { return std::holds_alternative<Kind>(effect); });
    }

    static bool hasAssigned(const std::vector<Effect>& effects)
    {
        return std::any_of(effects.begin(), effects.end(), [](const Effect& effect) {
            const auto* record = std::get_if<RecordEvent>(&effect);
            return record && record->name == "run.assigned";
        });
    }

    std::vector<Effect> handle(EventPayload payload)
    {
        const WallTime wall { Milliseconds(1'700'000'000'000) + m_now.time_since_epoch() };
        return m_leader->handle({ m_now, wall, 1, std::move(payload) });
    }

    WorkerRecord secondWorker()
    {
        WorkerRecord record = m_cluster.worker(0).record;
        record.lifetime.id = WorkerId("second");
        return record;
    }

    // The second worker registers and answers its first hold request.
    std::vector<Effect> confirmSecondWorker()
    {
        const WorkerRecord second = secondWorker();
        handle(WorkersUpdated { false, { second }, {}, m_now });
        const std::vector<Effect> effects = handle(Tick {});
        const auto hold = std::find_if(effects.begin(), effects.end(), [&second](const Effect& effect) {
            const auto* order = std::get_if<HoldWorker>(&effect);
            return order && order->worker == second.lifetime;
        });
        CPPUNIT_ASSERT(hold != effects.end());
        const auto& order = std::get<HoldWorker>(*hold);
        return handle(HoldAnswered { second.lifetime, order.token, OrderOutcome::Accepted,
            { 1'000, second.lifetime.startedAtMs }, order.number });
    }

public:
    void setUp() override
    {
        m_cluster.addWorkers(1, 1);
        m_cluster.run(Milliseconds(500));
        const JobId job = m_cluster.submit(1, "gang", { makeGang(2, 8) });
        m_cluster.run(Milliseconds(1'000));
        CPPUNIT_ASSERT_EQUAL(0, m_cluster.startsOf(job));
        m_leader = &m_cluster.reducer(m_cluster.leader().value());
        m_now = m_cluster.now();
        // Ends a turn that is still open in the cluster.
        handle(PlacementTurn {});
        m_now += Milliseconds(100);
    }

    void testFreeCapacityIsNotUsedBeforeTheTurn()
    {
        const std::vector<Effect> effects = confirmSecondWorker();
        CPPUNIT_ASSERT(!hasAssigned(effects));
        CPPUNIT_ASSERT(hasAssigned(handle(PlacementTurn {})));
    }

    void testTurnIsRequestedOnceUntilItComes()
    {
        const WorkersUpdated change { false, { secondWorker() }, {}, m_now };
        CPPUNIT_ASSERT_EQUAL(1L, count<RequestPlacementTurn>(handle(change)));
        CPPUNIT_ASSERT_EQUAL(0L, count<RequestPlacementTurn>(confirmSecondWorker()));
    }

    void testSlowTurnIsFollowedByAnEquallyLongPause()
    {
        constexpr Milliseconds slowTurn { 100 };
        handle(WorkersUpdated { false, { secondWorker() }, {}, m_now });
        handle(PlacementTurn { slowTurn });
        m_now += 2 * slowTurn - Milliseconds(1);
        const WorkersUpdated change { false, { secondWorker() }, {}, m_now };
        CPPUNIT_ASSERT_EQUAL(0L, count<RequestPlacementTurn>(handle(change)));
        m_now += Milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(1L, count<RequestPlacementTurn>(handle(change)));
    }

    void testTurnDuringWhichTheHostWasSuspendedIsFollowedByAShortPause()
    {
        const WorkersUpdated change { false, { secondWorker() }, {}, m_now };
        handle(change);
        handle(PlacementTurn { Milliseconds(900) });
        m_now += Milliseconds(600);
        CPPUNIT_ASSERT_EQUAL(1L, count<RequestPlacementTurn>(handle(change)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchPlacementTurnTest);

} // namespace anvilmoor::testing
