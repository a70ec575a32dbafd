#include "batch/workers/fencing_token.h"
#include "batch/workers/run_supervisor.h"
#include "support/batch_cluster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace anvilmoor::batch {

// Tests which hold requests the leader sends to one worker.
class BatchWorkerHoldTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWorkerHoldTest);
    CPPUNIT_TEST(testWorkerThatMissedAHoldIsAskedAgainAfterItsOnlyRunWasWithdrawn);
    CPPUNIT_TEST(testWorkerThatIsListedAgainHasOneHoldInFlight);
    CPPUNIT_TEST(testBusyWorkersOfLargeFleetAreAskedLessOften);
    CPPUNIT_TEST(testDrainingWorkerThatAnswersLateIsAskedBesideTheOpenRequest);
    CPPUNIT_TEST(testAnswerThatWasOutrunEndsNoRunThatStartedSince);
    CPPUNIT_TEST(testStopOrderThatADrainingWorkerDoesNotConfirmSoonIsRepeatedOnce);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t epoch = 7;

    const WorkerLifetime m_worker { WorkerId("w0-0"), 1 };
    TimePoint m_now { Seconds(100) };
    WorkerPool m_workers;
    JobBook m_jobs;
    RunSupervisor m_runs { m_workers, m_jobs, {} };
    std::vector<Effect> m_effects;

    template <typename Action> void perform(Action action)
    {
        m_effects.clear();
        const Event event { m_now, {}, 1, Tick {} };
        Step step(event, m_effects);
        action(step);
    }

    bool isHoldSentOnTick()
    {
        perform([&](Step& step) { m_runs.tick(step); });
        return std::any_of(m_effects.begin(), m_effects.end(),
            [](const Effect& effect) { return std::holds_alternative<HoldWorker>(effect); });
    }

    void answerHold(OrderOutcome outcome)
    {
        const WorkerClock clock = m_now.time_since_epoch().count();
        const HoldAnswered answer { m_worker, fencingTokenOf(epoch, m_worker), outcome,
            { clock, m_worker.startedAtMs }, m_workers.find(m_worker)->lastHold };
        perform([&](Step& step) { m_runs.holdAnswered(answer, step); });
    }

    void listWorker(bool isDraining = false)
    {
        WorkerRecord record { m_worker, "10.0.0.1:80", ServiceId("planner"), AvailabilityZoneId("north"),
            { 128'000, 256'000, 8 } };
        record.isDraining = isDraining;
        record.remaining = Seconds(60);
        record.writtenAt = m_now.time_since_epoch().count();
        perform([&](Step& step) { m_runs.workersUpdated({ true, { record }, {}, m_now }, step); });
    }

    void confirmWorker()
    {
        m_runs.begin(epoch, m_now);
        listWorker();
        CPPUNIT_ASSERT(isHoldSentOnTick());
        answerHold(OrderOutcome::Accepted);
    }

    // How long the worker, which has a run, may delay the answer to the next request.
    Milliseconds nextWait()
    {
        m_now += Milliseconds(20);
        CPPUNIT_ASSERT(isHoldSentOnTick());
        const Milliseconds wait = std::get<HoldWorker>(m_effects.front()).wait;
        answerHold(OrderOutcome::Accepted);
        return wait;
    }

    // Assigns the only task of a new job to the worker. The assignment is not stored.
    RunId attachRun()
    {
        AcceptedJob accepted;
        accepted.specification = { JobId("job"), "payload", { testing::makeStep(1, 1) }, {} };
        JobProgress& progress = m_jobs.add(std::move(accepted))->progress;
        progress.openDueOccurrences({});
        const PlacementUnit unit { JobId("job"), 0, 0, { 0 }, 1 };
        const std::vector<WorkerLifetime> workers { m_worker };
        progress.assign(unit, workers);
        m_runs.attach(progress, unit, workers, 1, m_now);
        return progress.assignedRuns().front();
    }

    void drainWithRun()
    {
        confirmWorker();
        attachRun();
        listWorker(true);
    }

    // Returns the effects of this type of the next tick after this time.
    template <typename Order> std::vector<Order> ordersAfter(Milliseconds time)
    {
        m_now += time;
        perform([&](Step& step) { m_runs.tick(step); });
        std::vector<Order> orders;
        for (const Effect& effect : m_effects) {
            if (const auto* order = std::get_if<Order>(&effect))
                orders.push_back(*order);
        }
        return orders;
    }

