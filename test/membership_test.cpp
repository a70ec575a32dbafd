#include "membership/membership.h"

#include "model/table_store.h"
#include "support/request_site.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace anvilmoor {

class MembershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(testHostMissingFromTwoListsIsLost);
    CPPUNIT_TEST(testEmptyHostListIsIgnored);
    CPPUNIT_TEST(testLeavingTakesPrecedenceOverOwnObservation);
    CPPUNIT_TEST(testConsecutiveFailedCallsMakeEndpointSuspectUntilSuccess);
    CPPUNIT_TEST(testRackSyncResultsExpireWithoutFurtherSyncs);
    CPPUNIT_TEST(testConcurrentDrainsByTwoOperatorsBothSucceed);
    CPPUNIT_TEST(testLostDrainReplyIsResolvedByRead);
    CPPUNIT_TEST(testOperatorIsAnsweredInTimeWhileTableIsDown);
    CPPUNIT_TEST(testOlderDrainsAreIgnored);
    CPPUNIT_TEST(testPeerWithLowerDrainVersionGetsDrainsAgain);
    CPPUNIT_TEST_SUITE_END();

    struct Daemon {
        explicit Daemon(const ConfigurationView& configuration)
            : membership(settings, configuration)
        {
        }
        DaemonSettings settings;
        Membership membership;
        std::deque<Effect> effects; // not executed yet
    };

    testing::FixedConfiguration m_configuration;
    standin::TableStore m_store;
    TimePoint m_now { Seconds(10) };
    const EndpointId m_endpoint { "intake@thumb-0" };
    const EndpointId m_otherEndpoint { "intake@thumb-1" };

    template <typename Function> void runStep(Daemon& daemon, Function function)
    {
        std::vector<Effect> effects;
        const Event event { m_now, {}, 0, 1, Tick {} };
        Step step(event, effects);
        function(step);
        for (Effect& effect : effects)
            daemon.effects.push_back(std::move(effect));
    }

    template <typename Event> void handle(Daemon& daemon, const Event& event)
    {
        runStep(daemon, [&](Step& step) { daemon.membership.handle(event, step); });
    }

    // Executes the next table operation and handles its reply. If `status` is given, it replaces the reply's
    // status and rows. A write takes effect only if `isApplied` is set.
    void executeNextOperation(Daemon& daemon, std::optional<TableStatus> status = {}, bool isApplied = true)
    {
        while (!daemon.effects.empty()) {
            const Effect effect = std::move(daemon.effects.front());
            daemon.effects.pop_front();
            TableReplied reply;
            if (const auto* read = std::get_if<ReadTable>(&effect)) {
                reply = { read->operation, m_store.read(read->read) };
            } else if (const auto* write = std::get_if<ExecuteTransaction>(&effect)) {
                reply.operation = write->operation;
                if (isApplied)
                    reply.reply = m_store.execute(write->transaction);
            } else {
                if (const auto* answer = std::get_if<AnswerOperator>(&effect))
                    answers[answer->caller] = *answer;
                if (const auto* push = std::get_if<SendToAllPeers>(&effect))
                    pushes.push_back(std::get<DrainPush>(push->message));
                continue;
            }
            if (status)
                reply.reply = { *status, {} };
            handle(daemon, reply);
            return;
        }
    }

    void executeOperations(Daemon& daemon)
    {
        for (int operation = 0; operation < 20; ++operation)
            executeNextOperation(daemon);
    }

    EndpointState state(const Daemon& daemon, std::size_t worker = 0)
    {
        return daemon.membership.endpoints(ServiceId("intake"))[worker].state;
    }

    HostListReceived hostList(std::initializer_list<int> workers, HostState first = HostState::Live) const
    {
        HostListReceived event;
        for (const int worker : workers) {
            event.hosts.push_back({ "thumb-" + std::to_string(worker), AvailabilityZoneId("thumb"),
                worker == 0 ? first : HostState::Live });
        }
        return event;
    }

    std::unique_ptr<Daemon> startDaemon()
    {
        auto daemon = std::make_unique<Daemon>(m_configuration);
        runStep(*daemon, [&](Step& step) { daemon->membership.onConfigurationAdopted(step); });
        return daemon;
    }

    bool isDrainAccepted(CallerHandle caller) const
    {
        return answers.contains(caller) && std::holds_alternative<DrainAnswer>(answers.at(caller).answer);
    }

    RefusalKind refusalKind(CallerHandle caller) const
    {
        CPPUNIT_ASSERT(answers.contains(caller));
        return std::get<Refusal>(answers.at(caller).answer).kind;
    }

    std::map<CallerHandle, AnswerOperator> answers;
    std::vector<DrainPush> pushes;

