#include "membership/membership.h"

#include "model/table_store.h"
#include "support/request_site.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace anvilmoor {

class MembershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(testHostMissingInTwoListsIsLost);
    CPPUNIT_TEST(testListWithoutHostsChangesNothing);
    CPPUNIT_TEST(testLeavingWinsOverOwnObservation);
    CPPUNIT_TEST(testFailedCallsMakeSuspectUntilSuccess);
    CPPUNIT_TEST(testSilentRackIsForgottenWithTheRole);
    CPPUNIT_TEST(testOperatorsDrainingAtOnceBothSucceed);
    CPPUNIT_TEST(testLostDrainReplyIsResolvedByReading);
    CPPUNIT_TEST(testTableDownAnswersOperatorInTime);
    CPPUNIT_TEST(testOlderDrainsAreIgnored);
    CPPUNIT_TEST(testPeerBehindGetsDrainsAgain);
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
    const EndpointId m_other { "intake@thumb-1" };

    template <typename Function> void deliver(Daemon& daemon, Function function)
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
        deliver(daemon, [&](Step& step) { daemon.membership.handle(event, step); });
    }

    // Executes the next table operation and handles its reply. If `status` is given, it replaces the reply's
    // status and rows. A write takes effect only if `isApplied` is set.
    void carryOut(Daemon& daemon, std::optional<TableStatus> status = {}, bool isApplied = true)
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

    void carryOutAll(Daemon& daemon)
    {
        for (int operation = 0; operation < 20; ++operation)
            carryOut(daemon);
    }

    EndpointState state(const Daemon& daemon, std::size_t worker = 0)
    {
        return daemon.membership.endpoints(ServiceId("intake"))[worker].state;
    }

    HostListReceived list(std::initializer_list<int> workers, HostState first = HostState::Live) const
    {
        HostListReceived event;
        for (const int worker : workers) {
            event.hosts.push_back({ "thumb-" + std::to_string(worker), AvailabilityZoneId("thumb"),
                worker == 0 ? first : HostState::Live });
        }
        return event;
    }

    std::unique_ptr<Daemon> start()
    {
        auto daemon = std::make_unique<Daemon>(m_configuration);
        deliver(*daemon, [&](Step& step) { daemon->membership.onConfigurationAdopted(step); });
        return daemon;
    }

    bool isDrained(CallerHandle caller) const
    {
        return answers.contains(caller) && std::holds_alternative<DrainAnswer>(answers.at(caller).answer);
    }

    RefusalKind refusal(CallerHandle caller) const
    {
        CPPUNIT_ASSERT(answers.contains(caller));
        return std::get<Refusal>(answers.at(caller).answer).kind;
    }

    std::map<CallerHandle, AnswerOperator> answers;
    std::vector<DrainPush> pushes;

