#include "batch/jobs/job_codec.h"
#include "batch/reducer/batch_reducer.h"
#include "batch/store/tables.h"
#include "support/batch_cluster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace anvilmoor::batch {

// Tests what a leader does with input that it reads after its permission to act has ended. Another daemon may
// lead by then.
class BatchLeaderPermissionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchLeaderPermissionTest);
    CPPUNIT_TEST(testTimerAfterPermissionEndedSendsNoOrder);
    CPPUNIT_TEST(testUnexpectedRunListedAfterPermissionEndedIsNotStopped);
    CPPUNIT_TEST(testHoldAnsweredByOtherLifetimeAfterPermissionEndedGivesUpNoRun);
    CPPUNIT_TEST(testStartRejectedAfterPermissionEndedEndsNoRun);
    CPPUNIT_TEST(testStopAnsweredByOtherLifetimeAfterPermissionEndedGivesUpNoRun);
    CPPUNIT_TEST(testEntryWithdrawnAfterPermissionEndedGivesUpNoRun);
    CPPUNIT_TEST(testCancelRequestAfterPermissionEndedStopsNoRun);
    CPPUNIT_TEST(testProgressReadAfterPermissionEndedStopsNoRun);
    CPPUNIT_TEST(testInputReadWithoutPermissionIsHandledOnceItIsRenewed);
    CPPUNIT_TEST(testAnswersReadWithoutPermissionAreDiscardedIfAnotherDaemonLeads);
    CPPUNIT_TEST(testEntryListedAgainBeforePermissionIsRenewedGivesUpNoRun);
    CPPUNIT_TEST(testEntryWithdrawnWhileLoadingGivesUpNoAdoptedRun);
    CPPUNIT_TEST(testInputReadAfterReleaseWasSentDecidesNothing);
    CPPUNIT_TEST(testProgressReadAfterReleaseWasSentFinishesNoLoading);
    CPPUNIT_TEST_SUITE_END();

    const WorkerLifetime m_worker { WorkerId("w0-0"), 1 };
    const JobId m_job { "00000000000000a1" };
    const TaskId m_task { m_job, 0, 0, 0 };
    const RunId m_run { m_task, 1 };

    TimePoint m_now { Seconds(100) };
    RowVersion m_version = 0;
    BatchReducer m_reducer { settings() };
    std::vector<Effect> m_effects; // of the last event

    static BatchSettings settings()
    {
        BatchSettings settings;
        settings.daemonName = { "daemon-1", "process-1" };
        return settings;
    }

    void handle(EventPayload payload)
    {
        const WallTime wall { Milliseconds(1'700'000'000'000) + m_now.time_since_epoch() };
        m_effects = m_reducer.handle({ m_now, wall, 1, std::move(payload) });
    }

    template <typename Kind> const Kind* find() const
    {
        for (const Effect& effect : m_effects) {
            if (const auto* found = std::get_if<Kind>(&effect))
                return found;
        }
        return nullptr;
    }

    template <typename Kind> Kind require() const
    {
        const Kind* found = find<Kind>();
        CPPUNIT_ASSERT(found);
        return *found;
    }

    const RecordEvent* findRecord(std::string_view name) const
    {
        for (const Effect& effect : m_effects) {
            const auto* event = std::get_if<RecordEvent>(&effect);
            if (event && event->name == name)
                return event;
        }
        return nullptr;
    }

    bool isRecorded(std::string_view name) const { return findRecord(name); }

    std::string fieldOf(std::string_view name, std::string_view field) const
    {
        const RecordEvent* event = findRecord(name);
        CPPUNIT_ASSERT(event);
        for (const auto& [key, value] : event->fields) {
            if (key == field)
                return value;
        }
        return {};
    }

    void applyCommit()
    {
        const auto commit = require<Commit>();
        handle(CommitAnswered { commit.operation, { CommitOutcome::Applied, ++m_version } });
    }

    AcceptedJob job() const
    {
        AcceptedJob job;
        job.specification = { m_job, "payload", { testing::makeStep(1, 1, Milliseconds(60'000)) }, {} };
        job.terms.service = ServiceId("planner");
        return job;
    }

    std::vector<Row> progressWithAssignedRun() const
    {
        JobProgress progress(job());
        progress.openDueOccurrences({});
        progress.assign({ m_job, 0, 0, { 0 }, m_run.run }, std::vector<WorkerLifetime> { m_worker });
        return { { progressKey(m_job), progress.encodeProgress(), 1 } };
    }

    WorkerRecord workerRecord(bool isDraining = false) const
    {
        WorkerRecord record { m_worker, "10.0.0.1:80", ServiceId("planner"), AvailabilityZoneId("north"),
            { 128'000, 256'000, 8 } };
        record.isDraining = isDraining;
        return record;
    }

    // Claims the lease and reads everything but the progress. Returns the operation that reads the progress.
    OperationId claimAndReadTables()
    {
        handle(RowsUpdated { SchedulerTable::Lease, true, {}, m_now });
        handle(Tick {});
        applyCommit();
        const OperationId progressRead = require<ReadRows>().operation;
        handle(RowsUpdated { SchedulerTable::Jobs, true, { { jobKey(m_job), encodeJob(job()), 1 } }, m_now });
        handle(WorkersUpdated { true, { workerRecord() }, {}, m_now });
        return progressRead;
    }

    HoldAnswered answerTo(const HoldWorker& hold, std::vector<ActiveRun> active) const
    {
        return { hold.worker, hold.token, OrderOutcome::Accepted,
            { m_now.time_since_epoch().count(), m_worker.startedAtMs, std::move(active), {} }, hold.number };
    }

    // Leads and adopts the run, which the worker lists. Returns the next hold request, which is in flight.
    HoldWorker leadWithRun()
    {
        const OperationId progressRead = claimAndReadTables();
        handle(ReadAnswered { progressRead, { true, progressWithAssignedRun() } });
        handle(Tick {});
        handle(answerTo(require<HoldWorker>(), { { m_run, {}, 1 } }));
        m_now += tickInterval;
        handle(Tick {});
        return require<HoldWorker>();
    }

    // Leads and places the only task of the job. Returns the start order, which is in flight.
    StartRun leadWithStartedRun()
    {
        const OperationId progressRead = claimAndReadTables();
        handle(ReadAnswered { progressRead, { true, {} } });
        handle(Tick {});
        handle(answerTo(require<HoldWorker>(), {}));
        handle(PlacementTurn {});
        applyCommit();
        return require<StartRun>();
    }

    void requestCancel()
    {
        handle(RowsUpdated { SchedulerTable::Jobs, false, { { cancelKey(m_job), {}, 2 } }, m_now });
    }

    void endPermission() { m_now += leaseDuration + Milliseconds(1); }

    // The leader renews its lease with each event, if that is due.
    void renewPermission() { applyCommit(); }

    // No order to a worker, and nothing in the log about the end of a run, of a job or of a worker.
    void requireNothingDecided() const
    {
        CPPUNIT_ASSERT(!find<StartRun>());
        CPPUNIT_ASSERT(!find<StopRun>());
        CPPUNIT_ASSERT(!find<HoldWorker>());
        CPPUNIT_ASSERT(!find<RecordEvent>());
    }

public:
    void testTimerAfterPermissionEndedSendsNoOrder()
    {
        const HoldWorker hold = leadWithRun();
        handle(answerTo(hold, { { m_run, {}, 1 } }));
        endPermission();
        handle(Tick {});
        requireNothingDecided();
    }

    void testUnexpectedRunListedAfterPermissionEndedIsNotStopped()
    {
        const HoldWorker hold = leadWithRun();
        endPermission();
        handle(answerTo(hold, { { { m_task, m_run.run + 1 }, {}, 1 } }));
        requireNothingDecided();
        renewPermission();
        CPPUNIT_ASSERT(find<StopRun>());
    }

    void testHoldAnsweredByOtherLifetimeAfterPermissionEndedGivesUpNoRun()
    {
        const HoldWorker hold = leadWithRun();
        endPermission();
        handle(HoldAnswered { hold.worker, hold.token, OrderOutcome::OtherLifetime, {}, hold.number });
        requireNothingDecided();
        renewPermission();
        CPPUNIT_ASSERT(isRecorded("worker.lifetime_over"));
    }

    void testStartRejectedAfterPermissionEndedEndsNoRun()
    {
        const StartRun start = leadWithStartedRun();
        endPermission();
        handle(StartAnswered { start.worker, start.token, start.run, OrderOutcome::Rejected });
        requireNothingDecided();
        renewPermission();
        CPPUNIT_ASSERT(isRecorded("run.rejected"));
    }

    void testStopAnsweredByOtherLifetimeAfterPermissionEndedGivesUpNoRun()
    {
        leadWithRun();
        requestCancel();
        const auto stop = require<StopRun>();
        applyCommit();
        endPermission();
        handle(StopAnswered { stop.worker, stop.token, stop.run, OrderOutcome::OtherLifetime });
        requireNothingDecided();
        renewPermission();
        CPPUNIT_ASSERT(isRecorded("worker.lifetime_over"));
    }

    void testEntryWithdrawnAfterPermissionEndedGivesUpNoRun()
    {
        leadWithRun();
        handle(WorkersUpdated { false, {}, {}, m_now });
        handle(WorkersUpdated { false, { workerRecord(true) }, {}, m_now });
        endPermission();
        handle(WorkersUpdated { false, {}, { m_worker.id }, m_now });
        requireNothingDecided();
        renewPermission();
        CPPUNIT_ASSERT(isRecorded("worker.lifetime_over"));
    }

    void testCancelRequestAfterPermissionEndedStopsNoRun()
    {
        leadWithRun();
        endPermission();
        requestCancel();
        requireNothingDecided();
        renewPermission();
        CPPUNIT_ASSERT(find<StopRun>());
    }

    void testProgressReadAfterPermissionEndedStopsNoRun()
    {
        const OperationId progressRead = claimAndReadTables();
        requestCancel();
        endPermission();
        handle(ReadAnswered { progressRead, { true, progressWithAssignedRun() } });
        requireNothingDecided();
        renewPermission();
        CPPUNIT_ASSERT(find<StopRun>());
    }

    // Guards against a leader that loses what it read while a commit was unanswered.
    void testInputReadWithoutPermissionIsHandledOnceItIsRenewed()
    {
        const HoldWorker hold = leadWithRun();
        endPermission();
        HoldAnswered answer = answerTo(hold, {});
        answer.status.ended.push_back({ 1, m_run, RunEnd::Done, {} });
        handle(answer);
        requireNothingDecided();
        renewPermission();
        CPPUNIT_ASSERT(isRecorded("job.ended"));
        handle(Tick {});
        CPPUNIT_ASSERT(!find<StopRun>());
    }

    void testAnswersReadWithoutPermissionAreDiscardedIfAnotherDaemonLeads()
    {
        const HoldWorker hold = leadWithRun();
        endPermission();
        handle(answerTo(hold, { { { m_task, m_run.run + 1 }, {}, 1 } }));
        const auto renewal = require<Commit>();
        const LeaseRecord successor { "daemon-2/process-1", 2, 0, {}, 0 };
        handle(CommitAnswered { renewal.operation,
            { CommitOutcome::Conflict, 0, { { leaseKey(), encodeLease(successor), m_version + 1 } } } });
        CPPUNIT_ASSERT(!find<StopRun>());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), fieldOf("leader.lost", "epoch"));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), fieldOf("leader.lost", "stored_epoch"));
        CPPUNIT_ASSERT_EQUAL(std::string("1"), fieldOf("leader.lost", "discarded_answers"));
    }

    void testEntryListedAgainBeforePermissionIsRenewedGivesUpNoRun()
    {
        leadWithRun();
        handle(WorkersUpdated { false, {}, {}, m_now });
        handle(WorkersUpdated { false, { workerRecord(true) }, {}, m_now });
        endPermission();
        handle(WorkersUpdated { false, {}, { m_worker.id }, m_now });
        const auto renewal = require<Commit>();
        handle(WorkersUpdated { false, { workerRecord(true) }, {}, m_now });
        handle(CommitAnswered { renewal.operation, { CommitOutcome::Applied, ++m_version } });
        CPPUNIT_ASSERT(!isRecorded("worker.lifetime_over"));
    }

    // Guards against a second run beside a start that an earlier leader's order may still lead to.
    void testEntryWithdrawnWhileLoadingGivesUpNoAdoptedRun()
    {
        const OperationId progressRead = claimAndReadTables();
        handle(WorkersUpdated { false, {}, {}, m_now });
        handle(WorkersUpdated { false, { workerRecord(true) }, {}, m_now });
        handle(WorkersUpdated { false, {}, { m_worker.id }, m_now });
        handle(ReadAnswered { progressRead, { true, progressWithAssignedRun() } });
        CPPUNIT_ASSERT(isRecorded("leader.loaded"));
        m_now += tickInterval;
        handle(Tick {});
        CPPUNIT_ASSERT(!isRecorded("run.ended"));
    }

    void testInputReadAfterReleaseWasSentDecidesNothing()
    {
        const HoldWorker hold = leadWithRun();
        handle(ShutdownRequested {});
        handle(Tick {});
        CPPUNIT_ASSERT(find<Commit>());
        handle(HoldAnswered { hold.worker, hold.token, OrderOutcome::OtherLifetime, {}, hold.number });
        requireNothingDecided();
        requestCancel();
        requireNothingDecided();
        handle(PlacementTurn {});
        requireNothingDecided();
    }

    void testProgressReadAfterReleaseWasSentFinishesNoLoading()
    {
        constexpr Milliseconds longerThanLoadTimeout { 2'500 };
        const OperationId progressRead = claimAndReadTables();
        const TimePoint claimedAt = m_now;
        while (m_now < claimedAt + longerThanLoadTimeout && !isRecorded("leader.load_timeout")) {
            m_now += tickInterval;
            handle(Tick {});
            if (find<Commit>() && !isRecorded("leader.load_timeout"))
                applyCommit();
        }
        CPPUNIT_ASSERT(isRecorded("leader.load_timeout"));
        handle(ReadAnswered { progressRead, { true, progressWithAssignedRun() } });
        CPPUNIT_ASSERT(!isRecorded("leader.loaded"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchLeaderPermissionTest);

} // namespace anvilmoor::batch
