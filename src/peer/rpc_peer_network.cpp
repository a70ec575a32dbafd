#include "peer/rpc_peer_network.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::peer {

RpcPeerNetwork::RpcPeerNetwork(
    net::EventLoop& loop, KjUvEventPort& port, PeerNetworkOptions options, PeerCallbacks callbacks)
    : m_loop(loop)
    , m_uvLoop(port.loop())
    , m_options(std::move(options))
    , m_callbacks(std::move(callbacks))
    , m_checkTimer(loop)
{
}

tl::expected<std::unique_ptr<RpcPeerNetwork>, net::NetError> RpcPeerNetwork::open(
    net::EventLoop& loop, KjUvEventPort& port, PeerNetworkOptions options, PeerCallbacks callbacks)
{
    std::unique_ptr<RpcPeerNetwork> network(
        new RpcPeerNetwork(loop, port, std::move(options), std::move(callbacks)));
    auto* self = network.get();
    auto listener = PeerListener::open(self->m_uvLoop, self->m_options.listen, self->m_options.timings,
        [self](const HostId& from, PeerMessage message) {
            self->m_reachable.insert(from);
            self->m_callbacks.onMessage(from, std::move(message));
        });
    if (!listener)
        return tl::unexpected(listener.error());
    self->m_listener = std::move(*listener);
    self->m_listener->setTrafficCounters(self->m_traffic);
    self->m_checkTimer.startRepeating(self->m_options.timings.checkInterval, [self] { self->check(); });
    return network;
}

void RpcPeerNetwork::connect(const std::vector<PeerAddress>& peers)
{
    std::vector<HostId> hosts;
    std::uint64_t seed = m_options.seed;
    for (const PeerAddress& peer : peers) {
        hosts.push_back(peer.host);
        m_connectors.push_back(
            std::make_unique<PeerConnector>(m_uvLoop, m_options.host, peer, m_options.timings, ++seed));
        m_connectors.back()->setTrafficCounters(m_traffic);
    }
    m_listener->setAllowedHosts(std::move(hosts));
    check();
}

void RpcPeerNetwork::send(const HostId& host, const PeerMessage& message)
{
    for (const auto& connector : m_connectors) {
        if (connector->host() != host)
            continue;
        if (!connector->send(message))
            ++m_messagesDropped;
        return;
    }
    ++m_messagesDropped;
}

void RpcPeerNetwork::sendToAll(const PeerMessage& message)
{
    for (const auto& connector : m_connectors) {
        if (!connector->send(message))
            ++m_messagesDropped;
    }
}

std::size_t RpcPeerNetwork::connectedPeers() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_connectors, [](const auto& connector) { return connector->isConnected(); }));
}

void RpcPeerNetwork::check()
{
    const TimePoint now = m_loop.now();
    std::vector<HostId> lost = m_listener->check(now);
    for (const auto& connector : m_connectors) {
        if (connector->check(now)) {
            ++m_connectionsLost;
            lost.push_back(connector->host());
        } else if (connector->isConnected()) {
            m_reachable.insert(connector->host());
        }
    }
    for (const HostId& host : lost)
        reportLost(host);
}

void RpcPeerNetwork::reportLost(const HostId& host)
{
    if (m_reachable.erase(host) > 0)
        m_callbacks.onPeerLost(host);
}

} // namespace anvilmoor::peer
