#include "configuration/configuration_manager.h"
#include "configuration/declaration.h"
#include "membership/peer_registry.h"
#include "model/table_store.h"
#include "support/test_document.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace anvilmoor {

namespace {

enum class TableFault { None, Unavailable, ReplyLost, WriteAndReplyLost };

// A configuration manager that uses a shared table. Only advance() moves the time.
class TestDaemon {
public:
    TestDaemon(standin::TableStore& table, const std::string& host)
        : m_table(table)
        , m_settings { HostId(host), AvailabilityZoneId("north"),
            { { HostId("neighbour"), AvailabilityZoneId("north") },
                { HostId("far"), AvailabilityZoneId("south") } },
            1 }
        , peers(m_settings)
        , manager(m_settings, peers)
    {
    }

    template <typename EventType> void apply(const EventType& event)
    {
        const Event envelope { m_now, WallTime {}, 0, ++m_random, {} };
        std::vector<Effect> effects;
        Step step(envelope, effects);
        // The reducer passes a heartbeat to the peer registry first.
        if constexpr (std::is_same_v<EventType, PeerHeartbeat>)
            peers.handle(event.host, event, step);
        manager.handle(event, step);
        m_pending.insert(m_pending.end(), effects.begin(), effects.end());
    }

    // Executes all pending table effects with the given fault and applies the replies. Collects all other
    // effects.
    void run(TableFault fault = TableFault::None)
    {
        while (!m_pending.empty()) {
            Effect effect = m_pending.front();
            m_pending.erase(m_pending.begin());
            if (const auto* read = std::get_if<ReadTable>(&effect))
                apply(TableReplied { read->operation,
                    fault == TableFault::Unavailable ? TableReply { TableStatus::Unavailable, {} }
                                                     : m_table.read(read->read) });
            else if (const auto* transaction = std::get_if<ExecuteTransaction>(&effect))
                apply(TableReplied { transaction->operation, execute(transaction->transaction, fault) });
            else
                otherEffects.push_back(std::move(effect));
        }
    }

    // Executes table reads up to the first transaction, which stays pending. Drops all other effects.
    void runUntilTransaction()
    {
        while (!m_pending.empty() && !std::holds_alternative<ExecuteTransaction>(m_pending.front())) {
            Effect effect = m_pending.front();
            m_pending.erase(m_pending.begin());
            if (const auto* read = std::get_if<ReadTable>(&effect))
                apply(TableReplied { read->operation, m_table.read(read->read) });
        }
    }

    void advance(Milliseconds duration) { m_now += duration; }

    std::optional<Refusal> refusal() const
    {
        for (const Effect& effect : otherEffects) {
            const auto* answer = std::get_if<AnswerOperator>(&effect);
            if (answer && std::holds_alternative<Refusal>(answer->answer))
                return std::get<Refusal>(answer->answer);
        }
        return {};
    }

    std::optional<ConfigurationVersion> acceptedVersion() const
    {
        for (const Effect& effect : otherEffects) {
            const auto* answer = std::get_if<AnswerOperator>(&effect);
            if (answer && std::holds_alternative<ConfigurationAnswer>(answer->answer))
                return std::get<ConfigurationAnswer>(answer->answer).version;
        }
        return {};
    }

    template <typename EffectType> std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(otherEffects.begin(), otherEffects.end(),
            [](const Effect& effect) { return std::holds_alternative<EffectType>(effect); }));
    }

private:
    TableReply execute(const TableTransaction& transaction, TableFault fault)
    {
        if (fault == TableFault::Unavailable)
            return { TableStatus::Unavailable, {} };
        if (fault == TableFault::WriteAndReplyLost)
            return { TableStatus::Unknown, {} };
        TableReply reply = m_table.execute(transaction);
        return fault == TableFault::ReplyLost ? TableReply { TableStatus::Unknown, {} } : reply;
    }

    standin::TableStore& m_table;
    DaemonSettings m_settings;
    TimePoint m_now {};
    std::uint64_t m_random = 7;
    std::vector<Effect> m_pending;

