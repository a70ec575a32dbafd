#include "noise/counting_noise.h"
#include "noise/lesson_limit.h"
#include "noise/sound_power.h"
#include "noise/sound_power_noise.h"
#include "support/zone_builder.h"

#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <set>

namespace anvilmoor {

class NoiseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(NoiseTest);
    CPPUNIT_TEST(testEstimateOfRandomInventoryEqualsDirectSum);
    CPPUNIT_TEST(testLimitBeginsAheadOfLessonAndWrapsAroundTheWeek);
    CPPUNIT_TEST(testStartIsAllowedUpToTheLimitOnly);
    CPPUNIT_TEST(testBorrowedWorkIsThrottledBeforeItIsEvicted);
    CPPUNIT_TEST(testGuaranteedWorkIsNeverThrottledOrEvicted);
    CPPUNIT_TEST(testThrottlesAreLiftedOnceAndDoNotFlap);
    CPPUNIT_TEST(testClaimInLessonMakesBorrowedWorkGiveWay);
    CPPUNIT_TEST(testRandomPlansFitTheLimitWherePossible);
    CPPUNIT_TEST(testIdleWorkersAreHeardWhereCountingMissesThem);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against sums in the inventory that no longer match its holdings, and against adding levels
    // instead of powers.
    void testEstimateOfRandomInventoryEqualsDirectSum()
    {
        std::mt19937 random(9);
        for (int round = 0; round < 100; ++round) {
            const ZoneInventory inventory = randomInventory(random);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(directDb(inventory, {}), m_policy.estimateDb(inventory), 1e-9);
        }
    }

