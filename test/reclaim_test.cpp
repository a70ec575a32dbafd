#include "reclaim/least_lost_work_reclaim.h"
#include "reclaim/newest_first_reclaim.h"
#include "support/zone_builder.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace anvilmoor {

class ReclaimTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReclaimTest);
    CPPUNIT_TEST(testFreshCheckpointIsEvictedBeforeNewestWork);
    CPPUNIT_TEST(testOneLargeJobLeavesInsteadOfManySmallOnes);
    CPPUNIT_TEST(testLeavingWorkCountsAsRoom);
    CPPUNIT_TEST(testShapeAboveOneRackIsEmptiedInNeighbouringRacks);
    CPPUNIT_TEST(testLimitsAndProtectedWorkAreKept);
    CPPUNIT_TEST(testRandomChoiceFreesItsRoomAndLosesNoMoreThanNewestFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against eviction by age alone, which loses more work if the newest job has no checkpoint.
    void testFreshCheckpointIsEvictedBeforeNewestWork()
    {
        ZoneInventory inventory = usableInventory(uniformZone(1, 2));
        book(inventory, "saved", "r0w0", 8, hour, hour - Milliseconds(1'000), 1);
        book(inventory, "unsaved", "r0w1", 8, hour, Milliseconds(0), 2);
        const auto choice = m_policy.choose(inventory, 8, true, TimePoint());
        CPPUNIT_ASSERT(choice->evictions == std::vector<JobId> { JobId("saved") });
        const auto naive = NewestFirstReclaim().choose(inventory, 8, true, TimePoint());
        CPPUNIT_ASSERT(naive->evictions == std::vector<JobId> { JobId("unsaved") });
    }

    // Guards against evicting many small jobs where one large job is enough, and against evicting more jobs
    // than the claim needs.
    void testOneLargeJobLeavesInsteadOfManySmallOnes()
    {
        ZoneInventory inventory = usableInventory(uniformZone(2, 1));
        for (int job = 0; job < 8; ++job)
            book(inventory, fmt::format("small{}", job), "r0w0", 1, Milliseconds(0), Milliseconds(0), job);
        book(inventory, "large", "r1w0", 8, Milliseconds(10'000), Milliseconds(0), 0);
        CPPUNIT_ASSERT(m_policy.choose(inventory, 8, true, TimePoint())->evictions
            == std::vector<JobId> { JobId("large") });
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 1 }, m_policy.choose(inventory, 1, true, TimePoint())->evictions.size());
    }

    // Guards against further evictions for a claim that fits as soon as an evicted job has saved its
    // checkpoint.
    void testLeavingWorkCountsAsRoom()
    {
        ZoneInventory inventory = usableInventory(uniformZone(2, 1));
        book(inventory, "idle", "r0w0", 8, Milliseconds(0), Milliseconds(0), 0);
        book(inventory, "leaving", "r1w0", 8, hour, Milliseconds(0), 0);
        inventory.setLeaving(JobId("leaving"));
        const auto choice = m_policy.choose(inventory, 8, true, TimePoint());
        CPPUNIT_ASSERT(choice->evictions.empty());
        CPPUNIT_ASSERT(choice->members.at(0).worker == WorkerId("r1w0"));
    }

    // Guards against placing an adjacent claim in racks with a gap between them, and against counting
    // unusable workers.
    void testShapeAboveOneRackIsEmptiedInNeighbouringRacks()
    {
        ZoneInventory inventory = usableInventory(uniformZone(5, 2));
        inventory.setUsable(WorkerId("r1w0"), false);
        inventory.setUsable(WorkerId("r1w1"), false);
        for (int rack = 2; rack < 5; ++rack)
            book(
                inventory, fmt::format("b{}", rack), fmt::format("r{}w0", rack), 8, hour, Milliseconds(0), 0);
        const auto choice = m_policy.choose(inventory, 40, true, TimePoint());
        CPPUNIT_ASSERT(choice);
        CPPUNIT_ASSERT_EQUAL(40, acceleratorsOf(choice->members));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, choice->evictions.size());
        CPPUNIT_ASSERT(!m_policy.choose(inventory, 49, true, TimePoint()));
        CPPUNIT_ASSERT(m_policy.choose(inventory, 64, false, TimePoint()));
    }

    // Guards against claims that exceed the rack limits of the guarantee plan or evict work that it protects.
    void testLimitsAndProtectedWorkAreKept()
    {
        ZoneInventory inventory = usableInventory(uniformZone(2, 1));
        book(inventory, "kept", "r1w0", 4, Milliseconds(0), Milliseconds(0), 0);
        book(inventory, "other", "r1w0", 4, hour, Milliseconds(0), 0);
        const PlacementRoom room(inventory);
        const std::vector<int> limits { 0, 4 };
        ReclaimRequest request { .accelerators = 4,
            .rackLimits = limits,
            .mayEvict = [](const Holding& holding) { return holding.job != JobId("kept"); } };
        const auto choice = m_policy.chooseWithin(room, request);
        CPPUNIT_ASSERT(choice->evictions == std::vector<JobId> { JobId("other") });
        request.accelerators = 5;
        CPPUNIT_ASSERT(!m_policy.chooseWithin(room, request));
    }

    // Guards against evictions that free too little for the chosen members, and against losing as much work
    // as the baseline.
    void testRandomChoiceFreesItsRoomAndLosesNoMoreThanNewestFirst()
    {
        std::mt19937 random(3);
        double lost = 0;
        double naiveLost = 0;
        for (int round = 0; round < 400; ++round) {
            ZoneInventory inventory = randomInventory(random);
            const int shape = 1 + static_cast<int>(random() % 40);
            const bool adjacent = random() % 4 != 0;
            const auto choice = m_policy.choose(inventory, shape, adjacent, TimePoint());
            const auto naive = NewestFirstReclaim().choose(inventory, shape, adjacent, TimePoint());
            CPPUNIT_ASSERT_EQUAL(naive.has_value(), choice.has_value());
            if (!choice)
                continue;
            checkRoom(inventory, shape, *choice);
            checkRoom(inventory, shape, *naive);
            lost += lostBy(inventory, *choice);
            naiveLost += lostBy(inventory, *naive);
        }
        CPPUNIT_ASSERT(lost < naiveLost / 2);
    }

private:
    static constexpr Milliseconds hour { 3'600'000 };

    static void book(ZoneInventory& inventory, const std::string& job, const std::string& worker,
        int accelerators, Milliseconds progress, Milliseconds checkpointed, int startedAt)
    {
        CPPUNIT_ASSERT(inventory.add({ .job = JobId(job),
            .members = { { WorkerId(worker), accelerators } },
            .startedAt = TimePoint(Milliseconds(startedAt)),
            .progress = progress,
            .checkpointed = checkpointed }));
    }

    static ZoneInventory randomInventory(std::mt19937& random)
    {
        ZoneInventory inventory = usableInventory(uniformZone(5, 2));
        const auto worker = [&] { return inventory.workers()[random() % 10].id; };
        for (int job = 0; job < 25; ++job) {
            (void)inventory.add({ .job = JobId(fmt::format("j{}", job)),
                .jobClass = random() % 8 ? JobClass::Borrowed : JobClass::Guaranteed,
                .members = { { worker(), 1 + static_cast<int>(random() % 4) }, { worker(), 1 } },
                .startedAt = TimePoint(Milliseconds(random() % 1'000)),
                .progress = Milliseconds(random() % 3'600'000),
                .checkpointed = Milliseconds(random() % 3'600'000),
                .isLeaving = random() % 6 == 0 });
        }
        inventory.setUsable(worker(), false);
        return inventory;
    }

    static void checkRoom(const ZoneInventory& inventory, int shape, const ReclaimChoice& choice)
    {
        CPPUNIT_ASSERT_EQUAL(shape, acceleratorsOf(choice.members));
        ZoneInventory after = inventory;
        for (const auto& [job, holding] : inventory.holdings()) {
            const bool isEvicted
                = std::find(choice.evictions.begin(), choice.evictions.end(), job) != choice.evictions.end();
            const bool isBorrowed = holding.jobClass == JobClass::Borrowed;
            CPPUNIT_ASSERT(!isEvicted || isBorrowed);
            if (isEvicted || (holding.isLeaving && isBorrowed))
                after.remove(job);
        }
        for (const GangMember& member : choice.members)
            CPPUNIT_ASSERT(after.find(member.worker)->isUsable);
        CPPUNIT_ASSERT(after.add({ .job = JobId("claim"), .members = choice.members }));
    }

    static double lostBy(const ZoneInventory& inventory, const ReclaimChoice& choice)
    {
        double lost = 0;
        for (const JobId& job : choice.evictions)
            lost += lostAcceleratorSeconds(*inventory.find(job)) + evictionCostAcceleratorSeconds;
        return lost;
    }

    LeastLostWorkReclaim m_policy;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReclaimTest);

} // namespace anvilmoor