public:
    PeerRegistry peers;
    ConfigurationManager manager;
    std::vector<Effect> otherEffects;
};

std::string documentWithLimit(double limit)
{
    nlohmann::json document = nlohmann::json::parse(test::testDocument());
    document["room"]["limit_db"] = limit;
    return document.dump();
}

} // namespace

class ConfigurationManagerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationManagerTest);
    CPPUNIT_TEST(testAcceptedChangeIsPushedAndAdopted);
    CPPUNIT_TEST(testSecondOfTwoConcurrentChangesIsRefusedWithDifferences);
    CPPUNIT_TEST(testLostReplyAfterCommitIsAcceptedOnce);
    CPPUNIT_TEST(testLostWriteIsRetried);
    CPPUNIT_TEST(testUnavailableTableRefusesChangeAsUnavailableNotUnknown);
    CPPUNIT_TEST(testLowerVersionFromStalePeerIsIgnored);
    CPPUNIT_TEST(testPeerWithLowerVersionGetsOnePushPerInterval);
    CPPUNIT_TEST(testDaemonWithoutTableIsReadyOnlyWithReadyNeighbour);
    CPPUNIT_TEST(testInvalidDocumentIsRefusedWithField);
    CPPUNIT_TEST(testVersionWaitsUntilNeighbourHoldsIt);
    CPPUNIT_TEST(testVersionFromTableWaitsForNeighbourAfterStart);
    CPPUNIT_TEST(testNeighbourThatAcceptsNoVersionDelaysItForBoundedTime);
    CPPUNIT_TEST(testUnreadableVersionIsKeptForPeers);
    CPPUNIT_TEST_SUITE_END();

