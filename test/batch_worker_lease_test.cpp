#include "batch/workers/fencing_token.h"
#include "batch/workers/run_supervisor.h"
#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::batch {

// Tests that the leader declares the runs of a silent worker lost only once every lease of the worker has
// expired on the worker's own clock.
class BatchWorkerLeaseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWorkerLeaseTest);
    CPPUNIT_TEST(testLastLeaseOnSlowClockExpiresBeforeRunsAreDeclaredLost);
    CPPUNIT_TEST(testRunOfSilentDrainingWorkerIsNotRepeatedBeforeLeaseExpiry);
    CPPUNIT_TEST(testRunOfSilentWorkerIsNotRepeatedByNextLeaderBeforeLeaseExpiry);
    CPPUNIT_TEST(testRunOnLongIdleWorkerGetsNearlyFullLease);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t epoch = 7;
    // Long enough that a clock that is 2% slow falls behind by more than a lease's slack.
    static constexpr Milliseconds longTerm { 240'000 };

    const WorkerLifetime m_worker { WorkerId("w0-0"), 1 };
    TimePoint m_now { Seconds(100) };
    std::int64_t m_clockPercent = 98; // rate of the worker's clock
    WorkerPool m_workers;
    JobBook m_jobs;
    RunSupervisor m_runs { m_workers, m_jobs, {} };
    std::vector<Effect> m_effects;

    WorkerClock workerClock() const
    {
        return 1'000 + (m_now - TimePoint(Seconds(100))).count() * m_clockPercent / 100;
    }

    // The earliest time at which the worker's clock has reached the reading.
    TimePoint timeOf(WorkerClock reading) const
    {
        return TimePoint(Seconds(100)) + Milliseconds((reading - 1'000) * 100 / m_clockPercent);
    }

    template <typename Action> void perform(Action action)
    {
        const Event event { m_now, {}, 1, Tick {} };
        Step step(event, m_effects);
        action(step);
    }

    void lead()
    {
        m_runs.begin(epoch, m_now);
        WorkerRecord record { m_worker, "10.0.0.1:80", ServiceId("planner"), AvailabilityZoneId("north"),
            { 128'000, 256'000, 8 } };
        perform([&](Step& step) { m_runs.workersUpdated({ true, { record }, {}, m_now }, step); });
    }

    // Assigns the only task of a job to the worker, as a stored assignment of an earlier leader.
    RunId adoptRun()
    {
        AcceptedJob accepted;
        accepted.specification = { JobId("job"), "payload", { testing::makeStep(1, 1) }, {} };
        JobProgress& progress = m_jobs.add(std::move(accepted))->progress;
        progress.openDueOccurrences({});
        const PlacementUnit unit { JobId("job"), 0, 0, { 0 }, 1 };
        progress.assign(unit, std::vector<WorkerLifetime> { m_worker });
        const RunId run = progress.assignedRuns().front();
        m_runs.adopt(progress, run, m_worker, m_now);
        return run;
    }

    // Advances the time. The worker answers each hold request at once. Returns the last lease.
    WorkerClock answerHoldsFor(Milliseconds duration, const std::vector<ActiveRun>& active)
    {
        WorkerClock lastLease = 0;
        const TimePoint end = m_now + duration;
        for (; m_now < end; m_now += tickInterval) {
            m_effects.clear();
            perform([&](Step& step) { m_runs.tick(step); });
            for (const Effect& effect : m_effects) {
                const auto* hold = std::get_if<HoldWorker>(&effect);
                if (!hold)
                    continue;
                lastLease = hold->leaseUntil.value_or(lastLease);
                const HoldAnswered answer { m_worker, fencingTokenOf(epoch, m_worker), OrderOutcome::Accepted,
                    { workerClock(), m_worker.startedAtMs, active, {} }, hold->number };
                std::vector<Effect> ignored;
                const Event event { m_now, {}, 1, Tick {} };
                Step step(event, ignored);
                m_runs.holdAnswered(answer, step);
            }
        }
        return lastLease;
    }

    static JobId startJob(testing::BatchCluster& cluster)
    {
        cluster.addWorkers(1, 3);
        cluster.run(Milliseconds(500));
        const JobId job = cluster.submit(1, "small", { testing::makeStep(1, 1, 2 * longTerm) });
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.startsOf(job) == 1; }, Milliseconds(5'000)));
        return job;
    }

    static testing::FakeWorker& workerWithRun(testing::BatchCluster& cluster)
    {
        std::size_t index = 0;
        while (cluster.worker(index).runs().empty())
            ++index;
        return cluster.worker(index);
    }

    static void requireRepeatedWithoutViolation(testing::BatchCluster& cluster, const JobId& job)
    {
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.startsOf(job) == 2; }, Milliseconds(12'000)));
        if (!cluster.violations().empty())
            CPPUNIT_FAIL(cluster.violations().front());
    }

public:
    void testLastLeaseOnSlowClockExpiresBeforeRunsAreDeclaredLost()
    {
        lead();
        const RunId run = adoptRun();
        const WorkerClock lastLease = answerHoldsFor(longTerm, { { run, {}, 1 } });
        CPPUNIT_ASSERT(lastLease > workerClock());
        CPPUNIT_ASSERT(timeOf(lastLease) <= m_workers.find(m_worker)->latestLeaseExpiry);
    }

    // Guards against a run that is repeated while a cut-off worker still has the first one.
    void testRunOfSilentDrainingWorkerIsNotRepeatedBeforeLeaseExpiry()
    {
        testing::BatchCluster cluster;
        const JobId job = startJob(cluster);
        testing::FakeWorker& worker = workerWithRun(cluster);
        worker.drain(2 * longTerm);
        cluster.run(longTerm);
        worker.isReachable = false;
        requireRepeatedWithoutViolation(cluster, job);
    }

    void testRunOfSilentWorkerIsNotRepeatedByNextLeaderBeforeLeaseExpiry()
    {
        testing::BatchCluster cluster;
        const JobId job = startJob(cluster);
        cluster.run(longTerm);
        cluster.kill(cluster.leader().value());
        workerWithRun(cluster).isReachable = false;
        requireRepeatedWithoutViolation(cluster, job);
    }

    void testRunOnLongIdleWorkerGetsNearlyFullLease()
    {
        constexpr Milliseconds maxLag { 1'500 };
        m_clockPercent = 102;
        lead();
        answerHoldsFor(longTerm, {});
        const RunId run = adoptRun();
        const WorkerClock lastLease = answerHoldsFor(tickInterval, { { run, {}, 1 } });
        CPPUNIT_ASSERT(lastLease + maxLag.count() >= workerClock() + WorkerLeaseSettings().maxLease.count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWorkerLeaseTest);

} // namespace anvilmoor::batch
