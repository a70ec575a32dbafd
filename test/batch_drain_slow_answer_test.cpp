#include "support/batch_cluster.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace anvilmoor::testing {

// Tests that one slow answer of a draining worker does not hide how its runs ended.
class BatchDrainSlowAnswerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchDrainSlowAnswerTest);
    CPPUNIT_TEST(testRunThatIsDoneDuringSlowHoldIsNotRepeated);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Milliseconds duration { 3'000 };
    static constexpr Milliseconds stopTimeout { 200 };
    static constexpr Milliseconds timeAfterEnd { 300 }; // from the end of the run until its worker leaves

    static void startCluster(BatchCluster& cluster)
    {
        cluster.workerLeases.stopTimeout = stopTimeout;
        for (std::size_t i = 0; i < 3; ++i)
            cluster.restart(i);
        cluster.addWorkers(1, 2);
        for (std::size_t i = 0; i < cluster.workerCount(); ++i)
            cluster.worker(i).behavior.maxStopTime = stopTimeout;
        cluster.run(Milliseconds(3'000));
    }

    // Only requests that are sent shortly before the run ends are answered slowly.
    static std::vector<std::string> drainWithSlowAnswer(std::uint64_t seed)
    {
        constexpr Milliseconds slowTime { 300 };
        BatchCluster cluster(3, seed);
        startCluster(cluster);
        const JobId job = cluster.submit(1, "small", { makeStep(1, 1, duration) });
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.startsOf(job) == 1; }, Milliseconds(10'000)));
        const TimePoint endsAt = cluster.now() + duration;
        cluster.run(Milliseconds(700 + seed * 37 % 500));
        const std::size_t worker = cluster.worker(0).runs().empty() ? 1 : 0;
        const auto remaining
            = std::chrono::duration_cast<Milliseconds>(endsAt + timeAfterEnd - cluster.now());
        cluster.drainAndLeave(worker, remaining);
        cluster.run(std::chrono::duration_cast<Milliseconds>(endsAt - slowTime - cluster.now()));
        cluster.disturbances.slowAnswerShare = 1;
        cluster.run(slowTime);
        cluster.disturbances.slowAnswerShare = 0;
        cluster.runUntil([&] { return cluster.stateOf(job) == JobState::Completed; }, Milliseconds(60'000));
        return cluster.violations();
    }

public:
    void testRunThatIsDoneDuringSlowHoldIsNotRepeated()
    {
        constexpr std::uint64_t seeds = 40;
        std::vector<std::string> findings;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const std::vector<std::string> violations = drainWithSlowAnswer(seed);
            if (!violations.empty())
                findings.push_back(fmt::format("seed {}: {}", seed, violations.front()));
        }
        if (!findings.empty())
            CPPUNIT_FAIL(
                fmt::format("{} of {} seeds:\n{}", findings.size(), seeds, fmt::join(findings, "\n")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchDrainSlowAnswerTest);

} // namespace anvilmoor::testing
