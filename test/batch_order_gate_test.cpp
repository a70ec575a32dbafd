#include "batch/daemon/order_gate.h"
#include "support/loop_support.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace anvilmoor::batch {

// Accepts every order at once and counts them.
class CountingGateway : public WorkerGateway {
public:
    void start(const StartRun& order, std::function<void(StartAnswered)> callback) override
    {
        ++orders;
        callback({ order.worker, order.token, order.run, OrderOutcome::Accepted });
    }
    void stop(const StopRun& order, std::function<void(StopAnswered)> callback) override
    {
        ++orders;
        callback({ order.worker, order.token, order.run, OrderOutcome::Accepted });
    }
    void hold(const HoldWorker& order, std::function<void(HoldAnswered)> callback) override
    {
        ++orders;
        callback({ order.worker, order.token, OrderOutcome::Accepted });
    }

    int orders = 0;
};

class PermissionUntil : public OrderPermission {
public:
    bool mayAct(TimePoint now) const override { return now < end; }

    TimePoint end {};
};

// Tests that the permission to send orders is checked at the time of sending.
class BatchOrderGateTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchOrderGateTest);
    CPPUNIT_TEST(testOrderSentBeforePermissionEndsReachesWorker);
    CPPUNIT_TEST(testOrderAfterPauseThatOutlastsPermissionIsNotSent);
    CPPUNIT_TEST(testOrderThatIsNotSentIsAnsweredAsUnknownFromTheLoop);
    CPPUNIT_TEST_SUITE_END();

    const WorkerLifetime m_worker { WorkerId("w0-0"), 1 };
    const RunId m_run { { JobId("job"), 0, 0, 0 }, 1 };
    net::EventLoop m_loop;
    CountingGateway m_workers;
    PermissionUntil m_permission;
    TimePoint m_now { Seconds(100) };
    telemetry::EventLog m_log { { "host", "zone", 1 }, telemetry::LogLevel::Warning,
        { [] { return WallTime(); }, [] { return TimePoint(); } }, [](std::string_view) {} };
    OrderGate m_gate { m_workers, m_permission, [this] { return m_now; }, m_loop, m_log };
    std::vector<OrderOutcome> m_outcomes;

    void sendOrders()
    {
        const auto note = [this](const auto& answer) { m_outcomes.push_back(answer.outcome); };
        m_gate.start({ m_worker, "10.0.0.1:80", m_run, "payload", {}, 1'000, 7 }, note);
        m_gate.stop({ m_worker, "10.0.0.1:80", m_run, 7 }, note);
        m_gate.hold({ m_worker, "10.0.0.1:80", 7 }, note);
    }

public:
    void testOrderSentBeforePermissionEndsReachesWorker()
    {
        m_permission.end = m_now + Milliseconds(1);
        sendOrders();
        CPPUNIT_ASSERT_EQUAL(3, m_workers.orders);
        CPPUNIT_ASSERT(m_outcomes == std::vector<OrderOutcome>(3, OrderOutcome::Accepted));
    }

    void testOrderAfterPauseThatOutlastsPermissionIsNotSent()
    {
        m_permission.end = m_now + Milliseconds(1);
        m_now += Milliseconds(1);
        sendOrders();
        CPPUNIT_ASSERT_EQUAL(0, m_workers.orders);
    }

    void testOrderThatIsNotSentIsAnsweredAsUnknownFromTheLoop()
    {
        m_permission.end = m_now;
        sendOrders();
        CPPUNIT_ASSERT(m_outcomes.empty());
        m_loop.runOnce();
        CPPUNIT_ASSERT(m_outcomes == std::vector<OrderOutcome>(3, OrderOutcome::Unknown));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchOrderGateTest);

} // namespace anvilmoor::batch
