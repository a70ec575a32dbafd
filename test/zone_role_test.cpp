#include "support/zone_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::test {

namespace {

bool writesOwnerRow(const TableTransaction& transaction)
{
    return transaction.writes.front().key == "role/enns/owner";
}

FencingToken tokenOf(const ZoneSimulation& zone, std::size_t daemon)
{
    return zone.daemons[daemon]->role->held(zone.now)->token;
}

} // namespace

class ZoneRoleTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ZoneRoleTest);
    CPPUNIT_TEST(testHolderPausedBeyondExpiryResumesAsStandby);
    CPPUNIT_TEST(testTakeOverWithLostReplyIsDetectedByRead);
    CPPUNIT_TEST(testDelayedTakeOverWriteGivesOneHolder);
    CPPUNIT_TEST(testHolderKeepsRoleIfRenewalRepliesAreLost);
    CPPUNIT_TEST(testHolderStopsActingThreeSecondsAfterItSentItsLastRenewal);
    CPPUNIT_TEST(testReleasedRoleIsTakenOverBeforeExpiry);
    CPPUNIT_TEST(testReleaseCompletesIfTableIsUnreachable);
    CPPUNIT_TEST(testCaretakerOnlyWhilePlatformAndHolderAreUnreachable);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a holder that, after a pause longer than its lease, still uses a role that another
    // daemon has taken over, or regains it without a takeover.
    void testHolderPausedBeyondExpiryResumesAsStandby()
    {
        ZoneSimulation zone(2);
        zone.run(Milliseconds(3'000));
        const std::size_t first = zone.holder().value();
        const FencingToken token = tokenOf(zone, first);
        zone.pause(first);
        CPPUNIT_ASSERT(zone.runUntil([&] { return zone.holder().has_value(); }, Milliseconds(7'000)));
        CPPUNIT_ASSERT_EQUAL(1 - first, zone.holder().value());
        CPPUNIT_ASSERT_EQUAL(token + 1, tokenOf(zone, 1 - first));
        zone.resume(first);
        CPPUNIT_ASSERT(!zone.daemons[first]->role->held(zone.now));
        zone.run(Milliseconds(10'000));
        CPPUNIT_ASSERT(!zone.daemons[first]->role->held(zone.now));
        CPPUNIT_ASSERT_EQUAL(token + 1, tokenOf(zone, 1 - first));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zone.countRecords("role.lost"));
    }

    // Guards against a role that stays unused because the reply to the takeover was lost and the daemon does
    // not notice that it holds the role.
    void testTakeOverWithLostReplyIsDetectedByRead()
    {
        ZoneSimulation zone(1);
        int ownerRowWrites = 0;
        zone.writeFault = [&](std::size_t, const TableTransaction& write) {
            return writesOwnerRow(write) && ++ownerRowWrites == 1 ? Fault::LoseReply : Fault::None;
        };
        zone.run(Milliseconds(3'000));
        CPPUNIT_ASSERT_EQUAL(1, ownerRowWrites);
        CPPUNIT_ASSERT_EQUAL(FencingToken(1), tokenOf(zone, 0));
    }

    // Guards against two holders, or a token that increases twice, when a takeover takes effect only after
    // the daemon has read the rows again.
    void testDelayedTakeOverWriteGivesOneHolder()
    {
        ZoneSimulation zone(2);
        int ownerRowWrites = 0;
        zone.writeFault = [&](std::size_t, const TableTransaction& write) {
            return writesOwnerRow(write) && ++ownerRowWrites <= 2 ? Fault::LoseRequest : Fault::None;
        };
        for (int i = 0; i < 200; ++i) {
            zone.tick();
            const bool doBothHoldRole
                = zone.daemons[0]->role->held(zone.now) && zone.daemons[1]->role->held(zone.now);
            CPPUNIT_ASSERT(!doBothHoldRole);
        }
        CPPUNIT_ASSERT(zone.holder());
        CPPUNIT_ASSERT_EQUAL(FencingToken(1), tokenOf(zone, *zone.holder()));
    }

    // Guards against a holder that loses the role although only the replies to its renewals are lost.
    void testHolderKeepsRoleIfRenewalRepliesAreLost()
    {
        ZoneSimulation zone(2);
        zone.run(Milliseconds(2'000));
        const std::size_t first = zone.holder().value();
        zone.writeFault = [](std::size_t, const TableTransaction&) { return Fault::LoseReply; };
        for (int i = 0; i < 400; ++i) {
            zone.tick();
            CPPUNIT_ASSERT(zone.daemons[first]->role->held(zone.now));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), zone.countRecords("role.acquired"));
    }

    // Guards against a role use time-out that starts at the reply instead of the send time: after a slow
    // reply, the holder would still act when the lease has expired.
    void testHolderStopsActingThreeSecondsAfterItSentItsLastRenewal()
    {
        FakePeers peers;
        const DaemonSettings settings { HostId("host0"), AvailabilityZoneId("enns"), {}, 7 };
        ZoneRole role(settings, peers);
        standin::TableStore table;
        std::vector<Effect> effects;
        Event event { TimePoint(Milliseconds(1'000)), {}, 0, 1, Started {} };
        const auto replyAt = [&](TimePoint when) {
            const auto* read = std::get_if<ReadTable>(&effects.back());
            const auto* write = std::get_if<ExecuteTransaction>(&effects.back());
            CPPUNIT_ASSERT(read || write);
            const TableReplied replied = read
                ? TableReplied { read->operation, table.read(read->read) }
                : TableReplied { write->operation, table.execute(write->transaction) };
            event.now = when;
            Step step(event, effects);
            role.handle(replied, step);
        };
        Step started(event, effects);
        role.handle(Started {}, started);
        event.now += Milliseconds(600);
        Step ticked(event, effects);
        role.handle(Tick {}, ticked);
        const TimePoint sentAt = event.now;
        replyAt(sentAt); // replies to the read; the takeover is sent at once
        replyAt(sentAt + Milliseconds(2'900));
        CPPUNIT_ASSERT(role.held(sentAt + Milliseconds(3'000)));
        CPPUNIT_ASSERT(!role.held(sentAt + Milliseconds(3'001)));
    }

    // Guards against a planned shutdown that leaves the zone without a holder until the lease expires, also
    // if the reply to the release is lost.
    void testReleasedRoleIsTakenOverBeforeExpiry()
    {
        ZoneSimulation zone(2);
        zone.run(Milliseconds(3'000));
        const std::size_t first = zone.holder().value();
        bool isReleaseLost = false;
        zone.writeFault = [&](std::size_t, const TableTransaction& write) {
            return writesOwnerRow(write) && !std::exchange(isReleaseLost, true) ? Fault::LoseReply
                                                                                : Fault::None;
        };
        std::vector<Effect> effects;
        const Event event { zone.now, {}, 0, 1, ShutdownRequested {} };
        Step step(event, effects);
        zone.daemons[first]->role->release(step);
        CPPUNIT_ASSERT(!zone.daemons[first]->role->held(zone.now));
        // release() is called outside the event queue, so the test executes its effects.
        for (const Effect& effect : effects) {
            if (const auto* write = std::get_if<ExecuteTransaction>(&effect)) {
                static_cast<void>(zone.table.execute(write->transaction));
                zone.deliver(first, TableReplied { write->operation, { TableStatus::Unknown, {} } });
            }
        }
        isReleaseLost = true;
        CPPUNIT_ASSERT(zone.runUntil([&] { return zone.holder() == 1 - first; }, Milliseconds(2'000)));
        CPPUNIT_ASSERT(zone.daemons[first]->role->isReleased());
    }

    // Guards against a daemon that never stops because the table is unreachable.
    void testReleaseCompletesIfTableIsUnreachable()
    {
        ZoneSimulation zone(1);
        zone.run(Milliseconds(2'000));
        zone.isTableDown = true;
        std::vector<Effect> effects;
        const Event event { zone.now, {}, 0, 1, ShutdownRequested {} };
        Step step(event, effects);
        zone.daemons[0]->role->release(step);
        zone.run(Milliseconds(3'500));
        CPPUNIT_ASSERT(zone.daemons[0]->role->isReleased());
    }

    // Guards against task leases that no daemon renews while the zone is cut off from the platform, and
    // against a caretaker beside a holder.
    void testCaretakerOnlyWhilePlatformAndHolderAreUnreachable()
    {
        ZoneSimulation zone(2);
        zone.run(Milliseconds(3'000));
        const std::size_t first = zone.holder().value();
        CPPUNIT_ASSERT(!zone.daemons[1 - first]->role->isCaretaker(zone.now));
        zone.isTableDown = true;
        zone.run(Milliseconds(6'000));
        CPPUNIT_ASSERT(zone.daemons[0]->role->isCaretaker(zone.now));
        CPPUNIT_ASSERT(zone.daemons[1]->role->isCaretaker(zone.now));
        zone.isTableDown = false;
        zone.run(Milliseconds(6'000));
        CPPUNIT_ASSERT(zone.holder());
        CPPUNIT_ASSERT(!zone.daemons[0]->role->isCaretaker(zone.now));
        CPPUNIT_ASSERT(!zone.daemons[1]->role->isCaretaker(zone.now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneRoleTest);

} // namespace anvilmoor::test
