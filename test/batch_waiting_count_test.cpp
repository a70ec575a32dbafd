#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <optional>
#include <set>

namespace anvilmoor::batch {

// Tests that daemons state a number of waiting jobs only if they know it.
class BatchWaitingCountTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchWaitingCountTest);
    CPPUNIT_TEST(testLeaderThatLoadsStatesNoCountOfItsOwn);
    CPPUNIT_TEST(testCountThatLeadersOnlyPassOnIsNotStatedForLong);
    CPPUNIT_TEST(testLeaderThatDoesNotSeeNewJobsStatesNoCount);
    CPPUNIT_TEST(testCountIsAnsweredOnceNextLeaderKnowsIt);
    CPPUNIT_TEST(testJobsWhoseStartWasRefusedAreCounted);
    CPPUNIT_TEST(testJobWithStartedTaskIsNotCountedUnderNextLeader);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t jobs = 20;

    testing::BatchCluster m_cluster { 3 };

    void submitJobs(std::uint64_t count, std::size_t daemon)
    {
        for (std::uint64_t job = 0; job < count; ++job)
            m_cluster.submit(daemon, "small", { testing::makeStep(1, 1) });
    }

    // Runs for the duration, and asks the running daemons in turn. Each count that is stated must be at least
    // half of the jobs that wait.
    void requireNoWrongCount(Milliseconds duration)
    {
        const TimePoint end = m_cluster.now() + duration;
        for (std::size_t turn = 0; m_cluster.now() < end; ++turn) {
            const std::size_t daemon = turn % 3;
            if (m_cluster.isRunning(daemon))
                m_cluster.count(daemon, "small");
            m_cluster.run(Milliseconds(20));
            const auto answer = m_cluster.lastAnswer();
            if (answer && answer->kind == AnswerKind::Count)
                CPPUNIT_ASSERT(answer->count >= jobs / 2);
        }
    }

    std::optional<std::uint64_t> countAt(std::size_t daemon)
    {
        m_cluster.count(daemon, "small");
        m_cluster.run(Milliseconds(20));
        const auto answer = m_cluster.lastAnswer();
        return answer && answer->kind == AnswerKind::Count ? std::optional(answer->count) : std::nullopt;
    }

    std::size_t killLeader()
    {
        const std::size_t leader = *m_cluster.leader();
        m_cluster.kill(leader);
        return leader;
    }

public:
    void setUp() override
    {
        m_cluster.run(Milliseconds(1'000));
        CPPUNIT_ASSERT(m_cluster.leader().has_value());
    }

    // Guards against a leader that states that no job waits until it has read the jobs.
    void testLeaderThatLoadsStatesNoCountOfItsOwn()
    {
        submitJobs(jobs, 0);
        m_cluster.run(Milliseconds(6'000));
        m_cluster.areJobsSilent = true;
        const std::size_t killed = killLeader();
        requireNoWrongCount(Milliseconds(4'000));
        m_cluster.areJobsSilent = false;
        CPPUNIT_ASSERT(
            m_cluster.runUntil([&] { return countAt((killed + 1) % 3) == jobs; }, Milliseconds(20'000)));
    }

    // Guards against a count that is kept over several leaders that end before they have loaded.
    void testCountThatLeadersOnlyPassOnIsNotStatedForLong()
    {
        submitJobs(1, 0);
        m_cluster.run(Milliseconds(2'000));
        m_cluster.areJobsSilent = true;
        const std::size_t killed = killLeader();
        submitJobs(jobs, (killed + 1) % 3);
        m_cluster.run(Milliseconds(5'000));
        requireNoWrongCount(Milliseconds(10'000));
    }

    // The leader commits, but has had no news of the jobs for some time.
    void testLeaderThatDoesNotSeeNewJobsStatesNoCount()
    {
        submitJobs(1, 0);
        m_cluster.run(Milliseconds(2'000));
        m_cluster.areJobsSilent = true;
        submitJobs(jobs, 0);
        m_cluster.run(Milliseconds(5'000));
        requireNoWrongCount(Milliseconds(3'000));
        m_cluster.areJobsSilent = false;
        m_cluster.run(Milliseconds(2'000));
        CPPUNIT_ASSERT(countAt(0) == jobs + 1);
    }

    void testCountIsAnsweredOnceNextLeaderKnowsIt()
    {
        submitJobs(jobs, 0);
        m_cluster.run(Milliseconds(3'000));
        const std::size_t killed = killLeader();
        for (std::size_t daemon = 0; daemon < 3; ++daemon) {
            if (daemon == killed)
                continue;
            m_cluster.run(Milliseconds(500));
            m_cluster.count(daemon, "small");
            CPPUNIT_ASSERT(m_cluster.runUntil(
                [this] { return m_cluster.lastAnswer().has_value(); }, Milliseconds(3'000)));
            CPPUNIT_ASSERT(m_cluster.lastAnswer()->kind == AnswerKind::Count);
            CPPUNIT_ASSERT_EQUAL(jobs, m_cluster.lastAnswer()->count);
        }
    }

    // Guards against taking a job for begun because a task of it was assigned to a worker that refused it.
    void testJobsWhoseStartWasRefusedAreCounted()
    {
        m_cluster.addWorkers(1, 2);
        for (std::size_t worker = 0; worker < 2; ++worker)
            m_cluster.worker(worker).behavior.refusalShare = 1;
        submitJobs(jobs, 0);
        m_cluster.run(Milliseconds(6'000));
        requireNoWrongCount(Milliseconds(3'000));
        CPPUNIT_ASSERT(countAt(1) == jobs);
    }

    // The first leader ends before it has stored that the task was started.
    void testJobWithStartedTaskIsNotCountedUnderNextLeader()
    {
        m_cluster.addWorkers(1, 2);
        const JobId job = m_cluster.submit(0, "small", { testing::makeStep(1, 1, Milliseconds(60'000)) });
        CPPUNIT_ASSERT(m_cluster.runUntil([&] { return m_cluster.startsOf(job) == 1; }, Milliseconds(2'000)));
        m_cluster.run(Milliseconds(20));
        const std::size_t killed = killLeader();
        m_cluster.run(Milliseconds(5'000));
        CPPUNIT_ASSERT(countAt((killed + 1) % 3) == 0U);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchWaitingCountTest);

} // namespace anvilmoor::batch
