#include "batch/placement/packing_placement.h"
#include "batch/placement/placement_round.h"
#include "support/batch_cluster.h"
#include "support/leader_state.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// A full service with more and more jobs of one kind, more than it can run. Tests how long other jobs have to
// wait, which a job must never do without a bound because of work that came later or is less urgent.
class BatchPassedOverJobTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchPassedOverJobTest);
    CPPUNIT_TEST(testGangIsPlacedDespiteSmallerJobsOfItsPriority);
    CPPUNIT_TEST(testGangIsPlacedDespiteLaterJobsWithEarlierDeadlines);
    CPPUNIT_TEST(testGangInOneRackIsPlacedDespiteSmallerJobsOfItsPriority);
    CPPUNIT_TEST(testGangIsPlacedDespiteLessUrgentTasks);
    CPPUNIT_TEST(testWideGangIsPlacedDespiteManyNarrowGangs);
    CPPUNIT_TEST(testTaskForWholeWorkerIsPlacedDespiteSmallerTasks);
    CPPUNIT_TEST(testLateUrgentGangBeyondGuaranteeIsPlacedDespiteLaterUrgentJobs);
    CPPUNIT_TEST(testLeastUrgentGangIsPlacedDespiteSmallerJobsOfItsPriority);
    CPPUNIT_TEST(testGangInOneRackIsPlacedDespiteHeadroom);
    CPPUNIT_TEST(testLateJobIsPlacedDespiteLaterJobsInTime);
    CPPUNIT_TEST(testHoldMovesWhenItsWorkerIsGone);
    CPPUNIT_TEST(testWideGangIsPlacedDespiteHoldOfLessUrgentGang);
    CPPUNIT_TEST_SUITE_END();

    // Runs of the stream take up to this long, whatever their estimate.
    static constexpr Milliseconds longestRun { 2'900 };
    static constexpr Milliseconds roundInterval { 250 };
    // Each run that stands where the job is to be placed ends once, and what has started meanwhile once more.
    static constexpr Milliseconds maxWait { 2 * longestRun };
    // Work in time may pass late work for 30 s, and work with earlier deadlines any work.
    static constexpr Milliseconds maxWaitOfLaterDeadline = Milliseconds(30'000) + maxWait;

    const PackingPlacement m_packing;
    const ObjectiveOrder m_order;
    testing::LeaderState m_state;
    PlacementRound m_round { m_packing, m_order, Milliseconds(200) };
    std::mt19937_64 m_random { 1 };
    std::vector<std::pair<TimePoint, TaskId>> m_ends;
    std::vector<JobId> m_streamed;

    // Keeps this many jobs of the stream waiting.
    struct Stream {
        int priority = 1;
        StepSpecification step;
        int waiting = 8;
    };

    bool isWaiting(const JobId& job) const
    {
        const JobProgress& progress = m_state.jobs.find(job)->progress;
        return !progress.hasAssignments() && !isTerminal(progress.state());
    }

    void submit(const Stream& stream)
    {
        int waiting = 0;
        for (const JobId& job : m_streamed)
            waiting += isWaiting(job) ? 1 : 0;
        for (; waiting < stream.waiting; ++waiting) {
            const std::string id = fmt::format("stream-{:04}", m_streamed.size());
            m_streamed.push_back(m_state.addJob(id.c_str(), stream.priority, stream.step, "no-guarantee"));
        }
    }

    void endDueTasks()
    {
        std::erase_if(m_ends, [this](const auto& end) {
            if (end.first > m_state.now)
                return false;
            m_state.endTask(end.second);
            return true;
        });
    }

    void noteEnds(const PlacementOutcome& outcome)
    {
        for (const PlacementDecision& placed : outcome.placed) {
            const TimePoint end = m_state.now + Milliseconds(1'500 + m_random() % 1'400);
            for (const int task : placed.unit.tasks)
                m_ends.emplace_back(end, TaskId { placed.unit.job, 0, 0, task });
        }
    }

    void playRound(const Stream& stream)
    {
        m_state.advance(roundInterval);
        endDueTasks();
        submit(stream);
        noteEnds(m_state.place(m_round));
    }

    void fill(const Stream& stream)
    {
        for (int round = 0; round < 40; ++round)
            playRound(stream);
    }

    void requirePlaced(const JobId& job, const Stream& stream, Milliseconds limit = maxWait)
    {
        const TimePoint begin = m_state.now;
        while (isWaiting(job) && m_state.now < begin + Seconds(120))
            playRound(stream);
        const Milliseconds waited = m_state.now - begin;
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("waited {} ms, limit {} ms", waited.count(), limit.count()), waited <= limit);
    }

    static Stream halfWorkers(int priority) { return { priority, testing::makeStep(1, 4, longEstimate) }; }

    // The stream's deadlines are later than those of a job with the shorter estimate.
    static constexpr Milliseconds longEstimate { 40'000 };
    static constexpr Milliseconds shorterEstimate { 20'000 };

public:
    void testGangIsPlacedDespiteSmallerJobsOfItsPriority()
    {
        m_state.addWorkers(1, 6);
        fill(halfWorkers(1));
        requirePlaced(
            m_state.addJob("gang", 1, testing::makeGang(6, 8, false, shorterEstimate)), halfWorkers(1));
    }

    void testGangIsPlacedDespiteLaterJobsWithEarlierDeadlines()
    {
        m_state.addWorkers(1, 6);
        const Stream soonDue { 1, testing::makeStep(1, 4, Seconds(2)) };
        fill(soonDue);
        requirePlaced(m_state.addJob("gang", 1, testing::makeGang(6, 8, false, longEstimate)), soonDue,
            maxWaitOfLaterDeadline);
    }

    void testGangInOneRackIsPlacedDespiteSmallerJobsOfItsPriority()
    {
        m_state.addWorkers(4, 4);
        fill(halfWorkers(1));
        requirePlaced(
            m_state.addJob("gang", 1, testing::makeGang(4, 8, true, shorterEstimate)), halfWorkers(1));
    }

    void testGangIsPlacedDespiteLessUrgentTasks()
    {
        m_state.addWorkers(4, 4);
        const Stream small { 2, testing::makeStep(12, 1, Seconds(2)) };
        fill(small);
        requirePlaced(m_state.addJob("gang", 1, testing::makeGang(14, 8, false, shorterEstimate)), small);
    }

    // Guards against a share for holds that narrow gangs behind the wide one use up.
    void testWideGangIsPlacedDespiteManyNarrowGangs()
    {
        m_state.addWorkers(4, 8);
        const Stream narrow { 1, testing::makeGang(2, 8, false, longEstimate), 20 };
        fill(narrow);
        requirePlaced(m_state.addJob("wide", 1, testing::makeGang(20, 8, false, shorterEstimate)), narrow);
    }

    void testTaskForWholeWorkerIsPlacedDespiteSmallerTasks()
    {
        m_state.addWorkers(1, 2);
        const Stream small { 1, testing::makeStep(1, 3, longEstimate) };
        fill(small);
        requirePlaced(m_state.addJob("whole", 1, testing::makeStep(1, 8, shorterEstimate)), small);
    }

    void testLateUrgentGangBeyondGuaranteeIsPlacedDespiteLaterUrgentJobs()
    {
        m_state.addWorkers(1, 6);
        fill(halfWorkers(0));
        const JobId gang
            = m_state.addJob("gang", 0, testing::makeGang(6, 8), "no-guarantee", Milliseconds(5'000));
        requirePlaced(gang, halfWorkers(0), maxWaitOfLaterDeadline);
    }

    void testLeastUrgentGangIsPlacedDespiteSmallerJobsOfItsPriority()
    {
        m_state.addWorkers(1, 6);
        fill(halfWorkers(2));
        requirePlaced(
            m_state.addJob("gang", 2, testing::makeGang(6, 8, false, shorterEstimate)), halfWorkers(2));
    }

    // Guards against a gang that never gets the idle workers of its rack that are kept for urgent work.
    void testGangInOneRackIsPlacedDespiteHeadroom()
    {
        m_state.addWorkers(3, 8);
        m_state.addJob("urgent", 0, testing::makeStep(16, 8, Seconds(600)));
        m_state.place(m_round);
        const Stream none { 1, testing::makeStep(1, 1), 0 };
        requirePlaced(m_state.addJob("gang", 1, testing::makeGang(8, 8, true, shorterEstimate)), none);
    }

    // Guards against work that is late and that newer work in time passes for as long as the overload lasts.
    void testLateJobIsPlacedDespiteLaterJobsInTime()
    {
        m_state.addWorkers(1, 2);
        const Stream inTime { 1, testing::makeStep(1, 8, Seconds(2)), 4 };
        fill(inTime);
        const JobId late = m_state.addJob("late", 1, testing::makeStep(1, 8), "no-guarantee", Seconds(10));
        requirePlaced(late, inTime, maxWaitOfLaterDeadline);
    }

    void testHoldMovesWhenItsWorkerIsGone()
    {
        m_state.addWorkers(1, 12);
        fill(halfWorkers(1));
        const JobId gang = m_state.addJob("gang", 1, testing::makeGang(6, 8, false, shorterEstimate));
        for (const int index : { 0, 1, 2, 3, 4 }) {
            playRound(halfWorkers(1));
            m_state.worker(0, index).unansweredHolds = 3;
        }
        requirePlaced(gang, halfWorkers(1));
    }

    // Guards against a less urgent gang that uses up the share that may be held.
    void testWideGangIsPlacedDespiteHoldOfLessUrgentGang()
    {
        m_state.addWorkers(4, 8);
        Stream halves = halfWorkers(1);
        fill(halves);
        halves.waiting = 0;
        m_state.addJob("less-urgent", 2, testing::makeGang(30, 8, false, shorterEstimate));
        while (!m_round.heldSince(JobId("less-urgent"), { 0, 0 }))
            playRound(halves);
        halves.waiting = 8;
        fill(halves);
        requirePlaced(m_state.addJob("wide", 1, testing::makeGang(14, 8, false, shorterEstimate)), halves);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchPassedOverJobTest);

} // namespace anvilmoor::batch
