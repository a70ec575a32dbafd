#include "batch/placement/packing_placement.h"
#include "support/placement_play.h"
#include "support/seed_range.h"
#include "support/service_by_size.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <string>

namespace anvilmoor::testing {

// Plays overload and compares how the largest jobs of each queue are served with all jobs of the queue.
// Run many seeds by hand with: SIZE_SEEDS=1-100 batch_service_by_size_test [FIXTURE::CASE]
class BatchServiceBySizeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchServiceBySizeTest);
    CPPUNIT_TEST(testBurstsOfGangsLeaveNoSizeBehind);
    CPPUNIT_TEST(testBurstsOfGangsInSmallFleetLeaveNoSizeBehind);
    CPPUNIT_TEST(testBurstsOfSmallTasksLeaveNoSizeBehind);
    CPPUNIT_TEST(testBurstsOfUrgentGangsLeaveNoSizeBehind);
    CPPUNIT_TEST(testBurstsOfAllJobsLeaveNoSizeBehind);
    CPPUNIT_TEST(testLongOverloadOfGangsLeavesNoSizeBehind);
    CPPUNIT_TEST(testLongOverloadOfGangsInLargeFleetLeavesNoSizeBehindInAnyPlay);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int fewRacks = 6;
    static constexpr int manyRacks = 24;
    static constexpr int largeFleet = 68;
    static constexpr double nearlyFull = 0.85;
    static constexpr double overloaded = 1.5; // before the bursts

public:
    void testBurstsOfGangsLeaveNoSizeBehind() { requireEven(manyRacks, nearlyFull, "gang", { 1, 3 }); }

    void testBurstsOfGangsInSmallFleetLeaveNoSizeBehind()
    {
        requireEven(fewRacks, nearlyFull, "gang", { 1, 12 });
    }

    void testBurstsOfSmallTasksLeaveNoSizeBehind() { requireEven(fewRacks, nearlyFull, "small", { 1, 12 }); }
    void testBurstsOfUrgentGangsLeaveNoSizeBehind()
    {
        requireEven(fewRacks, nearlyFull, "urgent", { 1, 12 });
    }
    void testBurstsOfAllJobsLeaveNoSizeBehind() { requireEven(manyRacks, nearlyFull, "", { 1, 8 }); }

    // Guards against wide gangs that smaller jobs of their queue pass for as long as an overload lasts.
    void testLongOverloadOfGangsLeavesNoSizeBehind() { requireEven(manyRacks, overloaded, "gang", { 1, 8 }); }

    void testLongOverloadOfGangsInLargeFleetLeavesNoSizeBehindInAnyPlay()
    {
        const ServiceBySize service = play(largeFleet, overloaded, "gang", { 1, 3 });
        for (const SizeBand band : { SizeBand::NextLargest, SizeBand::Largest })
            CPPUNIT_ASSERT_EQUAL_MESSAGE(service.table(), 0, service.shortPlays("gang", band));
    }

private:
    static ServiceBySize play(int racks, double load, const std::string& burstQueue, SeedRange inCi)
    {
        const SeedRange seeds = seedsOr("SIZE_SEEDS", inCi);
        const batch::PackingPlacement placement;
        const batch::ObjectiveOrder order;
        ServiceBySize service;
        for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed) {
            const PlaySettings settings = burstTraffic(racks, load, burstQueue, seed);
            PlacementPlay play(settings, placement, order, seed);
            play.run();
            service.add(play.jobs());
        }
        return service;
    }

    // Each size has to be served at least half as often as its queue.
    static void requireEven(int racks, double load, const std::string& burstQueue, SeedRange inCi)
    {
        const ServiceBySize service = play(racks, load, burstQueue, inCi);
        for (const char* queue : { "urgent", "gang", "small" }) {
            for (const SizeBand band : { SizeBand::NextLargest, SizeBand::Largest }) {
                const double served = service.of(queue, band).servedShare();
                const double ofAll = service.ofAll(queue).servedShare();
                CPPUNIT_ASSERT_MESSAGE(
                    fmt::format("queue {}\n{}", queue, service.table()), served >= ofAll / 2);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchServiceBySizeTest);

} // namespace anvilmoor::testing