    // Guards against a limit that begins or ends late, or is not applied across the end of the week (midnight
    // before Monday).
    void testLimitBeginsAheadOfLessonAndWrapsAroundTheWeek()
    {
        RoomConfiguration room { .limitDb = 50, .lessonHours = { { 0, 3'600 }, { 30'000, 33'000 } } };
        CPPUNIT_ASSERT_EQUAL(0.0, m_policy.limitDb(room, 29'949));
        CPPUNIT_ASSERT_EQUAL(50.0, m_policy.limitDb(room, 29'950));
        CPPUNIT_ASSERT_EQUAL(50.0, m_policy.limitDb(room, 32'999));
        CPPUNIT_ASSERT_EQUAL(0.0, m_policy.limitDb(room, 33'000));
        CPPUNIT_ASSERT_EQUAL(50.0, m_policy.limitDb(room, secondsPerWeek - 50));
        CPPUNIT_ASSERT_EQUAL(0.0, m_policy.limitDb(room, secondsPerWeek - 51));
        room.lessonHours = { { secondsPerWeek - 100, 100 } };
        CPPUNIT_ASSERT_EQUAL(50.0, m_policy.limitDb(room, 99));
        CPPUNIT_ASSERT_EQUAL(0.0, m_policy.limitDb(room, 100));
        room.lessonHours = { { 0, secondsPerWeek } };
        CPPUNIT_ASSERT_EQUAL(50.0, m_policy.limitDb(room, 1'000));
    }

    // Guards against a start that exceeds the limit by one accelerator, also 50 s before a lesson.
    void testStartIsAllowedUpToTheLimitOnly()
    {
        const AvailabilityZoneConfiguration zone = loudZone(20);
        const ZoneInventory inventory = usableInventory(zone);
        const std::vector<GangMember> most { { WorkerId("r0w0"), 8 }, { WorkerId("r0w1"), 8 },
            { WorkerId("r1w0"), 4 } };
        const std::vector<GangMember> over { { WorkerId("r0w0"), 8 }, { WorkerId("r0w1"), 8 },
            { WorkerId("r1w0"), 5 } };
        CPPUNIT_ASSERT_EQUAL(20, lessonHoursCapacity(zone));
        CPPUNIT_ASSERT(m_policy.allowsStart(inventory, zone.room, most, lesson));
        CPPUNIT_ASSERT(!m_policy.allowsStart(inventory, zone.room, over, lesson));
        CPPUNIT_ASSERT(!m_policy.allowsStart(inventory, zone.room, over, lesson - 50));
        CPPUNIT_ASSERT(m_policy.allowsStart(inventory, zone.room, over, lesson - 51));
    }

    // Guards against evictions, which lose work, where throttling is enough.
    void testBorrowedWorkIsThrottledBeforeItIsEvicted()
    {
        const AvailabilityZoneConfiguration zone = loudZone(16);
        ZoneInventory inventory = usableInventory(zone);
        book(inventory, "urgent", "r0w0", 8, 5);
        book(inventory, "low", "r0w1", 8, 1);
        book(inventory, "mid", "r1w0", 1, 3);
        CPPUNIT_ASSERT(m_policy.plan(inventory, zone.room, lesson - 51).empty());
        const auto actions = m_policy.plan(inventory, zone.room, lesson - 50);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, actions.size());
        CPPUNIT_ASSERT(actions[0].kind == NoiseActionKind::Throttle && actions[0].job == JobId("low"));
        // A throttled accelerator has a tenth of the sound power of an active one. The 16 throttled
        // accelerators of two workers still exceed a limit of one active accelerator.
        const AvailabilityZoneConfiguration quiet = loudZone(1);
        inventory = usableInventory(quiet);
        book(inventory, "urgent", "r0w0", 8, 5);
        book(inventory, "low", "r0w1", 8, 1);
        carryOut(inventory, m_policy.plan(inventory, quiet.room, lesson));
        CPPUNIT_ASSERT(inventory.find(JobId("urgent"))->isThrottled);
        CPPUNIT_ASSERT(inventory.find(JobId("low")) == nullptr);
        CPPUNIT_ASSERT(m_policy.estimateDb(inventory) <= quiet.room.limitDb);
    }

    // Guards against throttling or evicting guaranteed work in a room that exceeds its limit by guaranteed
    // work alone.
    void testGuaranteedWorkIsNeverThrottledOrEvicted()
    {
        const AvailabilityZoneConfiguration zone = loudZone(4);
        ZoneInventory inventory = usableInventory(zone);
        CPPUNIT_ASSERT(inventory.add(
            { .job = JobId("g"), .jobClass = JobClass::Guaranteed, .members = { { WorkerId("r0w0"), 8 } } }));
        book(inventory, "b", "r0w1", 8, 9);
        for (const NoiseAction& action : m_policy.plan(inventory, zone.room, lesson))
            CPPUNIT_ASSERT(action.job == JobId("b"));
    }

    // Guards against plans that alternately unthrottle and throttle the same job.
    void testThrottlesAreLiftedOnceAndDoNotFlap()
    {
        const AvailabilityZoneConfiguration zone = loudZone(16);
        ZoneInventory inventory = usableInventory(zone);
        book(inventory, "a", "r0w0", 8, 5);
        book(inventory, "b", "r0w1", 8, 1);
        book(inventory, "c", "r1w0", 1, 1);
        carryOut(inventory, m_policy.plan(inventory, zone.room, lesson));
        CPPUNIT_ASSERT(inventory.find(JobId("b"))->isThrottled);
        CPPUNIT_ASSERT(m_policy.plan(inventory, zone.room, lesson + 1).empty());
        inventory.remove(JobId("c")); // b would fit at full rate, but without the margin
        CPPUNIT_ASSERT(m_policy.plan(inventory, zone.room, lesson + 1).empty());
        CPPUNIT_ASSERT(m_policy.plan(inventory, zone.room, lesson - 120).empty());
        const auto lifted = m_policy.plan(inventory, zone.room, lesson - 121);
        CPPUNIT_ASSERT(lifted.size() == 1 && lifted[0].kind == NoiseActionKind::Unthrottle);
        inventory.remove(JobId("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_policy.plan(inventory, zone.room, lesson + 1).size());
    }

    // Guards against a claim that waits because borrowed work already reaches the noise limit.
    void testClaimInLessonMakesBorrowedWorkGiveWay()
    {
        const AvailabilityZoneConfiguration zone = loudZone(16);
        ZoneInventory inventory = usableInventory(zone);
        book(inventory, "a", "r0w0", 8, 5);
        book(inventory, "b", "r0w1", 8, 1);
        const std::vector<GangMember> claim { { WorkerId("r1w0"), 8 } };
        CPPUNIT_ASSERT(m_policy.plan(inventory, zone.room, lesson).empty());
        CPPUNIT_ASSERT(!m_policy.allowsStart(inventory, zone.room, claim, lesson));
        carryOut(inventory, m_policy.planForStart(inventory, zone.room, claim, lesson));
        CPPUNIT_ASSERT(m_policy.allowsStart(inventory, zone.room, claim, lesson));
    }

    // Guards against plans that leave the room above its limit, and against actions on jobs that are already
    // leaving.
    void testRandomPlansFitTheLimitWherePossible()
    {
        std::mt19937 random(10);
        int evictions = 0;
        for (int round = 0; round < 200; ++round) {
            ZoneInventory inventory = randomInventory(random);
            std::set<JobId> guaranteed;
            std::set<JobId> leaving;
            for (const auto& [job, holding] : inventory.holdings()) {
                if (holding.jobClass == JobClass::Guaranteed)
                    guaranteed.insert(job);
                else if (holding.isLeaving)
                    leaving.insert(job);
            }
            const RoomConfiguration room { .limitDb = m_policy.estimateDb(inventory) - double(random() % 8),
                .lessonHours = { { lesson, lesson + 60 } } };
            const auto actions = m_policy.plan(inventory, room, lesson);
            for (const NoiseAction& action : actions) {
                CPPUNIT_ASSERT(
                    !guaranteed.contains(action.job) || action.kind == NoiseActionKind::Unthrottle);
                CPPUNIT_ASSERT(!leaving.contains(action.job));
                evictions += action.kind == NoiseActionKind::Evict;
            }
            carryOut(inventory, actions);
            for (const JobId& job : leaving)
                inventory.remove(job);
            const bool isAllGone = inventory.holdings().size() == guaranteed.size();
            CPPUNIT_ASSERT(isAllGone || m_policy.estimateDb(inventory) <= room.limitDb + 1e-9);
        }
        CPPUNIT_ASSERT(evictions > 100);
    }

    // Guards against a constant cap on accelerators, which ignores idle workers and lets the room exceed its
    // limit.
    void testIdleWorkersAreHeardWhereCountingMissesThem()
    {
        AvailabilityZoneConfiguration zone = loudZone(16);
        for (RackConfiguration& rack : zone.racks) {
            for (WorkerConfiguration& worker : rack.workers)
                worker.noise.idleDb = 45;
        }
        const ZoneInventory inventory = usableInventory(zone);
        const std::vector<GangMember> members { { WorkerId("r0w0"), 8 }, { WorkerId("r0w1"), 8 } };
        CPPUNIT_ASSERT(CountingNoise(16).allowsStart(inventory, zone.room, members, lesson));
        CPPUNIT_ASSERT(!m_policy.allowsStart(inventory, zone.room, members, lesson));
        CPPUNIT_ASSERT(directDb(inventory, members) > zone.room.limitDb);
    }

private:
    static constexpr SecondOfWeek lesson = 30'000;

    // Workers are silent when idle; an accelerator has 40 dB, or 30 dB if throttled. The limit allows
    // `capacity` accelerators at full rate.
    static AvailabilityZoneConfiguration loudZone(int capacity)
    {
        AvailabilityZoneConfiguration zone = uniformZone(2, 2);
        for (RackConfiguration& rack : zone.racks) {
            for (WorkerConfiguration& worker : rack.workers)
                worker.noise = { .idleDb = -300, .acceleratorDb = 40, .throttledAcceleratorDb = 30 };
        }
        zone.room.limitDb = 40 + 10 * std::log10(capacity) + 1e-6;
        zone.room.lessonHours = { { lesson, lesson + 3'000 } };
        return zone;
    }

    static void book(ZoneInventory& inventory, const std::string& job, const std::string& worker,
        int accelerators, int priority)
    {
        CPPUNIT_ASSERT(inventory.add(
            { .job = JobId(job), .priority = priority, .members = { { WorkerId(worker), accelerators } } }));
    }

    static void carryOut(ZoneInventory& inventory, const std::vector<NoiseAction>& actions)
    {
        for (const NoiseAction& action : actions) {
            if (action.kind == NoiseActionKind::Evict)
                inventory.remove(action.job);
            else
                inventory.setThrottled(action.job, action.kind == NoiseActionKind::Throttle);
        }
    }

    static ZoneInventory randomInventory(std::mt19937& random)
    {
        AvailabilityZoneConfiguration zone = uniformZone(3, 3);
        for (RackConfiguration& rack : zone.racks) {
            for (WorkerConfiguration& worker : rack.workers) {
                const double level = 30 + double(random() % 20);
                worker.noise
                    = { .idleDb = level - 10, .acceleratorDb = level, .throttledAcceleratorDb = level - 6 };
            }
        }
        ZoneInventory inventory = usableInventory(zone);
        for (int job = 0; job < 15; ++job) {
            const WorkerId worker = inventory.workers()[random() % 9].id;
            (void)inventory.add({ .job = JobId(fmt::format("j{}", job)),
                .jobClass = random() % 4 ? JobClass::Borrowed : JobClass::Guaranteed,
                .priority = int(random() % 3),
                .members = { { worker, 1 + int(random() % 8) } },
                .isLeaving = random() % 5 == 0 });
            if (random() % 3 == 0)
                inventory.setThrottled(JobId(fmt::format("j{}", job)), true);
        }
        inventory.setUsable(inventory.workers()[random() % 9].id, false);
        return inventory;
    }

    static double directDb(const ZoneInventory& inventory, const std::vector<GangMember>& extra)
    {
        double power = 0;
        const auto add = [&](double level, int count) { power += count * std::pow(10.0, level / 10); };
        for (const WorkerCapacity& worker : inventory.workers())
            add(worker.noise.idleDb, 1);
        for (const auto& [job, holding] : inventory.holdings()) {
            for (const GangMember& member : holding.members) {
                const NoiseProfile& noise = inventory.find(member.worker)->noise;
                add(holding.isThrottled ? noise.throttledAcceleratorDb : noise.acceleratorDb,
                    member.accelerators);
            }
        }
        for (const GangMember& member : extra)
            add(inventory.find(member.worker)->noise.acceleratorDb, member.accelerators);
        return 10 * std::log10(power);
    }

    SoundPowerNoise m_policy;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NoiseTest);

} // namespace anvilmoor
