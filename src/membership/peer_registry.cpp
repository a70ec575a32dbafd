#include "membership/peer_registry.h"

#include <algorithm>

namespace anvilmoor {

namespace {

// Four heartbeat intervals, because links between zones lose packets.
constexpr Milliseconds heartbeatTimeout { 2'000 };

} // namespace

PeerRegistry::PeerRegistry(const DaemonSettings& settings)
{
    for (const PeerSetting& setting : settings.peers) {
        PeerStatus status;
        status.host = setting.host;
        status.zone = setting.zone;
        m_peers.push_back(std::move(status));
    }
    m_observations.resize(m_peers.size());
}

PeerStatus* PeerRegistry::find(const HostId& host)
{
    for (PeerStatus& peer : m_peers) {
        if (peer.host == host)
            return &peer;
    }
    return nullptr;
}

void PeerRegistry::handle(const HostId& from, const PeerHeartbeat& heartbeat, Step& step)
{
    PeerStatus* peer = find(from);
    if (!peer)
        return;
    Observation& observation = m_observations[static_cast<std::size_t>(peer - m_peers.data())];
    if (heartbeat.incarnation == observation.previousIncarnation && observation.previousIncarnation)
        return;
    if (heartbeat.incarnation != observation.incarnation) {
        observation.previousIncarnation = observation.incarnation;
        observation.incarnation = heartbeat.incarnation;
    }
    observation.lastHeartbeat = step.now;
    if (!peer->isReachable)
        step.record("peer.reachable", { { "peer", from.value() } });
    peer->isReachable = true;
    peer->isReady = heartbeat.isReady && !heartbeat.isStopping;
    peer->configurationVersion = heartbeat.configurationVersion;
    peer->knownConfigurationVersion = heldConfigurationVersion(heartbeat);
    peer->heldToken = heartbeat.heldToken;
    peer->summary = heartbeat.summary;
}

void PeerRegistry::handle(const HostId& from, const ConfigurationPush& push)
{
    if (PeerStatus* peer = find(from))
        peer->knownConfigurationVersion = std::max(peer->knownConfigurationVersion, push.version);
}

void PeerRegistry::markUnreachable(PeerStatus& peer, Step& step)
{
    if (!peer.isReachable)
        return;
    peer.isReachable = false;
    peer.isReady = false;
    peer.heldToken = 0;
    step.record("peer.unreachable", { { "peer", peer.host.value() } });
}

void PeerRegistry::handle(const PeerLost& event, Step& step)
{
    if (PeerStatus* peer = find(event.peer))
        markUnreachable(*peer, step);
}

void PeerRegistry::handle(const Tick&, Step& step)
{
    for (std::size_t index = 0; index < m_peers.size(); ++index) {
        if (step.now - m_observations[index].lastHeartbeat > heartbeatTimeout)
            markUnreachable(m_peers[index], step);
    }
}

} // namespace anvilmoor
