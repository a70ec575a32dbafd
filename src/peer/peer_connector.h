#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/peer_message.h"
#include "net/http.h"
#include "peer/generated/peer.capnp.h"
#include "peer/rpc_link.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>

namespace anvilmoor::peer {

struct PeerAddress {
    HostId host;
    net::SocketAddress address;
};

struct PeerTimings {
    // A connection on which no message was received for this long is closed, even if TCP reports no error.
    // Also bounds a connection attempt.
    Milliseconds silenceTimeout { 2'000 };
    Milliseconds initialRetryDelay { 100 };
    Milliseconds maxRetryDelay { 2'000 };
    Milliseconds checkInterval { 50 };
};

// The outgoing connection to one peer, over which this daemon sends its messages. Reconnects with backoff
// and jitter after each loss.
class PeerConnector final : private kj::TaskSet::ErrorHandler {
public:
    PeerConnector(uv_loop_t*, HostId self, PeerAddress, PeerTimings, std::uint64_t seed);
    ~PeerConnector();
    PeerConnector(const PeerConnector&) = delete;
    PeerConnector& operator=(const PeerConnector&) = delete;

    // Counts the traffic of connections that are established from now on.
    void setTrafficCounters(std::shared_ptr<net::Traffic> traffic) { m_traffic = std::move(traffic); }
    const HostId& host() const { return m_peer.host; }
    bool isConnected() const { return m_session.has_value() && !m_link->stream.isClosed(); }
    // Returns false if the message was dropped.
    bool send(const PeerMessage&);
    // Starts a connection attempt when one is due, and closes a silent or broken connection. Must not be
    // called from a KJ event, which may belong to the closed connection. Returns true if an established
    // connection was lost.
    bool check(TimePoint now);

private:
    struct ConnectionAttempt; // owns its TCP handle until the connect callback

    void taskFailed(kj::Exception&&) override;
    void startConnecting(TimePoint now);
    void finishConnecting(int status);
    void closeLink();
    void scheduleRetry(TimePoint now);
    bool isSilent(TimePoint now);

    uv_loop_t* m_loop;
    HostId m_self;
    PeerAddress m_peer;
    PeerTimings m_timings;
    std::mt19937_64 m_random;
    Milliseconds m_retryDelay;
    TimePoint m_retryAt {};
    TimePoint m_lastReceivedAt {}; // the start of the attempt before the first message
    std::size_t m_lastReceivedCount = 0;
    bool m_isBroken = false;
    ConnectionAttempt* m_attempt = nullptr;
    std::shared_ptr<net::Traffic> m_traffic = std::make_shared<net::Traffic>();
    std::unique_ptr<RpcLink> m_link;
    std::optional<wire::Session::Client> m_session;
    std::optional<kj::TaskSet> m_calls;
    std::size_t m_callsInFlight = 0;
};

} // namespace anvilmoor::peer
