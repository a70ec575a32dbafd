#include "batch/leader/long_wait_log.h"
#include "batch/placement/packing_placement.h"
#include "support/batch_cluster.h"
#include "support/leader_state.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmoor::batch {

// Tests what the log says of jobs that have waited long for their first placement.
class BatchLongWaitLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchLongWaitLogTest);
    CPPUNIT_TEST(testJobThatLaterOnesPassIsRecordedWithTheirNumber);
    CPPUNIT_TEST(testGangWithHeldWorkersIsRecordedWithTimeOfHold);
    CPPUNIT_TEST(testJobsThatHaveWaitedLongestAreRecorded);
    CPPUNIT_TEST(testJobThatWasPlacedIsNotRecorded);
    CPPUNIT_TEST(testShortWaitIsNotRecorded);
    CPPUNIT_TEST(testNumberOfLinesIsBounded);
    CPPUNIT_TEST_SUITE_END();

    const PackingPlacement m_packing;
    const ObjectiveOrder m_order;
    testing::LeaderState m_state;
    PlacementRound m_round { m_packing, m_order, Milliseconds(200) };
    LongWaitLog m_log { m_state.jobs, m_round };

    std::vector<RecordEvent> recordsOf(int seconds)
    {
        std::vector<Effect> effects;
        for (int second = 0; second < seconds; ++second) {
            m_state.place(m_round);
            m_state.advance(Milliseconds(1'000));
            const Event event { m_state.now, m_state.wallTime, 1, Tick {} };
            Step step(event, effects);
            m_log.tick(step);
        }
        std::vector<RecordEvent> records;
        for (const Effect& effect : effects)
            records.push_back(std::get<RecordEvent>(effect));
        return records;
    }

    static std::string fieldOf(const RecordEvent& record, std::string_view field)
    {
        for (const auto& [name, value] : record.fields) {
            if (name == field)
                return value;
        }
        return {};
    }

    const AcceptedJob& accepted(const JobId& job) { return m_state.jobs.find(job)->progress.job(); }

    // A service whose only worker is in use for long.
    void fillService()
    {
        m_state.addWorkers(1, 1);
        m_state.addJob("filler", 0, testing::makeStep(1, 8, Seconds(600)));
        m_state.place(m_round);
    }

public:
    void testJobThatLaterOnesPassIsRecordedWithTheirNumber()
    {
        fillService();
        const JobId waiting = m_state.addJob("waiting", 1, testing::makeStep(1, 8));
        m_log.notePlaced(
            accepted(m_state.addJob("earlier", 1, testing::makeStep(1, 1), "account-a", Seconds(1))));
        m_state.advance(Milliseconds(100));
        m_log.notePlaced(accepted(m_state.addJob("urgent", 0, testing::makeStep(1, 1))));
        m_log.notePlaced(accepted(m_state.addJob("later", 1, testing::makeStep(1, 1))));
        m_log.notePlaced(accepted(m_state.addJob("less-urgent", 2, testing::makeStep(1, 1))));
        for (const RecordEvent& record : recordsOf(16)) {
            CPPUNIT_ASSERT_EQUAL(std::string("job.waiting_long"), record.name);
            if (fieldOf(record, "job") == waiting.value()) {
                CPPUNIT_ASSERT_EQUAL(std::string("2"), fieldOf(record, "placed_before"));
                CPPUNIT_ASSERT_EQUAL(std::string("1x8"), fieldOf(record, "shape"));
                return;
            }
        }
        CPPUNIT_FAIL("the job is not recorded");
    }

    void testGangWithHeldWorkersIsRecordedWithTimeOfHold()
    {
        m_state.addWorkers(1, 2);
        m_state.addJob("filler", 2, testing::makeStep(2, 6, Seconds(600)));
        m_state.place(m_round);
        m_state.addJob("gang", 1, testing::makeGang(2, 8, false, Seconds(60)));
        const std::vector<RecordEvent> records = recordsOf(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("10000"), fieldOf(records.front(), "waited_ms"));
        CPPUNIT_ASSERT_EQUAL(std::string("10000"), fieldOf(records.front(), "held_ms"));
    }

    void testJobsThatHaveWaitedLongestAreRecorded()
    {
        fillService();
        for (int job = 0; job < 10; ++job)
            m_state.addJob(
                fmt::format("job-{}", job).c_str(), 1, testing::makeStep(1, 1), "account-a", Seconds(job));
        const std::vector<RecordEvent> records = recordsOf(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("job-9"), fieldOf(records.front(), "job"));
    }

    void testJobThatWasPlacedIsNotRecorded()
    {
        fillService();
        m_state.jobs.find(m_state.addJob("job", 1, testing::makeStep(1, 1)))->firstPlacedAt
            = m_state.wallTime;
        CPPUNIT_ASSERT(recordsOf(20).empty());
    }

    void testShortWaitIsNotRecorded()
    {
        fillService();
        m_state.addJob("job", 1, testing::makeStep(1, 1));
        CPPUNIT_ASSERT(recordsOf(9).empty());
    }

    void testNumberOfLinesIsBounded()
    {
        constexpr int seconds = 20;
        fillService();
        for (int job = 0; job < 200; ++job)
            m_state.addJob(
                fmt::format("job-{:03}", job).c_str(), 1, testing::makeStep(1, 1), "account-a", Seconds(10));
        const std::size_t lines = recordsOf(seconds).size();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 12 }, lines);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchLongWaitLogTest);

} // namespace anvilmoor::batch
