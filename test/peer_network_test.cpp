#include "peer/peer_codec.h"
#include "peer/rpc_peer_network.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <map>
#include <memory>
#include <ranges>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace anvilmoor::peer {

namespace {

constexpr PeerTimings testTimings { Milliseconds(400), Milliseconds(10), Milliseconds(50), Milliseconds(5) };

// Bounds a hanging test; no passing test waits for it.
constexpr Milliseconds testTimeout { 20'000 };

PeerMessage encodeAndDecode(const PeerMessage& message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<wire::Message>();
    encode(message, root);
    auto decoded = decode(root.asReader());
    CPPUNIT_ASSERT(decoded.has_value());
    return *decoded;
}

int openSocket()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    CPPUNIT_ASSERT(descriptor >= 0);
    return descriptor;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// The kernel completes connections to its port, but it never accepts, reads or writes.
struct SilentPeer {
    SilentPeer()
    {
        sockaddr_in address = loopback(0);
        CPPUNIT_ASSERT_EQUAL(0, bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
        CPPUNIT_ASSERT_EQUAL(0, listen(listener, 16));
        socklen_t size = sizeof(address);
        getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
    }
    ~SilentPeer() { close(listener); }

    int listener = openSocket();
    std::uint16_t port = 0;
};

} // namespace

class PeerNetworkTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerNetworkTest);
    CPPUNIT_TEST(testMessageOfEachKindIsUnchangedByEncodeAndDecode);
    CPPUNIT_TEST(testMessagesOfConnectedPeersArriveInOrderBothWays);
    CPPUNIT_TEST(testSilentPeerIsReportedLostAndReconnected);
    CPPUNIT_TEST(testRestartedPeerIsReportedLostAndReconnected);
    CPPUNIT_TEST(testMalformedBytesCloseOnlyTheirConnection);
    CPPUNIT_TEST(testUnknownHostIsNotServed);
    CPPUNIT_TEST(testLargeConfigurationArrivesWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<net::EventLoop>();
        m_port = std::make_unique<KjUvEventPort>(m_loop->handle());
    }

    void tearDown() override
    {
        m_heartbeats.reset();
        m_networks.clear();
        m_received.clear();
        m_lost.clear();
        m_port.reset();
        m_loop.reset();
    }

    // Guards against a field that is missing in the schema or the codec.
    void testMessageOfEachKindIsUnchangedByEncodeAndDecode()
    {
        const PeerHeartbeat heartbeat { HostId("h1"), AvailabilityZoneId("z"), ~0ULL, true, true, 7, 8, 9,
            { 1, -2, 3, 4 }, 10 };
        const auto beat = std::get<PeerHeartbeat>(encodeAndDecode(heartbeat));
        CPPUNIT_ASSERT(beat.host == heartbeat.host && beat.zone == heartbeat.zone);
        CPPUNIT_ASSERT(beat.incarnation == ~0ULL && beat.isReady && beat.isStopping);
        CPPUNIT_ASSERT(beat.configurationVersion == 7 && beat.drainVersion == 8 && beat.heldToken == 9);
        CPPUNIT_ASSERT(beat.knownConfigurationVersion == 10);
        CPPUNIT_ASSERT(beat.summary.freeAccelerators == 1 && beat.summary.largestFreeShape == -2);
        CPPUNIT_ASSERT(beat.summary.queuedJobs == 3 && beat.summary.runningTasks == 4);

        const std::string bytes("a\0\xff{}", 5);
        const auto push = std::get<ConfigurationPush>(encodeAndDecode(ConfigurationPush { 5, bytes }));
        CPPUNIT_ASSERT(push.version == 5 && push.document == bytes);

        const DrainPush drain { 6, { EndpointId("s@w1"), EndpointId("s@w2") } };
        const auto drained = std::get<DrainPush>(encodeAndDecode(drain));
        CPPUNIT_ASSERT(drained.version == 6 && drained.endpoints == drain.endpoints);

        const auto notice
            = std::get<JobNotice>(encodeAndDecode(JobNotice { AvailabilityZoneId("z"), JobId("z.01") }));
        CPPUNIT_ASSERT(notice.zone.value() == "z" && notice.job.value() == "z.01");

        const RequestIdentity identity { ClientAccountId("acc"), bytes };
        const auto lookup = std::get<RequestLookup>(encodeAndDecode(RequestLookup { 11, identity }));
        CPPUNIT_ASSERT(lookup.lookup == 11 && lookup.identity == identity);

        for (const auto outcome : { RequestOutcome::Done, RequestOutcome::NotRun, RequestOutcome::Unknown,
                 RequestOutcome::Refused }) {
            const RequestLookupAnswer sent { 12, true, true,
                { outcome, bytes, "why", Milliseconds(13), true, true } };
            const auto answer = std::get<RequestLookupAnswer>(encodeAndDecode(sent));
            CPPUNIT_ASSERT(answer.lookup == 12 && answer.isKnown && answer.isFinished);
            CPPUNIT_ASSERT(answer.answer.outcome == outcome && answer.answer.body == bytes);
            CPPUNIT_ASSERT(
                answer.answer.reason == "why" && answer.answer.isFromRecord && answer.answer.isConflict);
            CPPUNIT_ASSERT(answer.answer.retryAfter == Milliseconds(13));
        }
    }

