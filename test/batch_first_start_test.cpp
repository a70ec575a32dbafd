#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <functional>

namespace anvilmoor::testing {

// Tests that an accepted job starts soon if something fails while its row or its first assignment is stored.
// Each case lets it fail at many moments.
class BatchFirstStartTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchFirstStartTest);
    CPPUNIT_TEST(testJobStartsSoonAfterLeaderDied);
    CPPUNIT_TEST(testJobStartsSoonAfterAnswersOfStoreWereLost);
    CPPUNIT_TEST(testJobStartsSoonAfterStoreWasAway);
    CPPUNIT_TEST(testJobWhoseRowIsStoredLateStartsSoon);
    CPPUNIT_TEST(testJobStartsSoonAfterItsWorkersEntryWasGone);
    CPPUNIT_TEST(testJobStartsSoonAfterLeaderHadNoAnswerAboutNewJobs);
    CPPUNIT_TEST_SUITE_END();

    // The row, the assignment and the start order are on the way within this time.
    static constexpr int moments = 90; // 1 ms apart
    // Callers count a job as lost that has nothing running for 3 s.
    static constexpr Milliseconds maxTimeToStart { 2'500 };

    using Action = std::function<void(BatchCluster&)>;

    // Submits a gang, lets `fail` happen after `delay` and `heal` some time later, and returns how long after
    // that the gang runs.
    static Milliseconds timeToStart(
        Milliseconds delay, const Action& fail, Milliseconds healAfter, const Action& heal)
    {
        constexpr Milliseconds limit { 60'000 };
        constexpr Milliseconds duration { 120'000 };
        constexpr int members = 3;
        BatchCluster cluster;
        cluster.addWorkers(2, 3);
        cluster.run(Milliseconds(2'000));
        const std::size_t other = (cluster.leader().value() + 1) % 3;
        const JobId job = cluster.submit(other, "gang", { makeGang(members, 8, false, duration) });
        cluster.run(delay);
        fail(cluster);
        cluster.run(healAfter);
        heal(cluster);
        const TimePoint healed = cluster.now();
        const auto isRunning = [&] {
            std::size_t running = 0;
            for (std::size_t i = 0; i < cluster.workerCount(); ++i)
                running += cluster.worker(i).runs().size();
            return running == members;
        };
        CPPUNIT_ASSERT(cluster.runUntil(isRunning, limit));
        if (!cluster.violations().empty())
            CPPUNIT_FAIL(cluster.violations().front());
        return cluster.now() - healed;
    }

    static void requireStart(const Action& fail, Milliseconds healAfter, const Action& heal)
    {
        for (int moment = 0; moment < moments; ++moment) {
            const Milliseconds time = timeToStart(Milliseconds(moment), fail, healAfter, heal);
            if (time > maxTimeToStart)
                CPPUNIT_FAIL(fmt::format("after {} ms: started {} ms later", moment, time.count()));
        }
    }

public:
    void testJobStartsSoonAfterLeaderDied()
    {
        requireStart([](BatchCluster& cluster) { cluster.kill(cluster.leader().value()); }, Milliseconds(0),
            [](BatchCluster&) {});
    }

    void testJobStartsSoonAfterAnswersOfStoreWereLost()
    {
        requireStart([](BatchCluster& cluster) { cluster.lostCommitReplyShare = 1; }, Milliseconds(400),
            [](BatchCluster& cluster) { cluster.lostCommitReplyShare = 0; });
    }

    void testJobStartsSoonAfterStoreWasAway()
    {
        requireStart([](BatchCluster& cluster) { cluster.isStoreDown = true; }, Milliseconds(5'000),
            [](BatchCluster& cluster) { cluster.isStoreDown = false; });
    }

    // The leader dies meanwhile, so that the row may be stored while the next one loads.
    void testJobWhoseRowIsStoredLateStartsSoon()
    {
        constexpr Milliseconds latestWrite { 6'000 };
        requireStart(
            [](BatchCluster& cluster) {
                cluster.disturbances.lateCommitShare = 1;
                cluster.run(Milliseconds(30));
                cluster.disturbances.lateCommitShare = 0;
                cluster.kill(cluster.leader().value());
            },
            latestWrite, [](BatchCluster&) {});
    }

    void testJobStartsSoonAfterItsWorkersEntryWasGone()
    {
        requireStart(
            [](BatchCluster& cluster) {
                for (std::size_t i = 0; i < cluster.workerCount(); ++i)
                    cluster.unlist(cluster.worker(i).record.lifetime.id);
            },
            Milliseconds(300),
            [](BatchCluster& cluster) {
                for (std::size_t i = 0; i < cluster.workerCount(); ++i)
                    cluster.list(cluster.worker(i).record.lifetime.id);
            });
    }

    void testJobStartsSoonAfterLeaderHadNoAnswerAboutNewJobs()
    {
        requireStart([](BatchCluster& cluster) { cluster.areJobsSilent = true; }, Milliseconds(4'000),
            [](BatchCluster& cluster) { cluster.areJobsSilent = false; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchFirstStartTest);

} // namespace anvilmoor::testing
