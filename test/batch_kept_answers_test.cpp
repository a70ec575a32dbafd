#include "batch/leader/kept_answers.h"
#include "batch/workers/fencing_token.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace anvilmoor::batch {

// Tests that answers are kept without effect, and passed on once and in order.
class BatchKeptAnswersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchKeptAnswersTest);
    CPPUNIT_TEST(testAnswersHaveNoEffectUntilDelivered);
    CPPUNIT_TEST(testAnswersAreDeliveredOldestFirst);
    CPPUNIT_TEST(testAnswersAreDeliveredOnce);
    CPPUNIT_TEST(testClearedAnswersAreNotDelivered);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t epoch = 7;

    const WorkerLifetime m_lifetime { WorkerId("w0-0"), 1 };
    const std::uint64_t m_token = fencingTokenOf(epoch, m_lifetime);
    const RunId m_started { { JobId("job"), 0, 0, 0 }, 1 };
    const RunId m_stopped { { JobId("job"), 0, 0, 1 }, 1 };
    TimePoint m_now { Seconds(100) };
    WorkerPool m_workers;
    JobBook m_jobs;
    RunSupervisor m_runs { m_workers, m_jobs, {} };
    KeptAnswers m_answers { m_runs };
    std::vector<Effect> m_effects;

    Worker& worker() { return m_workers.require(m_lifetime); }
    const LiveRun& run(const RunId& id) { return worker().runs.at(id.task); }

    void addRun(const RunId& id)
    {
        LiveRun run;
        run.id = id;
        run.isOrderInFlight = true;
        m_workers.attach(worker(), run);
    }

    void keepHold(OrderOutcome outcome)
    {
        const std::uint64_t number = ++worker().lastHold;
        worker().openHolds.push_back({ .number = number });
        m_answers.keep(
            HoldAnswered { m_lifetime, m_token, outcome, { 1'000, m_lifetime.startedAtMs, {}, {} }, number });
    }

    void deliver()
    {
        const Event event { m_now, {}, 1, Tick {} };
        Step step(event, m_effects);
        m_answers.deliver(step);
    }

public:
    void setUp() override
    {
        m_runs.begin(epoch, m_now);
        worker();
    }

    void testAnswersHaveNoEffectUntilDelivered()
    {
        addRun(m_started);
        addRun(m_stopped);
        m_answers.keep(StartAnswered { m_lifetime, m_token, m_started, OrderOutcome::Unknown });
        m_answers.keep(StopAnswered { m_lifetime, m_token, m_stopped, OrderOutcome::Accepted });
        keepHold(OrderOutcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_answers.size());
        CPPUNIT_ASSERT(run(m_started).isOrderInFlight);
        CPPUNIT_ASSERT(run(m_stopped).isOrderInFlight);
        CPPUNIT_ASSERT_EQUAL(0, worker().unansweredHolds);
        m_now += Seconds(1);
        deliver();
        CPPUNIT_ASSERT(run(m_started).mayStartLate);
        CPPUNIT_ASSERT(run(m_stopped).stopAcceptedAt == m_now);
        CPPUNIT_ASSERT_EQUAL(1, worker().unansweredHolds);
    }

    void testAnswersAreDeliveredOldestFirst()
    {
        keepHold(OrderOutcome::Unknown);
        keepHold(OrderOutcome::Accepted);
        deliver();
        CPPUNIT_ASSERT_EQUAL(0, worker().unansweredHolds);
        keepHold(OrderOutcome::Accepted);
        keepHold(OrderOutcome::Unknown);
        deliver();
        CPPUNIT_ASSERT_EQUAL(1, worker().unansweredHolds);
    }

    void testAnswersAreDeliveredOnce()
    {
        keepHold(OrderOutcome::Unknown);
        deliver();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_answers.size());
        deliver();
        CPPUNIT_ASSERT_EQUAL(1, worker().unansweredHolds);
    }

    void testClearedAnswersAreNotDelivered()
    {
        keepHold(OrderOutcome::Unknown);
        m_answers.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_answers.size());
        deliver();
        CPPUNIT_ASSERT_EQUAL(0, worker().unansweredHolds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchKeptAnswersTest);

} // namespace anvilmoor::batch
