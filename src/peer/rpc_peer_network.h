#pragma once

#include "net/event_loop.h"
#include "peer/kj_uv_event_port.h"
#include "peer/peer_connector.h"
#include "peer/peer_listener.h"
#include "peer/peer_network.h"

#include <memory>
#include <set>
#include <vector>

namespace anvilmoor::peer {

struct PeerNetworkOptions {
    HostId host;
    net::SocketAddress listen; // port 0 selects any free port
    PeerTimings timings;
    std::uint64_t seed = 0; // for the reconnection jitter
};

// PeerNetwork over Cap'n Proto RPC. Each daemon sends over the connections that it opened, and receives over
// those that it accepted. Must not be destroyed from a callback or a KJ event.
class RpcPeerNetwork final : public PeerNetwork {
public:
    // Listens immediately.
    static tl::expected<std::unique_ptr<RpcPeerNetwork>, net::NetError> open(
        net::EventLoop&, KjUvEventPort&, PeerNetworkOptions, PeerCallbacks);

    // Starts to connect to these peers and lets them open sessions. Must be called only once.
    void connect(const std::vector<PeerAddress>&);
    std::uint16_t port() const { return m_listener->port(); }

    void send(const HostId&, const PeerMessage&) override;
    void sendToAll(const PeerMessage&) override;

    std::uint64_t messagesDropped() const { return m_messagesDropped; }
    std::uint64_t messagesIgnored() const { return m_listener->messagesIgnored(); }
    // Outgoing connections that were lost after they were established.
    std::uint64_t connectionsLost() const { return m_connectionsLost; }
    std::size_t connectedPeers() const;
    const net::Traffic& traffic() const { return *m_traffic; }

private:
    RpcPeerNetwork(net::EventLoop&, KjUvEventPort&, PeerNetworkOptions, PeerCallbacks);
    void check();
    void reportLost(const HostId&);

    net::EventLoop& m_loop;
    uv_loop_t* m_uvLoop;
    PeerNetworkOptions m_options;
    PeerCallbacks m_callbacks;
    std::shared_ptr<net::Traffic> m_traffic = std::make_shared<net::Traffic>();
    std::unique_ptr<PeerListener> m_listener;
    std::vector<std::unique_ptr<PeerConnector>> m_connectors;
    std::set<HostId> m_reachable;
    std::uint64_t m_messagesDropped = 0;
    std::uint64_t m_connectionsLost = 0;
    net::Timer m_checkTimer;
};

} // namespace anvilmoor::peer
