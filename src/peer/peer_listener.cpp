#include "peer/peer_listener.h"

#include "peer/peer_codec.h"

#include <algorithm>
#include <string>
#include <utility>

namespace anvilmoor::peer {

namespace {

constexpr int listenBacklog = 64;
// Each peer has one connection, and a second one while a new connection replaces the old one.
constexpr std::size_t maxConnections = 256;

} // namespace

// The RPC servers hold weak pointers to it, because a call in the KJ event queue may outlive the connection.
struct PeerListener::Connection {
    PeerListener* listener = nullptr;
    HostId host; // empty until the peer opens its session
    bool isBroken = false;
    bool isReplaced = false;
    TimePoint lastReceivedAt {};
    std::size_t lastReceivedCount = 0;
    std::unique_ptr<RpcLink> link;
};

class PeerListener::SessionServer final : public wire::Session::Server {
public:
    explicit SessionServer(std::weak_ptr<Connection> connection)
        : m_connection(std::move(connection))
    {
    }

    kj::Promise<void> deliver(DeliverContext context) override
    {
        const auto connection = m_connection.lock();
        if (!connection)
            return kj::READY_NOW;
        auto message = decode(context.getParams().getMessage());
        if (message) {
            connection->listener->m_onMessage(connection->host, std::move(*message));
            return kj::READY_NOW;
        }
        ++connection->listener->m_messagesIgnored;
        if (message.error() == DecodeError::Malformed)
            connection->isBroken = true;
        return kj::READY_NOW;
    }

private:
    std::weak_ptr<Connection> m_connection;
};

class PeerListener::PeerServer final : public wire::Peer::Server {
public:
    explicit PeerServer(std::weak_ptr<Connection> connection)
        : m_connection(std::move(connection))
    {
    }

    kj::Promise<void> open(OpenContext context) override
    {
        const auto connection = m_connection.lock();
        if (!connection)
            return kj::READY_NOW;
        const auto name = context.getParams().getHost();
        const HostId host(std::string(name.begin(), name.size()));
        const bool hasSession = !connection->host.isEmpty();
        if (hasSession || !connection->listener->isAllowed(host)) {
            connection->isBroken = true;
            return KJ_EXCEPTION(
                FAILED, "host is not a configured peer, or has already opened a session on this connection");
        }
        connection->host = host;
        connection->listener->markOlderReplaced(*connection);
        context.getResults(capnp::MessageSize { 16, 1 }).setSession(kj::heap<SessionServer>(m_connection));
        return kj::READY_NOW;
    }

private:
    std::weak_ptr<Connection> m_connection;
};

PeerListener::PeerListener(uv_loop_t* loop, PeerTimings timings, MessageCallback onMessage)
    : m_loop(loop)
    , m_timings(timings)
    , m_onMessage(std::move(onMessage))
{
}

tl::expected<std::unique_ptr<PeerListener>, net::NetError> PeerListener::open(
    uv_loop_t* loop, const net::SocketAddress& address, PeerTimings timings, MessageCallback onMessage)
{
    const std::string where = address.ip + ":" + std::to_string(address.port);
    sockaddr_storage storage {};
    if (uv_ip4_addr(address.ip.c_str(), address.port, reinterpret_cast<sockaddr_in*>(&storage)) != 0
        && uv_ip6_addr(address.ip.c_str(), address.port, reinterpret_cast<sockaddr_in6*>(&storage)) != 0)
        return tl::unexpected(
            net::NetError { net::NetErrorKind::InvalidAddress, where + " is not a numeric IP address" });
    std::unique_ptr<PeerListener> listener(new PeerListener(loop, timings, std::move(onMessage)));
    listener->m_tcp = UvMessageStream::newTcpHandle(loop);
    listener->m_tcp->data = listener.get();
    int error = uv_tcp_bind(listener->m_tcp, reinterpret_cast<const sockaddr*>(&storage), 0);
    if (error == 0)
        error = uv_listen(reinterpret_cast<uv_stream_t*>(listener->m_tcp), listenBacklog,
            [](uv_stream_t* stream, int status) {
                auto* self = static_cast<PeerListener*>(stream->data);
                if (self && status == 0)
                    self->accept();
            });
    if (error == 0)
        return listener;
    const auto kind = error == UV_EADDRINUSE ? net::NetErrorKind::AddressInUse
        : error == UV_EACCES                 ? net::NetErrorKind::PermissionDenied
                                             : net::NetErrorKind::Failed;
    return tl::unexpected(
        net::NetError { kind, "cannot listen for peers on " + where + ": " + uv_strerror(error) });
}

PeerListener::~PeerListener()
{
    if (m_tcp)
        UvMessageStream::closeTcpHandle(m_tcp);
}

std::uint16_t PeerListener::port() const
{
    sockaddr_storage storage {};
    int size = sizeof(storage);
    if (uv_tcp_getsockname(m_tcp, reinterpret_cast<sockaddr*>(&storage), &size) != 0)
        return 0;
    return ntohs(storage.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                                               : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

void PeerListener::accept()
{
    uv_tcp_t* tcp = UvMessageStream::newTcpHandle(m_loop);
    if (uv_accept(reinterpret_cast<uv_stream_t*>(m_tcp), reinterpret_cast<uv_stream_t*>(tcp)) != 0
        || m_connections.size() >= maxConnections) {
        UvMessageStream::closeTcpHandle(tcp);
        return;
    }
    auto connection = std::make_shared<Connection>();
    connection->listener = this;
    connection->lastReceivedAt = m_now;
    connection->link
        = std::make_unique<RpcLink>(tcp, kj::heap<PeerServer>(std::weak_ptr<Connection>(connection)));
    connection->link->stream.setTrafficCounters(m_traffic);
    m_connections.push_back(std::move(connection));
}

bool PeerListener::isAllowed(const HostId& host) const
{
    return std::ranges::find(m_allowedHosts, host) != m_allowedHosts.end();
}

void PeerListener::markOlderReplaced(const Connection& newer)
{
    for (const auto& connection : m_connections) {
        if (connection.get() != &newer && connection->host == newer.host)
            connection->isReplaced = true;
    }
}

bool PeerListener::shouldClose(Connection& connection, TimePoint now) const
{
    const std::size_t received = connection.link->stream.messagesReceived();
    if (received != connection.lastReceivedCount) {
        connection.lastReceivedCount = received;
        connection.lastReceivedAt = now;
    }
    return connection.isBroken || connection.isReplaced || connection.link->stream.isClosed()
        || now - connection.lastReceivedAt >= m_timings.silenceTimeout;
}

std::vector<HostId> PeerListener::check(TimePoint now)
{
    m_now = now;
    std::vector<HostId> lost;
    for (auto next = m_connections.begin(); next != m_connections.end();) {
        const auto connection = *next;
        if (!shouldClose(*connection, now)) {
            ++next;
            continue;
        }
        next = m_connections.erase(next);
        if (!connection->isReplaced && !connection->host.isEmpty())
            lost.push_back(connection->host);
    }
    return lost;
}

} // namespace anvilmoor::peer
