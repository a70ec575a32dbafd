#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/peer_message.h"

#include <functional>

namespace anvilmoor::peer {

struct PeerCallbacks {
    std::function<void(const HostId& from, PeerMessage)> onMessage;
    // Called once per loss. A peer counts as reachable again from its next connection or message.
    std::function<void(const HostId&)> onPeerLost;
};

// Best-effort messages between entry daemons. A message to a peer that is not connected is dropped; all
// others are delivered at most once and in order.
class PeerNetwork {
public:
    virtual ~PeerNetwork() = default;

    // A message to an unknown host is dropped.
    virtual void send(const HostId&, const PeerMessage&) = 0;
    virtual void sendToAll(const PeerMessage&) = 0;
};

} // namespace anvilmoor::peer