public:
    void setUp() override { m_configuration.configuration = testing::requestConfiguration({ "thumb" }, 3); }

    void testHostMissingInTwoListsIsLost()
    {
        const auto daemon = start();
        handle(*daemon, list({ 0, 1 }));
        handle(*daemon, list({ 1 }));
        CPPUNIT_ASSERT(state(*daemon, 0) == EndpointState::Live);
        handle(*daemon, list({ 1 }));
        CPPUNIT_ASSERT(state(*daemon, 0) == EndpointState::Lost);
        CPPUNIT_ASSERT(state(*daemon, 2) == EndpointState::Live); // never seen
        handle(*daemon, list({ 0, 1 }));
        CPPUNIT_ASSERT(state(*daemon, 0) == EndpointState::Live);
    }

    // Guards against a platform fault: without this rule, empty host lists would make all workers lost.
    void testListWithoutHostsChangesNothing()
    {
        const auto daemon = start();
        handle(*daemon, list({ 0, 1, 2 }));
        for (int count = 0; count < 5; ++count) {
            handle(*daemon, HostListReceived {});
            handle(*daemon, HostListFailed {});
        }
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Live);
    }

    void testLeavingWinsOverOwnObservation()
    {
        const auto daemon = start();
        handle(*daemon, list({ 0, 1, 2 }, HostState::Leaving));
        deliver(*daemon, [&](Step& step) { daemon->membership.onEndpointSuccess(m_endpoint, step); });
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Leaving);
        CPPUNIT_ASSERT(daemon->membership.workerState(WorkerId("thumb-0")) == EndpointState::Leaving);
        handle(*daemon, DrainPush { 3, { m_other } });
        handle(*daemon, list({ 0, 1, 2 }));
        CPPUNIT_ASSERT(state(*daemon, 0) == EndpointState::Live);
        CPPUNIT_ASSERT(
            state(*daemon, 1) == EndpointState::Leaving); // drained, although the list reports it as live
    }

    void testFailedCallsMakeSuspectUntilSuccess()
    {
        const auto daemon = start();
        const auto fail = [&](Step& step) { daemon->membership.onEndpointFailure(m_endpoint, step); };
        const auto succeed = [&](Step& step) { daemon->membership.onEndpointSuccess(m_endpoint, step); };
        deliver(*daemon, fail);
        deliver(*daemon, fail);
        deliver(*daemon, succeed);
        deliver(*daemon, fail);
        deliver(*daemon, fail);
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Live); // not consecutive
        deliver(*daemon, fail);
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Suspect);
        deliver(*daemon, [&](Step& step) { daemon->membership.onConfigurationAdopted(step); });
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Suspect);
        deliver(*daemon, succeed);
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Live);
    }

    // Guards against reports that stay in force after this daemon has lost the role and syncs racks no
    // longer.
    void testSilentRackIsForgottenWithTheRole()
    {
        const auto daemon = start();
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

    void testOperatorsDrainingAtOnceBothSucceed()
    {
        const auto first = start();
        const auto second = start();
        handle(*first, DrainRequested { 1, m_endpoint, true });
        handle(*second, DrainRequested { 2, m_other, true });
        carryOut(*first); // both have read the same version
        carryOut(*second);
        carryOutAll(*first);
        carryOutAll(*second);
        CPPUNIT_ASSERT(isDrained(1));
        CPPUNIT_ASSERT(isDrained(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pushes.back().endpoints.size());
        handle(*first, pushes.back());
        CPPUNIT_ASSERT(state(*first, 0) == EndpointState::Leaving);
        CPPUNIT_ASSERT(state(*first, 1) == EndpointState::Leaving);
        handle(*first, DrainRequested { 3, m_endpoint, false });
        carryOutAll(*first);
        CPPUNIT_ASSERT(isDrained(3));
        CPPUNIT_ASSERT(state(*first, 0) == EndpointState::Live);
    }

    // Guards against a drain that is written twice, or not at all, after a write whose reply was lost.
    void testLostDrainReplyIsResolvedByReading()
    {
        for (const bool isApplied : { true, false }) {
            answers.clear();
            m_store = {};
            const auto daemon = start();
            handle(*daemon, DrainRequested { 1, m_endpoint, true });
            carryOut(*daemon);
            carryOut(*daemon, TableStatus::Unknown, isApplied);
            carryOutAll(*daemon);
            CPPUNIT_ASSERT(isDrained(1));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_store.writesCommitted());
            CPPUNIT_ASSERT(state(*daemon) == EndpointState::Leaving);
        }
    }

    void testTableDownAnswersOperatorInTime()
    {
        for (const TableStatus status : { TableStatus::Unavailable, TableStatus::Unknown }) {
            answers.clear();
            const auto daemon = start();
            handle(*daemon, DrainRequested { 1, m_endpoint, true });
            carryOut(*daemon); // the read
            for (int tick = 0; tick < 110; ++tick) {
                carryOut(*daemon, status, false);
                m_now += tickInterval;
                handle(*daemon, Tick {});
            }
            carryOut(*daemon, status, false);
            CPPUNIT_ASSERT(refusal(1)
                == (status == TableStatus::Unknown ? RefusalKind::Unknown : RefusalKind::Unavailable));
        }
        const auto daemon = start();
        handle(*daemon, DrainRequested { 2, EndpointId("intake@none"), true });
        carryOut(*daemon);
        CPPUNIT_ASSERT(refusal(2) == RefusalKind::NotFound);
    }

    // Guards against calls to a drained endpoint by a daemon that missed the push and cannot read the drains
    // because the table is down.
    void testPeerBehindGetsDrainsAgain()
    {
        const auto daemon = start();
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
        const auto daemon = start();
        handle(*daemon, DrainPush { 5, { m_endpoint } });
        handle(*daemon, DrainPush { 4, {} });
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Leaving);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), daemon->membership.drainVersion());
        handle(*daemon, Tick {});
        carryOutAll(*daemon); // the poll reads an absent row, like a read that returns outdated data
        CPPUNIT_ASSERT(state(*daemon) == EndpointState::Leaving);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace anvilmoor
