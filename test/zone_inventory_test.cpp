#include "placement/zone_inventory.h"
#include "support/zone_builder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>
#include <vector>

namespace anvilmoor {

class ZoneInventoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ZoneInventoryTest);
    CPPUNIT_TEST(testBookingBeyondWorkerCapacityBooksNothing);
    CPPUNIT_TEST(testRackSumsEqualDirectSumsAfterRandomChanges);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a partially booked gang: two members on the same worker fit there one by one, but not
    // together.
    void testBookingBeyondWorkerCapacityBooksNothing()
    {
        ZoneInventory inventory = emptyInventory();
        const GangMember half { m_workerIds[0], 5 };
        CPPUNIT_ASSERT(!inventory.add({ .job = JobId("j"), .members = { half, half } }));
        CPPUNIT_ASSERT(!inventory.add({ .job = JobId("j"), .members = { half, { WorkerId("none"), 1 } } }));
        CPPUNIT_ASSERT(!inventory.add({ .job = JobId("j"), .members = {} }));
        CPPUNIT_ASSERT_EQUAL(0, inventory.workers()[0].held);
        CPPUNIT_ASSERT(inventory.add({ .job = JobId("j"), .members = { half } }));
        CPPUNIT_ASSERT(!inventory.add({ .job = JobId("j"), .members = { { m_workerIds[1], 1 } } }));
        CPPUNIT_ASSERT_EQUAL(0, inventory.workers()[1].held);
    }

    // Guards against rack and worker sums that drift when workers become unusable and usable again while jobs
    // run on them.
    void testRackSumsEqualDirectSumsAfterRandomChanges()
    {
        std::mt19937 random(20'261'204);
        ZoneInventory inventory = emptyInventory();
        for (int step = 0; step < 3'000; ++step) {
            const JobId job(fmt::format("j{}", random() % 20));
            const WorkerId& first = m_workerIds[random() % m_workerIds.size()];
            const WorkerId& second = m_workerIds[random() % m_workerIds.size()];
            switch (random() % 5) {
            case 0:
                (void)inventory.add({ .job = job,
                    .account = ClientAccountId(fmt::format("a{}", random() % 3)),
                    .jobClass = random() % 2 ? JobClass::Guaranteed : JobClass::Borrowed,
                    .members = { { first, 1 + int(random() % 8) }, { second, 1 + int(random() % 4) } } });
                break;
            case 1:
                inventory.remove(job);
                break;
            case 2:
                inventory.setThrottled(job, random() % 2);
                break;
            case 3:
                inventory.setLeaving(job);
                inventory = ZoneInventory(inventory); // a copy must not refer to the original's holdings
                break;
            default:
                inventory.setUsable(first, random() % 2);
            }
            checkSums(inventory);
        }
    }

private:
    ZoneInventory emptyInventory()
    {
        const AvailabilityZoneConfiguration zone = uniformZone(3, 4);
        m_workerIds.clear();
        for (const RackConfiguration& rack : zone.racks) {
            for (const WorkerConfiguration& worker : rack.workers)
                m_workerIds.push_back(worker.id);
        }
        return ZoneInventory(zone);
    }

    static void checkSums(const ZoneInventory& inventory)
    {
        std::map<WorkerId, int> held;
        std::map<WorkerId, int> guaranteed;
        std::map<WorkerId, int> throttled;
        std::map<WorkerId, int> leaving;
        std::map<ClientAccountId, int> accounts;
        for (const auto& [job, holding] : inventory.holdings()) {
            for (const GangMember& member : holding.members) {
                held[member.worker] += member.accelerators;
                accounts[holding.account] += member.accelerators;
                throttled[member.worker] += holding.isThrottled ? member.accelerators : 0;
                const bool isBorrowed = holding.jobClass == JobClass::Borrowed;
                leaving[member.worker] += holding.isLeaving && isBorrowed ? member.accelerators : 0;
                if (holding.jobClass == JobClass::Guaranteed)
                    guaranteed[member.worker] += member.accelerators;
            }
        }
        for (int account = 0; account < 3; ++account) {
            const ClientAccountId id(fmt::format("a{}", account));
            CPPUNIT_ASSERT_EQUAL(accounts[id], inventory.heldBy(id));
        }
        for (const RackCapacity& rack : inventory.racks()) {
            RackCapacity expected;
            for (std::size_t index = rack.firstWorker; index < rack.firstWorker + rack.workerCount; ++index) {
                const WorkerCapacity& worker = inventory.workers()[index];
                CPPUNIT_ASSERT_EQUAL(held[worker.id], worker.held);
                int used = 0;
                for (const WorkerUse& use : inventory.usesOf(index))
                    used += inventory.find(use.holding->job) == use.holding ? use.accelerators : 0;
                CPPUNIT_ASSERT_EQUAL(worker.held, used);
                CPPUNIT_ASSERT_EQUAL(throttled[worker.id], worker.heldByThrottled);
                CPPUNIT_ASSERT_EQUAL(leaving[worker.id], worker.heldByLeaving);
                if (!worker.isUsable)
                    continue;
                expected.free += worker.accelerators - held[worker.id];
                expected.freeIfEvicted += worker.accelerators - guaranteed[worker.id];
                expected.accelerators += worker.accelerators;
            }
            CPPUNIT_ASSERT_EQUAL(expected.free, rack.free);
            CPPUNIT_ASSERT_EQUAL(expected.freeIfEvicted, rack.freeIfEvicted);
            CPPUNIT_ASSERT_EQUAL(expected.accelerators, rack.accelerators);
        }
    }

    std::vector<WorkerId> m_workerIds;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneInventoryTest);

} // namespace anvilmoor