public:
    void setUp() override { m_configuration.configuration = testing::requestConfiguration({ "thumb" }, 3); }

    void testHostMissingFromTwoListsIsLost()
    {
        const auto daemon = startDaemon();
        handle(*daemon, hostList({ 0, 1 }));
        handle(*daemon, hostList({ 1 }));
        CPPUNIT_ASSERT(state(*daemon, 0) == EndpointState::Live);
        handle(*daemon, hostList({ 1 }));
        CPPUNIT_ASSERT(state(*daemon, 0) == EndpointState::Lost);
        CPPUNIT_ASSERT(state(*daemon, 2) == EndpointState::Live); // never seen
        handle(*daemon, hostList({ 0, 1 }));
        CPPUNIT_ASSERT(state(*daemon, 0) == EndpointState::Live);
    }

    // Guards against a platform fault: without this rule, empty host lists would make all workers lost.
    void testEmptyHostListIsIgnored()
    {
        const auto daemon = startDaemon();
        handle(*daemon, hostList({ 0, 1, 2 }));
        for (int count = 0; count < 5; ++count) {
            handle(*daemon, HostListReceived {});
            handle(*daemon, HostListFailed {});
        }
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Live);
    }

    void testLeavingTakesPrecedenceOverOwnObservation()
    {
        const auto daemon = startDaemon();
        handle(*daemon, hostList({ 0, 1, 2 }, HostState::Leaving));
        runStep(*daemon, [&](Step& step) { daemon->membership.onEndpointSuccess(m_endpoint, step); });
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Leaving);
        CPPUNIT_ASSERT(daemon->membership.workerState(WorkerId("thumb-0")) == EndpointState::Leaving);
        handle(*daemon, DrainPush { 3, { m_otherEndpoint } });
        handle(*daemon, hostList({ 0, 1, 2 }));
        CPPUNIT_ASSERT(state(*daemon, 0) == EndpointState::Live);
        CPPUNIT_ASSERT(
            state(*daemon, 1) == EndpointState::Leaving); // drained, although the list reports it as live
    }

    void testConsecutiveFailedCallsMakeEndpointSuspectUntilSuccess()
    {
        const auto daemon = startDaemon();
        const auto fail = [&](Step& step) { daemon->membership.onEndpointFailure(m_endpoint, step); };
        const auto succeed = [&](Step& step) { daemon->membership.onEndpointSuccess(m_endpoint, step); };
        runStep(*daemon, fail);
        runStep(*daemon, fail);
        runStep(*daemon, succeed);
        runStep(*daemon, fail);
        runStep(*daemon, fail);
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Live); // not consecutive
        runStep(*daemon, fail);
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Suspect);
        runStep(*daemon, [&](Step& step) { daemon->membership.onConfigurationAdopted(step); });
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Suspect);
        runStep(*daemon, succeed);
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Live);
    }

    // Guards against reports that stay in force after this daemon has lost the role and syncs racks no
    // longer.
    void testRackSyncResultsExpireWithoutFurtherSyncs()
    {
        const auto daemon = startDaemon();
        handle(*daemon, RackSyncFailed { RackId("thumb-rack"), false });
        handle(*daemon, RackSyncFailed { RackId("thumb-rack"), false });
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Suspect);
        handle(*daemon,
            RackSynced { RackId("thumb-rack"), 1, 1, false, { { WorkerId("thumb-0"), false, {} } } });
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Lost);
        m_now += Seconds(11);
        handle(*daemon, Tick {});
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Live);
    }

    void testConcurrentDrainsByTwoOperatorsBothSucceed()
    {
        const auto first = startDaemon();
        const auto second = startDaemon();
        handle(*first, DrainRequested { 1, m_endpoint, true });
        handle(*second, DrainRequested { 2, m_otherEndpoint, true });
        executeNextOperation(*first); // both have read the same version
        executeNextOperation(*second);
        executeOperations(*first);
        executeOperations(*second);
        CPPUNIT_ASSERT(isDrainAccepted(1));
        CPPUNIT_ASSERT(isDrainAccepted(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pushes.back().endpoints.size());
        handle(*first, pushes.back());
        CPPUNIT_ASSERT(state(*first, 0) == EndpointState::Leaving);
        CPPUNIT_ASSERT(state(*first, 1) == EndpointState::Leaving);
        handle(*first, DrainRequested { 3, m_endpoint, false });
        executeOperations(*first);
        CPPUNIT_ASSERT(isDrainAccepted(3));
        CPPUNIT_ASSERT(state(*first, 0) == EndpointState::Live);
    }

    // Guards against a drain that is written twice, or not at all, after a write whose reply was lost.
    void testLostDrainReplyIsResolvedByRead()
    {
        for (const bool isApplied : { true, false }) {
            answers.clear();
            m_store = {};
            const auto daemon = startDaemon();
            handle(*daemon, DrainRequested { 1, m_endpoint, true });
            executeNextOperation(*daemon);
            executeNextOperation(*daemon, TableStatus::Unknown, isApplied);
            executeOperations(*daemon);
            CPPUNIT_ASSERT(isDrainAccepted(1));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_store.writesCommitted());
            CPPUNIT_ASSERT(state(*daemon) == EndpointState::Leaving);
        }
    }

    void testOperatorIsAnsweredInTimeWhileTableIsDown()
    {
        for (const TableStatus status : { TableStatus::Unavailable, TableStatus::Unknown }) {
            answers.clear();
            const auto daemon = startDaemon();
            handle(*daemon, DrainRequested { 1, m_endpoint, true });
            executeNextOperation(*daemon); // the read
            for (int tick = 0; tick < 110; ++tick) {
                executeNextOperation(*daemon, status, false);
                m_now += tickInterval;
                handle(*daemon, Tick {});
            }
            executeNextOperation(*daemon, status, false);
            CPPUNIT_ASSERT(refusalKind(1)
                == (status == TableStatus::Unknown ? RefusalKind::Unknown : RefusalKind::Unavailable));
        }
        const auto daemon = startDaemon();
        handle(*daemon, DrainRequested { 2, EndpointId("intake@none"), true });
        executeNextOperation(*daemon);
        CPPUNIT_ASSERT(refusalKind(2) == RefusalKind::NotFound);
    }

    // Guards against calls to a drained endpoint by a daemon that missed the push and cannot read the drains
    // because the table is down.
    void testPeerWithLowerDrainVersionGetsDrainsAgain()
    {
        const auto daemon = startDaemon();
        handle(*daemon, DrainPush { 5, { m_endpoint } });
        PeerHeartbeat heartbeat;
        heartbeat.host = HostId("peer");
        for (const std::uint64_t version : { 4U, 5U }) {
            heartbeat.drainVersion = version;
            const Event event {};
            std::vector<Effect> effects;
            Step step(event, effects);
            daemon->membership.handle(heartbeat, step);
            CPPUNIT_ASSERT_EQUAL(std::size_t(version < 5 ? 1 : 0), effects.size());
        }
    }

    void testOlderDrainsAreIgnored()
    {
        const auto daemon = startDaemon();
        handle(*daemon, DrainPush { 5, { m_endpoint } });
        handle(*daemon, DrainPush { 4, {} });
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Leaving);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), daemon->membership.drainVersion());
        handle(*daemon, Tick {});
        executeOperations(*daemon); // the poll reads an absent row, like a read that returns outdated data
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Leaving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace anvilmoor
