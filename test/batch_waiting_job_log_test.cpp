#include "batch/leader/waiting_job_log.h"
#include "batch/placement/packing_placement.h"
#include "support/batch_cluster.h"
#include "support/leader_state.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// Tests what the log says of jobs that have nothing running for long.
class BatchWaitingJobLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWaitingJobLogTest);
    CPPUNIT_TEST(testGangThatFitsOnlyOnOtherRacksIsRecordedAsWaitingForItsRack);
    CPPUNIT_TEST(testJobWhoseWorkersAreSuspendedIsRecordedAsWaitingForThem);
    CPPUNIT_TEST(testJobKeptFromWorkersOfWaitingGangIsRecordedAsSuch);
    CPPUNIT_TEST(testJobWhoseAssignmentIsNotStoredIsRecordedWithItsWorker);
    CPPUNIT_TEST(testJobWhoseWorkerDoesNotAnswerIsRecordedWithIt);
    CPPUNIT_TEST(testJobThatWaitsForFullServiceIsNotRecorded);
    CPPUNIT_TEST(testJobThatRunsIsNotRecorded);
    CPPUNIT_TEST(testNumberOfLinesIsBounded);
    CPPUNIT_TEST_SUITE_END();

    const PackingPlacement m_packing;
    const ObjectiveOrder m_order;
    testing::LeaderState m_state;
    PlacementRound m_round { m_packing, m_order, Milliseconds(200) };
    WaitingJobLog m_log { m_state.jobs, m_state.pool, m_round };

    // One placement round and what is recorded in the second after it.
    std::vector<RecordEvent> recordsOfOneSecond()
    {
        m_state.place(m_round);
        m_state.advance(Milliseconds(1'000));
        std::vector<Effect> effects;
        const Event event { m_state.now, m_state.wallTime, 1, Tick {} };
        Step step(event, effects);
        m_log.tick(step);
        std::vector<RecordEvent> records;
        for (const Effect& effect : effects)
            records.push_back(std::get<RecordEvent>(effect));
        return records;
    }

    std::vector<RecordEvent> recordsOf(int seconds)
    {
        std::vector<RecordEvent> records;
        for (int second = 0; second < seconds; ++second) {
            for (RecordEvent& record : recordsOfOneSecond())
                records.push_back(std::move(record));
        }
        return records;
    }

    static std::string fieldOf(const RecordEvent& record, const std::string& field)
    {
        for (const auto& [name, value] : record.fields) {
            if (name == field)
                return value;
        }
        return {};
    }

    void requireRecorded(const JobId& job, const std::string& cause)
    {
        for (const RecordEvent& record : recordsOf(5)) {
            CPPUNIT_ASSERT_EQUAL(std::string("job.waiting"), record.name);
            if (fieldOf(record, "job") != job.value())
                continue;
            CPPUNIT_ASSERT_EQUAL(cause, fieldOf(record, "for"));
            return;
        }
        CPPUNIT_FAIL("the job is not recorded");
    }

public:
    void testGangThatFitsOnlyOnOtherRacksIsRecordedAsWaitingForItsRack()
    {
        m_state.addWorkers(2, 3);
        for (const char* rack : { "r0", "r1" }) {
            StepSpecification step = testing::makeStep(2, 8, Seconds(60));
            step.dataRack = rack;
            m_state.addJob(rack, 1, step);
        }
        m_state.place(m_round);
        requireRecorded(m_state.addJob("gang", 1, testing::makeGang(2, 8, true, Seconds(60))), "its rack");
    }

    void testJobWhoseWorkersAreSuspendedIsRecordedAsWaitingForThem()
    {
        m_state.addWorkers(1, 1);
        for (int failure = 0; failure < 20; ++failure)
            m_state.worker(0, 0).health.runFailed(m_state.now + Seconds(10));
        requireRecorded(m_state.addJob("job", 1, testing::makeStep(1, 1)), "workers that get no new runs");
    }

    void testJobKeptFromWorkersOfWaitingGangIsRecordedAsSuch()
    {
        m_state.addWorkers(1, 2);
        m_state.addJob("a-filler", 2, testing::makeStep(2, 6, Seconds(60)));
        m_state.place(m_round);
        m_state.addJob("gang", 1, testing::makeGang(2, 8));
        requireRecorded(m_state.addJob("small", 2, testing::makeStep(1, 1)), "room held for another job");
    }

    void testJobWhoseAssignmentIsNotStoredIsRecordedWithItsWorker()
    {
        m_state.addWorkers(1, 1);
        const JobId job = m_state.addJob("job", 1, testing::makeStep(1, 1));
        m_state.place(m_round);
        m_state.worker(0, 0).runs.begin()->second.phase = RunPhase::AwaitingCommit;
        const std::vector<RecordEvent> records = recordsOf(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("commit of the assignment"), fieldOf(records.front(), "for"));
        CPPUNIT_ASSERT_EQUAL(std::string("w0-0"), fieldOf(records.front(), "worker"));
    }

    void testJobWhoseWorkerDoesNotAnswerIsRecordedWithIt()
    {
        m_state.addWorkers(1, 1);
        const JobId job = m_state.addJob("job", 1, testing::makeStep(1, 1));
        m_state.place(m_round);
        m_state.worker(0, 0).isConfirmed = false;
        const std::vector<RecordEvent> records = recordsOf(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, records.size());
        CPPUNIT_ASSERT_EQUAL(job.value(), fieldOf(records.front(), "job"));
        CPPUNIT_ASSERT_EQUAL(std::string("an answer of the worker"), fieldOf(records.front(), "for"));
        CPPUNIT_ASSERT_EQUAL(std::string("w0-0"), fieldOf(records.front(), "worker"));
    }

    void testJobThatWaitsForFullServiceIsNotRecorded()
    {
        m_state.addWorkers(1, 1);
        m_state.addJob("filler", 1, testing::makeStep(1, 8));
        m_state.place(m_round);
        m_state.addJob("job", 1, testing::makeStep(1, 1));
        CPPUNIT_ASSERT(recordsOf(10).empty());
    }

    void testJobThatRunsIsNotRecorded()
    {
        m_state.addWorkers(1, 1);
        m_state.addJob("job", 1, testing::makeStep(9, 1));
        CPPUNIT_ASSERT(recordsOf(10).empty());
    }

    void testNumberOfLinesIsBounded()
    {
        constexpr int jobs = 200;
        constexpr int seconds = 20;
        m_state.addWorkers(1, 1);
        m_state.worker(0, 0).isConfirmed = false;
        for (int job = 0; job < jobs; ++job)
            m_state.addJob(fmt::format("job-{:03}", job).c_str(), 1, testing::makeStep(1, 1));
        const std::size_t lines = recordsOf(seconds).size();
        CPPUNIT_ASSERT(lines >= 5);
        CPPUNIT_ASSERT(lines <= static_cast<std::size_t>(seconds));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWaitingJobLogTest);

} // namespace anvilmoor::batch