    // Guards against messages that are lost, reordered or attributed to another peer.
    void testMessagesOfConnectedPeersArriveInOrderBothWays()
    {
        start({ "a", "b", "c" });
        for (std::uint64_t version = 1; version <= 100; ++version) {
            m_networks["a"]->send(HostId("b"), ConfigurationPush { version, "a" });
            m_networks["b"]->send(HostId("a"), ConfigurationPush { version, "b" });
        }
        m_networks["c"]->sendToAll(ConfigurationPush { 1, "c" });
        runUntil([&] { return pushes("b", "a").size() == 100 && pushes("a", "b").size() == 100; });
        runUntil([&] { return pushes("a", "c").size() == 1 && pushes("b", "c").size() == 1; });
        for (std::uint64_t i = 0; i < 100; ++i)
            CPPUNIT_ASSERT_EQUAL(i + 1, pushes("b", "a")[i].version);
    }

    // Guards against a hanging peer that is never reported as lost, because TCP reports no error for it.
    void testSilentPeerIsReportedLostAndReconnected()
    {
        const SilentPeer silent;
        open("a", 0);
        m_networks["a"]->connect({ { HostId("silent"), { "127.0.0.1", silent.port } } });
        sendHeartbeats();
        runUntil([&] { return m_lost["a"].size() >= 2; });
        CPPUNIT_ASSERT(m_lost["a"][0] == HostId("silent"));
    }

    // Guards against a connection to an earlier incarnation of a peer that is kept or not replaced.
    void testRestartedPeerIsReportedLostAndReconnected()
    {
        start({ "a", "b", "c" });
        for (int round = 0; round < 3; ++round) {
            const std::string restarted = round % 2 == 0 ? "b" : "a";
            const std::string other = round % 2 == 0 ? "a" : "b";
            m_lost.clear();
            m_received.clear();
            const std::uint16_t port = m_networks[restarted]->port();
            m_networks.erase(restarted);
            runUntil([&] { return !m_lost[other].empty() && !m_lost["c"].empty(); });
            CPPUNIT_ASSERT(m_lost[other][0] == HostId(restarted));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_lost[other].size());
            open(restarted, port);
            connectToOthers(restarted);
            runUntil([&] { return isFullyConnected(); });
        }
    }

    // Guards against malformed input that crashes the daemon or disturbs the connections of other peers.
    void testMalformedBytesCloseOnlyTheirConnection()
    {
        start({ "a", "b" });
        // Zero length, a length beyond the limit, and bytes that unpack to no message.
        const std::vector<std::string> inputs { std::string(16, '\0'), std::string(16, '\xff'),
            std::string("\x04\0\0\0\xff\xff\xff\xff", 8), std::string("\x02\0\0\0\0\0", 6) };
        for (const std::string& input : inputs) {
            const int client = connectTo(m_networks["a"]->port());
            CPPUNIT_ASSERT_EQUAL(ssize_t(input.size()), ::send(client, input.data(), input.size(), 0));
            runUntil([&] { return isClosedByPeer(client); });
            close(client);
        }
        m_received.clear();
        runUntil([&] { return isFullyConnected(); });
        CPPUNIT_ASSERT(m_lost["a"].empty() && m_lost["b"].empty());
    }

    // Guards against messages that are accepted from a host that is not a configured peer.
    void testUnknownHostIsNotServed()
    {
        start({ "a", "b" });
        open("stranger", 0);
        m_networks["stranger"]->connect({ { HostId("a"), { "127.0.0.1", m_networks["a"]->port() } } });
        runUntil([&] { return m_networks["stranger"]->connectionsLost() >= 2; });
        for (const auto& [from, message] : m_received["a"])
            CPPUNIT_ASSERT(from == HostId("b"));
    }

    // Guards against a large configuration that is truncated or exceeds a limit of the stream.
    void testLargeConfigurationArrivesWhole()
    {
        start({ "a", "b" });
        std::string document;
        for (int i = 0; document.size() < 6U * 1024U * 1024U; ++i)
            document += std::to_string(i);
        m_networks["a"]->send(HostId("b"), ConfigurationPush { 1, document });
        runUntil([&] { return !pushes("b", "a").empty(); });
        CPPUNIT_ASSERT(pushes("b", "a")[0].document == document);
    }