public:
    // Guards against a worker that gets no runs for the rest of the leadership.
    void testWorkerThatMissedAHoldIsAskedAgainAfterItsOnlyRunWasWithdrawn()
    {
        confirmWorker();
        m_now += Milliseconds(20);
        const RunId run = attachRun();
        CPPUNIT_ASSERT(isHoldSentOnTick());
        m_now += Milliseconds(600);
        answerHold(OrderOutcome::Unknown);
        perform([&](Step& step) { m_runs.stop(run, step); });
        CPPUNIT_ASSERT(m_workers.find(m_worker)->runs.empty());
        m_now += Milliseconds(600);
        CPPUNIT_ASSERT(isHoldSentOnTick());
        answerHold(OrderOutcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(0, m_workers.find(m_worker)->unansweredHolds);
    }

    // Guards against taking the answer to a hold request for the answer to a later one.
    void testWorkerThatIsListedAgainHasOneHoldInFlight()
    {
        m_runs.begin(epoch, m_now);
        listWorker();
        CPPUNIT_ASSERT(isHoldSentOnTick());
        perform([&](Step& step) { m_runs.workersUpdated({ false, {}, { m_worker.id }, m_now }, step); });
        CPPUNIT_ASSERT(!isHoldSentOnTick());
        listWorker();
        CPPUNIT_ASSERT(!isHoldSentOnTick());
        answerHold(OrderOutcome::Accepted);
        CPPUNIT_ASSERT(m_workers.find(m_worker)->isConfirmed);
    }

    // Guards against a leader that spends most of its time on hold requests.
    void testBusyWorkersOfLargeFleetAreAskedLessOften()
    {
        confirmWorker();
        attachRun();
        const Milliseconds inSmallFleet = nextWait();
        // Without an address, the other workers get no requests.
        for (int i = 0; i < 1'000; ++i)
            m_workers.require({ WorkerId("other-" + std::to_string(i)), 1 });
        const Milliseconds inLargeFleet = nextWait();
        CPPUNIT_ASSERT(inLargeFleet > inSmallFleet);
        // Several requests may be lost before the lease expires.
        CPPUNIT_ASSERT(5 * inLargeFleet < WorkerLeaseSettings().maxLease);
    }

    // Guards against ends that are lost with a worker that leaves before a lost packet is sent again.
    void testDrainingWorkerThatAnswersLateIsAskedBesideTheOpenRequest()
    {
        drainWithRun();
        const auto first = ordersAfter<HoldWorker>(Milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.size());
        CPPUNIT_ASSERT(ordersAfter<HoldWorker>(first.front().wait + Milliseconds(50)).empty());
        const auto second = ordersAfter<HoldWorker>(Milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.size());
        CPPUNIT_ASSERT(second.front().number != first.front().number);
    }

    // Guards against runs that are given up because an old status doesn't list them yet.
    void testAnswerThatWasOutrunEndsNoRunThatStartedSince()
    {
        drainWithRun();
        const HoldWorker first = ordersAfter<HoldWorker>(Milliseconds(20)).front();
        LiveRun& run = m_workers.find(m_worker)->runs.begin()->second;
        run.phase = RunPhase::Running;
        run.acceptedAt = m_now + Milliseconds(1);
        const HoldWorker second = ordersAfter<HoldWorker>(first.wait + Milliseconds(80)).front();
        const WorkerClock clock = m_now.time_since_epoch().count();
        const std::uint64_t token = fencingTokenOf(epoch, m_worker);
        const HoldAnswered listsRun { m_worker, token, OrderOutcome::Accepted,
            { clock, m_worker.startedAtMs, { { run.id, {}, 1 } } }, second.number };
        const HoldAnswered old { m_worker, token, OrderOutcome::Accepted, { clock, m_worker.startedAtMs },
            first.number };
        perform([&](Step& step) { m_runs.holdAnswered(listsRun, step); });
        perform([&](Step& step) { m_runs.holdAnswered(old, step); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_workers.find(m_worker)->runs.size());
    }

    // Guards against runs that go on until their worker leaves because one stop order is late.
    void testStopOrderThatADrainingWorkerDoesNotConfirmSoonIsRepeatedOnce()
    {
        drainWithRun();
        m_workers.find(m_worker)->runs.begin()->second.phase = RunPhase::Running;
        const RunId run = m_workers.find(m_worker)->runs.begin()->second.id;
        perform([&](Step& step) { m_runs.stop(run, step); });
        CPPUNIT_ASSERT(ordersAfter<StopRun>(Milliseconds(50)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ordersAfter<StopRun>(Milliseconds(20)).size());
        CPPUNIT_ASSERT(ordersAfter<StopRun>(Milliseconds(200)).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWorkerHoldTest);

} // namespace anvilmoor::batch
