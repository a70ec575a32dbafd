#include "support/batch_cluster.h"
#include "support/idle_job_watch.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmoor::testing {

namespace {

constexpr int racks = 6;
constexpr int workersPerRack = 8;
constexpr int workers = racks * workersPerRack;
constexpr int acceleratorsPerWorker = 8;
constexpr Milliseconds slice { 50 };
constexpr Milliseconds submissionInterval { 1'000 };
constexpr Milliseconds smallRun { 6'100 };
// The jobs that use one accelerator of each worker are estimated at a third of this.
constexpr Milliseconds blockingRun { 33'000 };

} // namespace

// A service that is mostly free, with a run on each worker that keeps wide gangs waiting. Tests that room
// that is held for these gangs keeps no other job waiting, and that the gangs wait no longer for that.
class BatchHeldRoomTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchHeldRoomTest);
    CPPUNIT_TEST(testNoJobWaitsForGang);
    CPPUNIT_TEST(testNoJobWaitsForGangThatComesLater);
    CPPUNIT_TEST(testNoJobWaitsForSeveralGangs);
    CPPUNIT_TEST(testNoJobWaitsWhenLeaderChangesBetweenGangs);
    CPPUNIT_TEST(testNoJobWaitsWhileGangWaitsForGood);
    CPPUNIT_TEST(testNoJobWaitsForRunsThatTakeLongToStop);
    CPPUNIT_TEST(testGangStartsOnceRunsBeforeItHaveEnded);
    CPPUNIT_TEST(testGangsStartOnceRunsBeforeThemHaveEnded);
    CPPUNIT_TEST(testStoppedJobsCompleteAfterGang);
    CPPUNIT_TEST_SUITE_END();

    BatchCluster m_cluster { 3 };
    IdleJobWatch m_watch { m_cluster };
    std::vector<JobId> m_accepted;
    std::vector<JobId> m_gangs;
    TimePoint m_begin {};

    static Milliseconds seconds(int count) { return Milliseconds(1'000) * count; }

    Milliseconds elapsed() const { return m_cluster.now() - m_begin; }

    void submitGang(int tasks = workers)
    {
        const std::size_t daemon = m_cluster.isRunning(0) ? 0 : 1;
        m_gangs.push_back(m_cluster.submit(
            daemon, "gang", { makeGang(tasks, acceleratorsPerWorker, false, Milliseconds(6'800)) }));
    }

    // Plays until the given time, and submits a small job a second.
    void play(Milliseconds until)
    {
        while (elapsed() < until) {
            if (elapsed() % submissionInterval == Milliseconds(0)) {
                const std::size_t daemon = m_cluster.isRunning(1) ? 1 : 2;
                m_accepted.push_back(m_cluster.submit(daemon, "small", { makeStep(8, 1, smallRun) }));
            }
            m_cluster.run(slice);
            m_watch.observe(m_accepted);
        }
    }

    void requireNoIdleJob() const
    {
        if (!m_cluster.violations().empty())
            CPPUNIT_FAIL(m_cluster.violations().front());
        for (const IdleJob& idle : m_watch.idleJobs())
            CPPUNIT_FAIL(fmt::format("job {} had nothing running from {} ms on, {:.2f} in use",
                idle.job.value(), (idle.since - m_begin).count(), idle.shareInUse));
    }

    // After the start of the play.
    Milliseconds startOf(const JobId& gang) const
    {
        const auto start = m_cluster.firstStart(gang);
        CPPUNIT_ASSERT_MESSAGE("the gang has not started", start.has_value());
        return *start - m_begin;
    }

public:
    void setUp() override
    {
        m_cluster.addWorkers(racks, workersPerRack);
        m_cluster.run(Milliseconds(2'000));
        batch::StepSpecification blocker = makeStep(workers, 1, blockingRun / 3);
        blocker.maxTasksPerWorker = 1;
        const JobId job = m_cluster.submit(0, "small", { blocker });
        m_cluster.setDuration(job, blockingRun);
        m_cluster.run(Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(workers, m_cluster.startsOf(job));
        m_begin = m_cluster.now();
    }

    // Guards against jobs that have nothing running for up to 80 s while seven eighths of the service are
    // free (review/4), whatever the moment at which they come.
    void testNoJobWaitsForGang()
    {
        submitGang();
        play(seconds(31));
        requireNoIdleJob();
    }

    void testNoJobWaitsForGangThatComesLater()
    {
        play(seconds(4));
        submitGang();
        play(seconds(31));
        requireNoIdleJob();
    }

    void testNoJobWaitsForSeveralGangs()
    {
        submitGang();
        play(seconds(3));
        submitGang();
        play(seconds(7));
        submitGang(workers / 2);
        play(seconds(31));
        requireNoIdleJob();
    }

    void testNoJobWaitsWhenLeaderChangesBetweenGangs()
    {
        submitGang();
        play(seconds(8));
        const std::size_t leader = *m_cluster.leader();
        m_cluster.kill(leader);
        m_cluster.run(Milliseconds(4'000));
        m_cluster.restart(leader);
        m_watch.forget();
        submitGang();
        play(seconds(31));
        requireNoIdleJob();
    }

    // The runs before the gang go on for as long as the play.
    void testNoJobWaitsWhileGangWaitsForGood()
    {
        batch::StepSpecification blocker = makeStep(workers, 1, blockingRun / 3);
        blocker.maxTasksPerWorker = 1;
        m_cluster.setDuration(m_cluster.submit(0, "small", { blocker }), Milliseconds(600'000));
        play(seconds(2));
        submitGang();
        play(seconds(150));
        requireNoIdleJob();
    }

    // Guards against room that is kept for the gang alone for as long as a stop takes.
    void testNoJobWaitsForRunsThatTakeLongToStop()
    {
        submitGang();
        for (std::size_t i = 0; i < m_cluster.workerCount(); ++i)
            m_cluster.worker(i).behavior.maxStopTime = Milliseconds(20'000);
        play(seconds(60));
        requireNoIdleJob();
    }

    // Guards against a gang that waits for less urgent work that was let into the room that is held for it.
    void testGangStartsOnceRunsBeforeItHaveEnded()
    {
        submitGang();
        play(seconds(40));
        CPPUNIT_ASSERT(startOf(m_gangs.front()) <= blockingRun + Milliseconds(1'500));
    }

    void testGangsStartOnceRunsBeforeThemHaveEnded()
    {
        submitGang();
        submitGang(workers / 2);
        play(seconds(60));
        CPPUNIT_ASSERT(startOf(m_gangs[0]) <= blockingRun + Milliseconds(1'500));
        CPPUNIT_ASSERT(startOf(m_gangs[1]) <= startOf(m_gangs[0]) + Milliseconds(6'800 + 1'500));
    }

    void testStoppedJobsCompleteAfterGang()
    {
        submitGang();
        play(seconds(40));
        m_cluster.run(Milliseconds(60'000));
        for (const JobId& job : m_accepted)
            CPPUNIT_ASSERT(m_cluster.stateOf(job) == JobState::Completed);
        CPPUNIT_ASSERT(m_cluster.stateOf(m_gangs.front()) == JobState::Completed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchHeldRoomTest);

} // namespace anvilmoor::testing
