#include "batch/workers/fencing_token.h"
#include "batch/workers/run_supervisor.h"
#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <string_view>

namespace anvilmoor::batch {

// Tests what the log says of a run that a worker lists although the leader does not expect it there.
class BatchUnexpectedRunTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchUnexpectedRunTest);
    CPPUNIT_TEST(testRunThatThisLeaderGaveUpIsNamedLateOrder);
    CPPUNIT_TEST(testRunStoredBeforeTakeoverIsNamedOrderOfEarlierLeader);
    CPPUNIT_TEST(testRunWithHigherNumberThanStoredHasNoKnownAssignment);
    CPPUNIT_TEST(testRunOfUnknownJobHasNoKnownAssignment);
    CPPUNIT_TEST(testRecordNamesRunThatTaskHasElsewhere);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t epoch = 7;

    const WorkerLifetime m_worker { WorkerId("w0-0"), 1 };
    const WorkerLifetime m_otherWorker { WorkerId("w0-1"), 1 };
    const TaskId m_task { JobId("job"), 0, 0, 0 };
    TimePoint m_now { Seconds(100) };
    WorkerPool m_workers;
    JobBook m_jobs;
    RunSupervisor m_runs { m_workers, m_jobs, {} };
    std::vector<Effect> m_effects;

    static AcceptedJob job()
    {
        AcceptedJob job;
        job.specification = { JobId("job"), "payload", { testing::makeStep(1, 1) }, {} };
        return job;
    }

    static void assign(JobProgress& progress, int run, const WorkerLifetime& worker)
    {
        progress.assign({ JobId("job"), 0, 0, { 0 }, run }, std::vector<WorkerLifetime> { worker });
    }

    // Adds the job with a stored progress in which run 1 has ended.
    JobProgress& restoreJobAfterFirstRun()
    {
        JobProgress stored(job());
        stored.openDueOccurrences({});
        assign(stored, 1, m_worker);
        stored.runEnded({ m_task, 1 }, RunEnd::Stopped, {});
        JobProgress& progress = m_jobs.add(job())->progress;
        CPPUNIT_ASSERT(!progress.restoreProgress(stored.encodeProgress()));
        return progress;
    }

    // The worker lists the run. Returns the field of the record of it.
    std::string listRun(int run, std::string_view field)
    {
        m_runs.begin(epoch, m_now);
        const Event event { m_now, {}, 1, Tick {} };
        Step step(event, m_effects);
        WorkerRecord record { m_worker, "10.0.0.1:80", ServiceId("planner"), AvailabilityZoneId("north"),
            { 128'000, 256'000, 8 } };
        m_runs.workersUpdated({ true, { record }, {}, m_now }, step);
        Worker& worker = *m_workers.find(m_worker);
        worker.openHolds.push_back({ .number = ++worker.lastHold });
        m_runs.holdAnswered(
            { m_worker, fencingTokenOf(epoch, m_worker), OrderOutcome::Accepted,
                { 1'000, m_worker.startedAtMs, { { { m_task, run }, {}, 1 } }, {} }, worker.lastHold },
            step);
        for (const Effect& effect : m_effects) {
            const auto* record = std::get_if<RecordEvent>(&effect);
            if (!record || record->name != "run.unexpected")
                continue;
            for (const auto& [name, value] : record->fields) {
                if (name == field)
                    return value;
            }
        }
        CPPUNIT_FAIL("no run.unexpected with this field");
        return {};
    }

public:
    void testRunThatThisLeaderGaveUpIsNamedLateOrder()
    {
        JobProgress& progress = restoreJobAfterFirstRun();
        assign(progress, 2, m_worker);
        progress.runEnded({ m_task, 2 }, RunEnd::Stopped, {});
        CPPUNIT_ASSERT_EQUAL(std::string("late order of this leader"), listRun(2, "source"));
    }

    void testRunStoredBeforeTakeoverIsNamedOrderOfEarlierLeader()
    {
        restoreJobAfterFirstRun();
        CPPUNIT_ASSERT_EQUAL(std::string("order of an earlier leader"), listRun(1, "source"));
    }

    void testRunWithHigherNumberThanStoredHasNoKnownAssignment()
    {
        restoreJobAfterFirstRun();
        CPPUNIT_ASSERT_EQUAL(std::string("no known assignment"), listRun(2, "source"));
    }

    void testRunOfUnknownJobHasNoKnownAssignment()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("no known assignment"), listRun(1, "source"));
    }

    void testRecordNamesRunThatTaskHasElsewhere()
    {
        assign(restoreJobAfterFirstRun(), 2, m_otherWorker);
        CPPUNIT_ASSERT_EQUAL(std::string("2"), listRun(1, "assigned_run"));
        m_effects.clear();
        CPPUNIT_ASSERT_EQUAL(m_otherWorker.id.value(), listRun(1, "assigned_worker"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchUnexpectedRunTest);

} // namespace anvilmoor::batch