public:
    void testAcceptedChangeIsPushedAndAdopted()
    {
        auto daemonOwner = startDaemon();
        TestDaemon& daemon = *daemonOwner;
        daemon.apply(ConfigurationSubmitted { 1, documentWithLimit(59), 0 });
        daemon.run();
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 1 }, daemon.acceptedVersion().value_or(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, daemon.count<SendToAllPeers>());
        CPPUNIT_ASSERT_EQUAL(59.0, daemon.manager.current()->zones.front().room.limitDb);
    }

    // Guards against a lost update: both changes are based on version 1, and the second must not overwrite
    // the first.
    void testSecondOfTwoConcurrentChangesIsRefusedWithDifferences()
    {
        auto firstOwner = startDaemon();
        TestDaemon& first = *firstOwner;
        auto secondOwner = startDaemon();
        TestDaemon& second = *secondOwner;
        first.apply(ConfigurationSubmitted { 1, documentWithLimit(59), 0 });
        first.run();
        first.otherEffects.clear();

        first.apply(ConfigurationSubmitted { 2, documentWithLimit(60), 1 });
        second.apply(ConfigurationSubmitted { 3, documentWithLimit(61), 1 });
        second.runUntilTransaction();
        first.run();
        second.run();
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 2 }, first.acceptedVersion().value_or(0));
        const std::optional<Refusal> refusal = second.refusal();
        CPPUNIT_ASSERT(refusal && refusal->kind == RefusalKind::Conflict);
        CPPUNIT_ASSERT_EQUAL(
            std::string("changed since: room.limit_db: 59.0 -> 60.0"), refusal->reasons.at(1));
        CPPUNIT_ASSERT_EQUAL(60.0, second.manager.current()->zones.front().room.limitDb);
    }

    void testLostReplyAfterCommitIsAcceptedOnce()
    {
        auto daemonOwner = startDaemon();
        TestDaemon& daemon = *daemonOwner;
        daemon.apply(ConfigurationSubmitted { 1, documentWithLimit(59), 0 });
        daemon.run(TableFault::ReplyLost);
        daemon.advance(Milliseconds(300));
        daemon.apply(Tick {});
        daemon.run();
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 1 }, daemon.acceptedVersion().value_or(0));
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 1 }, daemon.manager.version());
    }

    void testLostWriteIsRetried()
    {
        auto daemonOwner = startDaemon();
        TestDaemon& daemon = *daemonOwner;
        daemon.apply(ConfigurationSubmitted { 1, documentWithLimit(59), 0 });
        daemon.run(TableFault::WriteAndReplyLost);
        daemon.advance(Milliseconds(300));
        daemon.apply(Tick {});
        daemon.run();
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 1 }, daemon.acceptedVersion().value_or(0));
    }

    void testUnavailableTableRefusesChangeAsUnavailableNotUnknown()
    {
        auto daemonOwner = startDaemon();
        TestDaemon& daemon = *daemonOwner;
        daemon.apply(ConfigurationSubmitted { 1, documentWithLimit(59), 0 });
        for (int round = 0; round < 60; ++round) {
            daemon.run(TableFault::Unavailable);
            daemon.advance(Milliseconds(300));
            daemon.apply(Tick {});
        }
        CPPUNIT_ASSERT(daemon.refusal() && daemon.refusal()->kind == RefusalKind::Unavailable);
    }

    void testLowerVersionFromStalePeerIsIgnored()
    {
        auto daemonOwner = startDaemon();
        TestDaemon& daemon = *daemonOwner;
        daemon.apply(ConfigurationPush { 5, documentWithLimit(59) });
        daemon.apply(ConfigurationPush { 4, documentWithLimit(60) });
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 5 }, daemon.manager.version());
        CPPUNIT_ASSERT_EQUAL(59.0, daemon.manager.current()->zones.front().room.limitDb);
    }

    // Guards against excessive traffic: without a limit, every heartbeat of a peer that stays behind (one per
    // 500 ms) would trigger a push of the whole document.
    void testPeerWithLowerVersionGetsOnePushPerInterval()
    {
        auto daemonOwner = startDaemon();
        TestDaemon& daemon = *daemonOwner;
        daemon.apply(ConfigurationPush { 5, documentWithLimit(59) });
        PeerHeartbeat behind;
        behind.host = HostId("neighbour");
        daemon.apply(behind);
        daemon.apply(behind);
        daemon.run();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, daemon.count<SendToPeer>());
    }

    // Guards against serving with an old version after a restart in a zone that cannot reach the platform.
    void testDaemonWithoutTableIsReadyOnlyWithReadyNeighbour()
    {
        TestDaemon daemon(m_table, "a");
        daemon.apply(Started {});
        daemon.run(TableFault::Unavailable);
        daemon.apply(ConfigurationPush { 5, documentWithLimit(59) });
        CPPUNIT_ASSERT(!daemon.manager.isReady());
        sendHeartbeat(daemon, "far", "south", 5);
        CPPUNIT_ASSERT(!daemon.manager.isReady());
        sendHeartbeat(daemon, "neighbour", "north", 5);
        CPPUNIT_ASSERT(daemon.manager.isReady());
        sendHeartbeat(daemon, "far", "south", 6);
        CPPUNIT_ASSERT(!daemon.manager.isReady());
    }

    void testInvalidDocumentIsRefusedWithField()
    {
        auto daemonOwner = startDaemon();
        TestDaemon& daemon = *daemonOwner;
        daemon.apply(ConfigurationSubmitted { 1, R"({"deployment":"x","surprise":1})", 0 });
        daemon.run();
        CPPUNIT_ASSERT(daemon.refusal() && daemon.refusal()->kind == RefusalKind::Invalid);
        CPPUNIT_ASSERT_EQUAL(std::string("surprise: is not a known field"), daemon.refusal()->reasons.at(0));
    }

    // Guards against a return to an older version: if only one daemon holds the version in force and dies,
    // the version is lost.
    void testVersionWaitsUntilNeighbourHoldsIt()
    {
        auto daemonOwner = startDaemon();
        TestDaemon& daemon = *daemonOwner;
        sendHeartbeat(daemon, "neighbour", "north", 0);
        sendHeartbeat(daemon, "far", "south", 0);
        daemon.apply(ConfigurationSubmitted { 1, documentWithLimit(59), 0 });
        daemon.run();
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 1 }, daemon.manager.knownVersion());
        sendHeartbeat(daemon, "far", "south", 0, 1);
        daemon.run();
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 0 }, daemon.manager.version());
        CPPUNIT_ASSERT(!daemon.acceptedVersion());
        sendHeartbeat(daemon, "neighbour", "north", 0, 1);
        daemon.run();
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 1 }, daemon.manager.version());
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 1 }, daemon.acceptedVersion().value_or(0));
    }

    // Guards against a daemon that has just startDaemon and treats a neighbour as down before the neighbour's
    // first heartbeat.
    void testVersionFromTableWaitsForNeighbourAfterStart()
    {
        auto firstOwner = startDaemon();
        firstOwner->apply(ConfigurationSubmitted { 1, documentWithLimit(59), 0 });
        firstOwner->run();
        TestDaemon daemon(m_table, "a");
        daemon.apply(Started {});
        daemon.run();
        CPPUNIT_ASSERT(!daemon.manager.isReady());
        // A peer of an earlier release reports only its version in force.
        sendHeartbeat(daemon, "neighbour", "north", 1);
        CPPUNIT_ASSERT(daemon.manager.isReady());
    }

    // Guards against exceeding the bound of 3 s if the neighbour's release cannot read the version.
    void testNeighbourThatAcceptsNoVersionDelaysItForBoundedTime()
    {
        auto daemonOwner = startDaemon();
        TestDaemon& daemon = *daemonOwner;
        sendHeartbeat(daemon, "neighbour", "north", 0);
        daemon.apply(ConfigurationPush { 1, documentWithLimit(59) });
        daemon.advance(Milliseconds(1'000));
        daemon.apply(ConfigurationPush { 2, documentWithLimit(60) });
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 0 }, daemon.manager.version());
        daemon.advance(Milliseconds(500));
        daemon.apply(Tick {});
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 2 }, daemon.manager.version());
    }

    // Guards against losing a version because the only other daemon that received it has an earlier release
    // and cannot read it.
    void testUnreadableVersionIsKeptForPeers()
    {
        auto daemonOwner = startDaemon();
        TestDaemon& daemon = *daemonOwner;
        daemon.apply(ConfigurationPush { 1, documentWithLimit(59) });
        daemon.apply(ConfigurationPush { 2, R"({"deployment":"x","surprise":1})" });
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 1 }, daemon.manager.version());
        sendHeartbeat(daemon, "neighbour", "north", 1);
        daemon.run();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, daemon.count<SendToPeer>());
        const auto push
            = std::get<ConfigurationPush>(std::get<SendToPeer>(daemon.otherEffects.back()).message);
        CPPUNIT_ASSERT_EQUAL(ConfigurationVersion { 2 }, push.version);
    }

private:
    // A daemon whose neighbour is down. It is allocated on the heap because the manager holds references to
    // the settings and the peers next to it.
    std::unique_ptr<TestDaemon> startDaemon()
    {
        auto daemon = std::make_unique<TestDaemon>(m_table, "host" + std::to_string(++m_hosts));
        daemon->apply(Started {});
        daemon->run();
        daemon->advance(Milliseconds(2'000));
        return daemon;
    }

    static void sendHeartbeat(TestDaemon& daemon, const std::string& host, const std::string& zone,
        ConfigurationVersion version, ConfigurationVersion known = 0)
    {
        PeerHeartbeat heartbeat;
        heartbeat.host = HostId(host);
        heartbeat.zone = AvailabilityZoneId(zone);
        heartbeat.incarnation = 9;
        heartbeat.isReady = true;
        heartbeat.configurationVersion = version;
        heartbeat.knownConfigurationVersion = known;
        daemon.apply(heartbeat);
    }

    standin::TableStore m_table;
    int m_hosts = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationManagerTest);

} // namespace anvilmoor