private:
    void runUntil(const std::function<bool()>& isDone)
    {
        const TimePoint start = m_loop->now();
        while (!isDone()) {
            CPPUNIT_ASSERT_MESSAGE(
                "condition not met within the time limit", m_loop->now() - start < testTimeout);
            uv_run(m_loop->handle(), UV_RUN_ONCE);
        }
    }

    void open(const std::string& name, std::uint16_t port)
    {
        PeerCallbacks callbacks;
        callbacks.onMessage = [this, name](const HostId& from, PeerMessage message) {
            m_received[name].emplace_back(from, std::move(message));
        };
        callbacks.onPeerLost = [this, name](const HostId& host) { m_lost[name].push_back(host); };
        auto network = RpcPeerNetwork::open(
            *m_loop, *m_port, { HostId(name), { "127.0.0.1", port }, testTimings, 1 }, std::move(callbacks));
        CPPUNIT_ASSERT_MESSAGE(network ? "" : network.error().detail, network.has_value());
        m_networks[name] = std::move(*network);
    }

    void connectToOthers(const std::string& name)
    {
        std::vector<PeerAddress> peers;
        for (const auto& [other, network] : m_networks) {
            if (other != name)
                peers.push_back({ HostId(other), { "127.0.0.1", network->port() } });
        }
        m_networks[name]->connect(peers);
    }

    void start(const std::vector<std::string>& names)
    {
        for (const auto& name : names)
            open(name, 0);
        for (const auto& name : names)
            connectToOthers(name);
        sendHeartbeats();
        runUntil([&] { return isFullyConnected(); });
    }

    void sendHeartbeats()
    {
        m_heartbeats = std::make_unique<net::Timer>(*m_loop);
        m_heartbeats->startRepeating(Milliseconds(20), [this] {
            for (const auto& [name, network] : m_networks)
                network->sendToAll(PeerHeartbeat { HostId(name) });
        });
    }

    // True if every network has received a message from every other one.
    bool isFullyConnected()
    {
        for (const auto& [name, network] : m_networks) {
            for (const auto& other : m_networks | std::views::keys) {
                const auto isFromOther = [&](const auto& entry) { return entry.first == HostId(other); };
                if (other != name && !std::ranges::any_of(m_received[name], isFromOther))
                    return false;
            }
        }
        return true;
    }

    std::vector<ConfigurationPush> pushes(const std::string& at, const std::string& from)
    {
        std::vector<ConfigurationPush> found;
        for (const auto& [host, message] : m_received[at]) {
            if (host == HostId(from) && std::holds_alternative<ConfigurationPush>(message))
                found.push_back(std::get<ConfigurationPush>(message));
        }
        return found;
    }

    static int connectTo(std::uint16_t port)
    {
        const int client = openSocket();
        const sockaddr_in address = loopback(port);
        CPPUNIT_ASSERT_EQUAL(
            0, ::connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
        return client;
    }

    static bool isClosedByPeer(int client)
    {
        char byte = 0;
        const ssize_t size = recv(client, &byte, 1, MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno == ECONNRESET);
    }

    std::unique_ptr<net::EventLoop> m_loop;
    std::unique_ptr<KjUvEventPort> m_port;
    std::map<std::string, std::unique_ptr<RpcPeerNetwork>> m_networks;
    std::unique_ptr<net::Timer> m_heartbeats;
    std::map<std::string, std::vector<std::pair<HostId, PeerMessage>>> m_received;
    std::map<std::string, std::vector<HostId>> m_lost;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerNetworkTest);

} // namespace anvilmoor::peer
