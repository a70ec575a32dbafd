#pragma once

#include "core/step.h"
#include "core/views.h"

#include <cstdint>
#include <vector>

namespace anvilmoor {

// The state of this daemon's peers according to their heartbeats and configuration pushes.
class PeerRegistry : public PeerDirectory {
public:
    explicit PeerRegistry(const DaemonSettings&);

    std::span<const PeerStatus> peers() const override { return m_peers; }

    // Ignores heartbeats from hosts that are not peers in the settings, and heartbeats of the previous
    // incarnation of a peer that arrive after one of its current incarnation.
    void handle(const HostId& from, const PeerHeartbeat&, Step&);
    // Records that the peer holds the version that it pushed.
    void handle(const HostId& from, const ConfigurationPush&);
    void handle(const PeerLost&, Step&);
    // Marks peers as unreachable whose last heartbeat is older than the heartbeat timeout.
    void handle(const Tick&, Step&);

private:
    struct Observation {
        TimePoint lastHeartbeat {};
        std::uint64_t incarnation = 0;
        std::uint64_t previousIncarnation = 0;
    };

    PeerStatus* find(const HostId&);
    void markUnreachable(PeerStatus&, Step&);

    std::vector<PeerStatus> m_peers; // in the order of the settings
    std::vector<Observation> m_observations; // same indexes as m_peers
};

} // namespace anvilmoor
