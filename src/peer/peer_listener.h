#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/peer_message.h"
#include "net/http.h"
#include "net/net_error.h"
#include "peer/peer_connector.h"
#include "peer/rpc_link.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <tl/expected.hpp>
#include <vector>

namespace anvilmoor::peer {

// Accepts the connections over which peers send messages to this daemon.
class PeerListener {
public:
    // Receives the messages of allowed peers. Called from inside a KJ event.
    using MessageCallback = std::function<void(const HostId&, PeerMessage)>;

    static tl::expected<std::unique_ptr<PeerListener>, net::NetError> open(
        uv_loop_t*, const net::SocketAddress&, PeerTimings, MessageCallback);
    ~PeerListener();
    PeerListener(const PeerListener&) = delete;
    PeerListener& operator=(const PeerListener&) = delete;

    std::uint16_t port() const;
    // Counts the traffic of connections that are accepted from now on.
    void setTrafficCounters(std::shared_ptr<net::Traffic> traffic) { m_traffic = std::move(traffic); }
    // Other hosts are refused when they open a session.
    void setAllowedHosts(std::vector<HostId> hosts) { m_allowedHosts = std::move(hosts); }
    // Closes connections that are silent, broken or replaced by a newer one. Must not be called from a KJ
    // event, which may belong to a closed connection. Returns the hosts whose connection was closed without
    // a newer one.
    std::vector<HostId> check(TimePoint now);
    std::uint64_t messagesIgnored() const { return m_messagesIgnored; }

private:
    class PeerServer;
    class SessionServer;
    struct Connection;

    PeerListener(uv_loop_t*, PeerTimings, MessageCallback);
    void accept();
    bool isAllowed(const HostId&) const;
    void markOlderReplaced(const Connection&);
    bool shouldClose(Connection&, TimePoint now) const;

    uv_loop_t* m_loop;
    uv_tcp_t* m_tcp = nullptr;
    PeerTimings m_timings;
    MessageCallback m_onMessage;
    std::shared_ptr<net::Traffic> m_traffic = std::make_shared<net::Traffic>();
    std::vector<HostId> m_allowedHosts;
    std::list<std::shared_ptr<Connection>> m_connections;
    TimePoint m_now {};
    std::uint64_t m_messagesIgnored = 0;
};

} // namespace anvilmoor::peer
