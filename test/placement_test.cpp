#include "placement/defragmentation.h"
#include "placement/first_fit_placement.h"
#include "placement/gang_reservation.h"
#include "placement/guarantee_aware_placement.h"
#include "placement/guarantee_planner.h"
#include "reclaim/least_lost_work_reclaim.h"
#include "support/placement_simulation.h"
#include "support/plan_check.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace anvilmoor {

namespace {

JobSpecification borrowed(
    const std::string& id, const std::string& account, int accelerators, int priority = 0)
{
    return { .id = JobId(id),
        .account = ClientAccountId(account),
        .accelerators = accelerators,
        .priority = priority };
}

JobSpecification claim(const std::string& id, const std::string& account, int accelerators)
{
    JobSpecification job = borrowed(id, account, accelerators);
    job.jobClass = JobClass::Guaranteed;
    return job;
}

// Accounts "a0", "a1"... with one guarantee each, or none where the size is 0.
Configuration configurationOf(AvailabilityZoneConfiguration zone, const std::vector<int>& guarantees)
{
    Configuration configuration;
    for (std::size_t index = 0; index < guarantees.size(); ++index) {
        ClientAccountConfiguration& account = configuration.accounts.emplace_back();
        account.id = ClientAccountId(fmt::format("a{}", index));
        account.acceleratorQuota = 100'000;
        if (guarantees[index] > 0)
            account.guarantees.push_back({ .zone = zone.id, .accelerators = guarantees[index] });
    }
    configuration.zones.push_back(std::move(zone));
    return configuration;
}

constexpr Milliseconds hour { 3'600'000 };
constexpr Milliseconds minute { 60'000 };

} // namespace

class PlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(testClaimsOfAllGuaranteesInFullZoneStart);
    CPPUNIT_TEST(testClaimAvoidsRackThatAnotherGuaranteeNeeds);
    CPPUNIT_TEST(testClaimMovesFromDeadWorkerAndClaimBeyondGuaranteeWaits);
    CPPUNIT_TEST(testGangAboveOneRackUsesConsecutiveRacks);
    CPPUNIT_TEST(testLargeGangAmongSmallJobsStartsInBoundedSteps);
    CPPUNIT_TEST(testReservedRackAdmitsOnlyEvictableBackfill);
    CPPUNIT_TEST(testBurstIsLimitedByQuotaAndFairShare);
    CPPUNIT_TEST(testBorrowedWorkKeepsWholeRacksAndPlannedSpaceFree);
    CPPUNIT_TEST(testBorrowedWorkUsesRemaindersBeforeWholeShapes);
    CPPUNIT_TEST(testJobThatCanNeverRunHasReason);
    CPPUNIT_TEST(testMoveThatMakesRoomForGangIsProposedOnlyBelowLimit);
    CPPUNIT_TEST(testMoveForWholeShapeIsProposedOnlyIfWorthwhile);
    CPPUNIT_TEST(testRandomHistoriesViolateNoInvariant);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against claims that wait for each other or for borrowed work that fills the zone.
    void testClaimsOfAllGuaranteesInFullZoneStart()
    {
        PlacementSimulation zone(m_policy, configurationOf(uniformZone(4, 8), { 64, 40, 24, 128 }));
        for (int job = 0; job < 32; ++job)
            zone.submit(borrowed(fmt::format("b{}", job), "a0", 8), 10 * hour);
        zone.step(minute);
        CPPUNIT_ASSERT(zone.queue().empty());
        for (int account = 0; account < 4; ++account) {
            const int size = std::vector<int> { 64, 40, 24, 128 }[static_cast<std::size_t>(account)];
            zone.submit(claim(fmt::format("g{}", account), fmt::format("a{}", account), size), hour);
        }
        const std::vector<QueuedJob> queue = zone.queue();
        const ZoneInventory before = zone.inventory();
        const PlacementPlan plan = zone.step(minute);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, plan.starts.size());
        checkPlan(before, zone.configuration(), queue, plan);
        zone.step(Milliseconds(800));
        for (int account = 0; account < 4; ++account)
            CPPUNIT_ASSERT(zone.isRunning(JobId(fmt::format("g{}", account))));
    }

    // Guards against a claim placed in the only rack that can still hold another account's guarantee,
    // although the eviction of a borrowed job elsewhere makes room. First fit does this.
    void testClaimAvoidsRackThatAnotherGuaranteeNeeds()
    {
        const Configuration configuration = configurationOf(uniformZone(2, 2), { 8, 16, 8 });
        ZoneInventory inventory = usableInventory(configuration.zones.front());
        CPPUNIT_ASSERT(inventory.add({ .job = JobId("held"),
            .account = ClientAccountId("a0"),
            .jobClass = JobClass::Guaranteed,
            .members = { { WorkerId("r1w0"), 8 } } }));
        CPPUNIT_ASSERT(inventory.add({ .job = JobId("b"),
            .account = ClientAccountId("a0"),
            .members = { { WorkerId("r1w1"), 8 } },
            .progress = hour }));
        const std::vector<QueuedJob> queue { { .specification = claim("g", "a2", 8) } };
        const PlacementPlan plan = m_policy.plan(inventory, configuration, queue, TimePoint());
        checkPlan(inventory, configuration, queue, plan);
        CPPUNIT_ASSERT(plan.starts.at(0).evictions == std::vector<JobId> { JobId("b") });
        const PlacementPlan naive = FirstFitPlacement().plan(inventory, configuration, queue, TimePoint());
        CPPUNIT_ASSERT(!planViolations(inventory, configuration, queue, naive, true).empty());
    }

    // Guards against a claim that remains assigned to a worker that died while the claim waited for
    // evictions, and against a second claim that starts although the only guarantee is claimed.
    void testClaimMovesFromDeadWorkerAndClaimBeyondGuaranteeWaits()
    {
        PlacementSimulation zone(m_policy, configurationOf(uniformZone(2, 2), { 16, 0 }));
        for (int job = 0; job < 4; ++job)
            zone.submit(borrowed(fmt::format("b{}", job), "a1", 8), 10 * hour);
        zone.step(minute);
        zone.submit(claim("g", "a0", 16), hour);
        zone.submit(claim("more", "a0", 16), hour);
        const PlacementPlan plan = zone.step(minute);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan.starts.size());
        zone.inventory().setUsable(plan.starts[0].members[0].worker, false);
        const PlacementPlan moved = zone.step(Milliseconds(100));
        CPPUNIT_ASSERT(moved.starts.at(0).members != plan.starts[0].members);
        zone.step(Milliseconds(800));
        CPPUNIT_ASSERT(zone.isRunning(JobId("g")));
        CPPUNIT_ASSERT(!zone.isRunning(JobId("more")));
    }

    // Guards against gangs that are placed in racks that are not adjacent, because a rack of dead workers
    // lies between them.
    void testGangAboveOneRackUsesConsecutiveRacks()
    {
        PlacementSimulation zone(m_policy, configurationOf(uniformZone(6, 8), { 0 }));
        CPPUNIT_ASSERT_EQUAL(384, m_policy.largestFreeShape(zone.inventory()));
        zone.submit(borrowed("one", "a0", 33), 10 * hour);
        zone.step(minute);
        for (int worker = 0; worker < 8; ++worker)
            zone.inventory().setUsable(WorkerId(fmt::format("r2w{}", worker)), false);
        CPPUNIT_ASSERT_EQUAL(64 + 64 + 31, m_policy.largestFreeShape(zone.inventory())); // r3 to r5
        zone.submit(borrowed("wide", "a0", 150), hour);
        const std::vector<QueuedJob> queue = zone.queue();
        const ZoneInventory before = zone.inventory();
        const PlacementPlan plan = zone.step(minute);
        checkPlan(before, zone.configuration(), queue, plan);
        CPPUNIT_ASSERT(zone.isRunning(JobId("wide")));
        CPPUNIT_ASSERT_EQUAL(std::string("r3"), plan.starts.at(0).members.at(0).worker.value().substr(0, 2));
    }

    // Guards against starvation of a large gang by a continuous stream of small jobs, all of which run ten
    // times longer than declared. First fit starves the gang.
    void testLargeGangAmongSmallJobsStartsInBoundedSteps()
    {
        CPPUNIT_ASSERT(stepsUntilGangRuns(m_policy, 1'000) < 150);
        CPPUNIT_ASSERT_EQUAL(1'000, stepsUntilGangRuns(FirstFitPlacement(), 1'000));
    }

    // Guards against backfill in the room of the job at the head of the queue, unless that job may evict the
    // backfill.
    void testReservedRackAdmitsOnlyEvictableBackfill()
    {
        for (const int head : { 7, 8 }) { // 8 is half a rack: large enough to evict backfill
            PlacementSimulation zone(m_policy, configurationOf(uniformZone(1, 2), { 0 }));
            zone.submit(borrowed("held", "a0", 10), 10 * hour);
            zone.step(minute);
            zone.submit(borrowed("head", "a0", head, 5), hour);
            zone.submit(borrowed("small", "a0", 3), hour);
            zone.step(minute);
            CPPUNIT_ASSERT(!zone.isRunning(JobId("head")));
            CPPUNIT_ASSERT_EQUAL(head == 8, zone.isRunning(JobId("small")));
        }
    }

    // Guards against a burst of one account that uses the whole zone or more than the account's quota.
    void testBurstIsLimitedByQuotaAndFairShare()
    {
        Configuration configuration = configurationOf(uniformZone(2, 4), { 0, 0, 0 });
        configuration.accounts[0].acceleratorQuota = 20;
        PlacementSimulation zone(m_policy, configuration);
        for (int job = 0; job < 30; ++job)
            zone.submit(borrowed(fmt::format("q{}", job), "a0", 4), hour);
        zone.step(minute);
        CPPUNIT_ASSERT_EQUAL(20, zone.inventory().heldBy(ClientAccountId("a0")));
        for (int job = 0; job < 30; ++job)
            zone.submit(borrowed(fmt::format("x{}", job), "a1", 4), hour);
        for (int job = 0; job < 30; ++job)
            zone.submit(borrowed(fmt::format("y{}", job), "a2", 4), hour);
        zone.step(minute);
        CPPUNIT_ASSERT_EQUAL(24, zone.inventory().heldBy(ClientAccountId("a1")));
        CPPUNIT_ASSERT_EQUAL(20, zone.inventory().heldBy(ClientAccountId("a2")));
    }

    // Guards against borrowed jobs that are spread over all racks, so that the zone is fragmented and a claim
    // needs evictions although there is room for a free rack.
    void testBorrowedWorkKeepsWholeRacksAndPlannedSpaceFree()
    {
        PlacementSimulation zone(m_policy, configurationOf(uniformZone(4, 2), { 16 }));
        for (int job = 0; job < 8; ++job)
            zone.submit(borrowed(fmt::format("b{}", job), "a0", 4), hour);
        zone.step(minute);
        CPPUNIT_ASSERT_EQUAL(32, m_policy.largestFreeShape(zone.inventory()));
        zone.submit(claim("g", "a0", 16), hour);
        CPPUNIT_ASSERT(zone.step(minute).starts.at(0).evictions.empty());
    }

    // Guards against jobs that wait for ever because they are accepted although they can never run.
    void testJobThatCanNeverRunHasReason()
    {
        Configuration configuration = configurationOf(uniformZone(2, 8), { 64 });
        configuration.accounts[0].acceleratorQuota = 100;
        const AvailabilityZoneConfiguration& zone = configuration.zones.front();
        const auto reason = [&](const JobSpecification& job) {
            return m_policy.reasonItCanNeverRun(zone, configuration, job);
        };
        CPPUNIT_ASSERT(reason(borrowed("j", "a0", 100)).empty());
        CPPUNIT_ASSERT(!reason(borrowed("j", "a0", 101)).empty());
        CPPUNIT_ASSERT(!reason(borrowed("j", "nobody", 1)).empty());
        CPPUNIT_ASSERT(!reason(borrowed("j", "a0", 0)).empty());
        CPPUNIT_ASSERT(!reason(borrowed("j", "a0", 513)).empty());
        CPPUNIT_ASSERT(reason(claim("j", "a0", 64)).empty());
        CPPUNIT_ASSERT(!reason(claim("j", "a0", 65)).empty());
        configuration.accounts[0].acceleratorQuota = 1'000;
        CPPUNIT_ASSERT(!reason(borrowed("j", "a0", 129)).empty());
    }

    // Guards against small jobs that use part of a free whole shape although a smaller remainder in another
    // rack has room for them.
    void testBorrowedWorkUsesRemaindersBeforeWholeShapes()
    {
        const Configuration configuration = configurationOf(uniformZone(2, 8), { 32 });
        ZoneInventory inventory = usableInventory(configuration.zones[0]);
        const auto hold = [&](const std::string& job, std::size_t rack, int workers) {
            Holding holding { .job = JobId(job) };
            for (int worker = 0; worker < workers; ++worker)
                holding.members.push_back({ inventory.workers()[rack * 8 + std::size_t(worker)].id, 8 });
            CPPUNIT_ASSERT(inventory.add(std::move(holding)));
        };
        hold("full", 0, 5); // 24 free: no whole shape
        hold("half", 1, 4); // 32 free
        const std::vector<QueuedJob> queue { { .specification = borrowed("small", "a0", 8) } };
        const LeastLostWorkReclaim reclaim;
        const PlacementPlan plan
            = GuaranteeAwarePlacement(reclaim).plan(inventory, configuration, queue, TimePoint {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.starts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), inventory.find(plan.starts[0].members.at(0).worker)->rack);
    }

    // Guards against moves that lose more work than the limit, or that free no room that the gang lacks.
    void testMoveThatMakesRoomForGangIsProposedOnlyBelowLimit()
    {
        ZoneInventory inventory = usableInventory(uniformZone(2, 2));
        CPPUNIT_ASSERT(inventory.add(
            { .job = JobId("long"), .members = { { WorkerId("r0w0"), 4 } }, .progress = hour }));
        CPPUNIT_ASSERT(inventory.add({ .job = JobId("saved"),
            .members = { { WorkerId("r1w0"), 4 } },
            .progress = hour,
            .checkpointed = hour - minute }));
        const auto move = DefragmentationPolicy(300).proposeForGang(inventory, 16);
        CPPUNIT_ASSERT(move && move->job == JobId("saved"));
        CPPUNIT_ASSERT_EQUAL(std::string("r0"), move->members.at(0).worker.value().substr(0, 2));
        CPPUNIT_ASSERT(!DefragmentationPolicy(240).proposeForGang(inventory, 16));
        CPPUNIT_ASSERT(!DefragmentationPolicy(300).proposeForGang(inventory, 12));
    }

    // Guards against moves that free no additional whole shape, lose more work than the limit, or move a job
    // again right after its start.
    void testMoveForWholeShapeIsProposedOnlyIfWorthwhile()
    {
        const TimePoint now = TimePoint {} + hour;
        const auto propose = [&](const char* fixedWorker, Milliseconds runTime, double limit) {
            ZoneInventory inventory = usableInventory(uniformZone(2, 4));
            CPPUNIT_ASSERT(inventory.add({ .job = JobId("fixed"),
                .jobClass = JobClass::Guaranteed,
                .members = { { WorkerId(fixedWorker), 6 } } }));
            CPPUNIT_ASSERT(inventory.add({ .job = JobId("small"),
                .members = { { WorkerId("r1w0"), 2 } },
                .startedAt = now - runTime,
                .progress = runTime }));
            return DefragmentationPolicy(limit).proposeForShape(inventory, 32, now);
        };
        const Milliseconds runTime
            = 10 * minute; // on 2 accelerators: loses 1,200 accelerator-seconds, and 60 for the move
        const auto move = propose("r0w0", runTime, 1'300);
        CPPUNIT_ASSERT(move && move->job == JobId("small"));
        CPPUNIT_ASSERT_EQUAL(std::string("r0"), move->members.at(0).worker.value().substr(0, 2));
        CPPUNIT_ASSERT(!propose("r0w0", runTime, 1'260)); // loses too much work
        CPPUNIT_ASSERT(!propose("r1w1", runTime, 1'300)); // gains nothing: it would break the shape in r0
        CPPUNIT_ASSERT(!propose("r0w0", 4 * minute, 1'300)); // started too recently
    }

    // Guards against sequences of starts, ends, worker deaths and claims after which a plan violates an
    // invariant.
    void testRandomHistoriesViolateNoInvariant()
    {
        int claimsStarted = 0;
        int naiveFaults = 0;
        for (unsigned seed = 1; seed <= 150; ++seed) {
            const auto [started, faults] = runHistory(seed);
            claimsStarted += started;
            naiveFaults += faults;
        }
        CPPUNIT_ASSERT(claimsStarted > 1'000);
        CPPUNIT_ASSERT(naiveFaults > 0); // the check detects the violations of first fit
    }

private:
    static void checkPlan(const ZoneInventory& inventory, const Configuration& configuration,
        std::span<const QueuedJob> queue, const PlacementPlan& plan)
    {
        for (const std::string& fault : planViolations(inventory, configuration, queue, plan, true))
            CPPUNIT_FAIL(fault);
    }

    // Number of one-minute steps until a gang of 128 runs in a zone of 256 accelerators that is full of small
    // jobs, with more of them queued at each step.
    static int stepsUntilGangRuns(const PlacementPolicy& policy, int limit)
    {
        std::mt19937 random(11);
        PlacementSimulation zone(policy, configurationOf(uniformZone(4, 8), { 0, 0, 0, 0 }));
        for (int step = 0, job = 0; step < limit; ++step) {
            for (int count = 0; count < 8; ++count, ++job) {
                const int declaredMinutes = 1 + static_cast<int>(random() % 4);
                JobSpecification small = borrowed(fmt::format("s{}", job), fmt::format("a{}", random() % 3),
                    1 + static_cast<int>(random() % 8), static_cast<int>(random() % 3));
                small.declaredRunTime = declaredMinutes * minute;
                zone.submit(small, 10 * small.declaredRunTime);
            }
            if (step == 30)
                zone.submit(borrowed("gang", "a3", 128, 1), hour);
            zone.step(minute);
            if (zone.isRunning(JobId("gang")))
                return step - 30;
        }
        return limit;
    }

    struct HistoryResult {
        int claimsStarted = 0;
        int naiveFaults = 0;
    };

    static Configuration randomConfiguration(std::mt19937& random)
    {
        const int racks = 2 + static_cast<int>(random() % 4);
        AvailabilityZoneConfiguration zone = uniformZone(racks, 2 + static_cast<int>(random() % 2), 4);
        const int rackSize = ZoneInventory(zone).rackSize();
        const std::vector<int> room(static_cast<std::size_t>(racks), rackSize);
        std::vector<int> guarantees(3);
        do {
            for (int& guarantee : guarantees)
                guarantee = 2 + static_cast<int>(random() % static_cast<unsigned>(rackSize + 3));
        } while (!packShapes(room, guarantees, rackSize));
        return configurationOf(std::move(zone), guarantees);
    }

    static JobSpecification randomJob(std::mt19937& random, const Configuration& configuration, int number)
    {
        const ClientAccountConfiguration& account
            = configuration.accounts[random() % configuration.accounts.size()];
        JobSpecification job = borrowed(fmt::format("j{}", number), account.id.value(),
            1 + static_cast<int>(random() % 14), static_cast<int>(random() % 4));
        job.adjacent = random() % 4 != 0;
        if (random() % 3 != 0)
            return job;
        // A claim below its guaranteed shape is certain to fit in one rack only if the shape does.
        const int shape = account.guarantees[0].accelerators;
        job.jobClass = JobClass::Guaranteed;
        job.accelerators = shape <= ZoneInventory(configuration.zones[0]).rackSize() && random() % 3 == 0
            ? 1 + static_cast<int>(random() % static_cast<unsigned>(shape))
            : shape;
        return job;
    }

    HistoryResult runHistory(unsigned seed) const
    {
        std::mt19937 random(seed);
        PlacementSimulation zone(m_policy, randomConfiguration(random));
        HistoryResult result;
        for (int step = 0; step < 60; ++step) {
            for (unsigned count = random() % 4; count > 0; --count) {
                zone.submit(randomJob(random, zone.configuration(), step * 10 + static_cast<int>(count)),
                    static_cast<int>(1 + random() % 15) * minute);
            }
            const auto workers = zone.inventory().workers();
            zone.inventory().setUsable(workers[random() % workers.size()].id, random() % 8 != 0);
            const Milliseconds duration = random() % 10 ? minute : hour;
            const FirstFitPlacement naive;
            const PlacementPlan naivePlan
                = naive.plan(zone.inventory(), zone.configuration(), zone.queue(), zone.now());
            result.naiveFaults
                += planViolations(zone.inventory(), zone.configuration(), zone.queue(), naivePlan, true)
                       .empty()
                ? 0
                : 1;
            const PlacementPlan checked
                = m_policy.plan(zone.inventory(), zone.configuration(), zone.queue(), zone.now());
            for (const std::string& fault :
                planViolations(zone.inventory(), zone.configuration(), zone.queue(), checked, true))
                CPPUNIT_FAIL(fmt::format("seed {} step {}: {}", seed, step, fault));
            for (const PlacementStart& start : zone.step(duration).starts)
                result.claimsStarted += zone.isRunning(start.job)
                    && zone.inventory().find(start.job)->jobClass == JobClass::Guaranteed;
        }
        return result;
    }

    LeastLostWorkReclaim m_reclaim;
    GuaranteeAwarePlacement m_policy { m_reclaim };
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace anvilmoor
