#include "anvilmoor/batch/bounds.h"
#include "batch/store/message_pack.h"
#include "batch/store/tables.h"
#include "support/batch_cluster.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// Tests that no job, whatever its size, makes the store refuse what the daemons write for other jobs.
class BatchStoreLimitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchStoreLimitsTest);
    CPPUNIT_TEST(testLargeScheduledJobStopsNoOtherJob);
    CPPUNIT_TEST(testStoreWithRowNearItsLimitComesBackByItself);
    CPPUNIT_TEST(testJobWhoseRowTheStoreRejectsFailsAlone);
    CPPUNIT_TEST(testStoreThatRejectsEverythingForAWhileFailsNoJob);
    CPPUNIT_TEST(testJobThatCannotBeStoredIsRefusedAtOnce);
    CPPUNIT_TEST(testJobsOfTheLargestAcceptedSizeStopNoOtherJob);
    CPPUNIT_TEST_SUITE_END();

    testing::BatchCluster m_cluster { 3 };
    std::vector<JobId> m_quotes;

    bool isCompleted(const JobId& job) { return m_cluster.stateOf(job) == JobState::Completed; }

    // Looks once a second, as a row of a large job takes long to decode.
    bool isCompletedWithin(const JobId& job, int seconds)
    {
        for (int second = 0; second < seconds && !isCompleted(job); ++second)
            m_cluster.run(Seconds(1));
        return isCompleted(job);
    }

    bool areQuotesCompleted()
    {
        return std::all_of(
            m_quotes.begin(), m_quotes.end(), [this](const JobId& job) { return isCompleted(job); });
    }

    // Submits a short urgent job each second.
    void submitQuotes(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            m_quotes.push_back(
                m_cluster.submit(0, "urgent", { testing::makeStep(3, 1, Milliseconds(2'500)) }));
            m_cluster.run(Seconds(1));
        }
    }

    // A job of 3 steps with 230 tasks each that run side by side, and that is due every 2 s.
    JobId submitLargeJob(int occurrences)
    {
        StepSpecification step = testing::makeStep(230, 1, Milliseconds(6'100));
        step.savesCheckpoints = true;
        const Schedule schedule { m_cluster.wallTime(), Milliseconds(2'000), occurrences };
        return m_cluster.submitScheduled(0, "small", { step, step, step }, schedule);
    }

    // Progress in the earlier format, which contains all tasks of all occurrences: those of the last one
    // wait, the others are done.
    static std::string earlierProgress(int occurrences, int tasks)
    {
        using Json = nlohmann::json;
        const Json done = Json::array({ true, 1, 0, 0, "" });
        const Json waiting = Json::array({ false, 0, 0, 0, "" });
        Json rows = Json::array();
        for (int occurrence = 0; occurrence < occurrences; ++occurrence) {
            const Json& task = occurrence + 1 < occurrences ? done : waiting;
            rows.push_back(Json::array({ Json::array_t(static_cast<std::size_t>(tasks), task) }));
        }
        return toMessagePack(Json::array({ 1, true, std::move(rows) }));
    }

    AnswerKind answerTo(const std::vector<StepSpecification>& steps)
    {
        const JobId job = m_cluster.submit(0, "small", steps);
        m_cluster.run(Milliseconds(200));
        CPPUNIT_ASSERT(m_cluster.answerTo(job).has_value());
        return m_cluster.answerTo(job)->kind;
    }

    bool areOthersCompletedInTime()
    {
        return m_cluster.runUntil([this] { return areQuotesCompleted(); }, Seconds(14));
    }

    void requireNoViolation() const
    {
        for (const std::string& violation : m_cluster.violations())
            CPPUNIT_FAIL(violation);
    }

public:
    void setUp() override
    {
        m_cluster.addWorkers(8, 8);
        CPPUNIT_ASSERT(
            m_cluster.runUntil([this] { return m_cluster.leader().has_value(); }, Milliseconds(5'000)));
    }

    // Guards against a job whose stored progress grows with each occurrence until the store refuses each
    // commit of each leader.
    void testLargeScheduledJobStopsNoOtherJob()
    {
        const JobId large = submitLargeJob(14);
        submitQuotes(45);
        CPPUNIT_ASSERT(areOthersCompletedInTime());
        CPPUNIT_ASSERT(isCompletedWithin(large, 200));
        requireNoViolation();
    }

    // Guards against a row that is almost as large as the store allows and grows as the job goes on. Such
    // rows were written before the format left out what is done.
    void testStoreWithRowNearItsLimitComesBackByItself()
    {
        constexpr int occurrences = 27;
        constexpr int tasks = 400;
        const JobId large = m_cluster.submitScheduled(0, "small", { testing::makeStep(tasks, 1) },
            { m_cluster.wallTime() + Seconds(2), Milliseconds(0), occurrences });
        m_cluster.run(Seconds(1));
        const std::string progress = earlierProgress(occurrences, tasks);
        const std::size_t limit = m_cluster.store().rowBytes;
        CPPUNIT_ASSERT(progress.size() > limit - 1'000 && progress.size() < limit);
        for (const std::size_t daemon : { 0U, 1U, 2U })
            m_cluster.kill(daemon);
        m_cluster.store().commit({ {}, { { progressKey(large), progress } }, {} });
        for (const std::size_t daemon : { 0U, 1U, 2U })
            m_cluster.restart(daemon);
        CPPUNIT_ASSERT(
            m_cluster.runUntil([this] { return m_cluster.leader().has_value(); }, Milliseconds(5'000)));
        submitQuotes(3);
        CPPUNIT_ASSERT(areOthersCompletedInTime());
        CPPUNIT_ASSERT(m_cluster.runUntil([&] { return isCompleted(large); }, Seconds(30)));
        CPPUNIT_ASSERT_EQUAL(tasks, m_cluster.startsOf(large));
        requireNoViolation();
    }

    // Guards against a commit that the store never applies and that the leader repeats. Here the store takes
    // smaller rows than its settings say.
    void testJobWhoseRowTheStoreRejectsFailsAlone()
    {
        m_cluster.store().rowBytes = 1'000;
        const JobId large = submitLargeJob(20);
        const JobId small = m_cluster.submit(0, "small", { testing::makeStep(1, 1, Milliseconds(20'000)) });
        submitQuotes(20);
        CPPUNIT_ASSERT(areOthersCompletedInTime());
        CPPUNIT_ASSERT(m_cluster.runUntil([&] { return isCompleted(small); }, Seconds(20)));
        CPPUNIT_ASSERT(m_cluster.stateOf(large) == JobState::Failed);
        // Its runs are stopped, and their ends do not hold up those of other jobs.
        const int starts = m_cluster.startsOf(large);
        m_cluster.run(Seconds(10));
        CPPUNIT_ASSERT_EQUAL(starts, m_cluster.startsOf(large));
        requireNoViolation();
    }

    void testJobThatCannotBeStoredIsRefusedAtOnce()
    {
        const StepSpecification small = testing::makeStep(1, 1);
        CPPUNIT_ASSERT(answerTo({ testing::makeGang(4'000, 1) }) == AnswerKind::TooLarge);
        CPPUNIT_ASSERT(answerTo(std::vector<StepSpecification>(4'000, small)) == AnswerKind::TooLarge);
        const StepSpecification wide = testing::makeStep(maxTasksPerStep, 1);
        CPPUNIT_ASSERT(answerTo({ wide, wide, small }) == AnswerKind::TooLarge);
        CPPUNIT_ASSERT(answerTo({ wide, wide }) == AnswerKind::Accepted);
        CPPUNIT_ASSERT(answerTo({ testing::makeGang(512, 1) }) == AnswerKind::Accepted);
        CPPUNIT_ASSERT(answerTo({ small }) == AnswerKind::Accepted);
    }

    // Two of them, due all the time, whose tasks fill the workers with more than two thousand runs.
    void testJobsOfTheLargestAcceptedSizeStopNoOtherJob()
    {
        StepSpecification wide = testing::makeStep(maxTasksPerStep, 0, Milliseconds(4'000));
        wide.perTask = { 3'500, 1, 0 };
        wide.savesCheckpoints = true;
        const Schedule schedule { m_cluster.wallTime(), Milliseconds(0), maxOccurrences };
        std::vector<JobId> large;
        for (int job = 0; job < 2; ++job)
            large.push_back(m_cluster.submitScheduled(0, "small", { wide, wide }, schedule));
        submitQuotes(4);
        CPPUNIT_ASSERT(areOthersCompletedInTime());
        for (const JobId& job : large)
            CPPUNIT_ASSERT(m_cluster.startsOf(job) > 500);
        requireNoViolation();
    }

    void testStoreThatRejectsEverythingForAWhileFailsNoJob()
    {
        const JobId large = submitLargeJob(1);
        submitQuotes(3);
        const std::size_t limit = std::exchange(m_cluster.store().rowBytes, 0);
        m_cluster.run(Seconds(5));
        m_cluster.store().rowBytes = limit;
        submitQuotes(3);
        CPPUNIT_ASSERT(areOthersCompletedInTime());
        CPPUNIT_ASSERT(m_cluster.runUntil([&] { return isCompleted(large); }, Seconds(60)));
        requireNoViolation();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchStoreLimitsTest);

} // namespace anvilmoor::batch
