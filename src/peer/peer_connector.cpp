#include "peer/peer_connector.h"

#include "peer/peer_codec.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::peer {

namespace {

// Above this many unsent bytes, heartbeats are dropped and other messages are still sent: the next heartbeat
// replaces a dropped one.
constexpr std::size_t maxUnsentBytesForHeartbeat = 64U * 1024U;
// At this many unanswered calls the connection is closed: the peer reads but does not answer.
constexpr std::size_t maxCallsInFlight = 4'096;

} // namespace

struct PeerConnector::ConnectionAttempt {
    uv_connect_t request {};
    uv_tcp_t* tcp = nullptr;
    PeerConnector* owner = nullptr; // null once the attempt is abandoned
};

PeerConnector::PeerConnector(
    uv_loop_t* loop, HostId self, PeerAddress peer, PeerTimings timings, std::uint64_t seed)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_peer(std::move(peer))
    , m_timings(timings)
    , m_random(seed)
    , m_retryDelay(timings.initialRetryDelay)
{
}

PeerConnector::~PeerConnector()
{
    closeLink();
    if (m_attempt)
        m_attempt->owner = nullptr;
    if (m_attempt && m_attempt->tcp)
        UvMessageStream::closeTcpHandle(std::exchange(m_attempt->tcp, nullptr));
}

bool PeerConnector::send(const PeerMessage& message)
{
    if (!isConnected() || m_isBroken)
        return false;
    const bool isHeartbeat = std::holds_alternative<PeerHeartbeat>(message);
    if (isHeartbeat && m_link->stream.unsentBytes() > maxUnsentBytesForHeartbeat)
        return false;
    if (m_callsInFlight >= maxCallsInFlight) {
        m_isBroken = true;
        return false;
    }
    try {
        auto request = m_session->deliverRequest();
        encode(message, request.initMessage());
        ++m_callsInFlight;
        m_calls->add(request.send().ignoreResult().then([this] { --m_callsInFlight; }));
    } catch (const kj::Exception&) {
        // The connection failed during the call.
        m_isBroken = true;
        return false;
    }
    return true;
}

void PeerConnector::taskFailed(kj::Exception&& /*exception*/) { m_isBroken = true; }

bool PeerConnector::check(TimePoint now)
{
    if (!m_link) {
        if (m_attempt && now - m_lastReceivedAt >= m_timings.silenceTimeout) {
            m_attempt->owner = nullptr;
            UvMessageStream::closeTcpHandle(std::exchange(m_attempt->tcp, nullptr));
            m_attempt = nullptr;
            scheduleRetry(now);
        }
        if (!m_attempt && now >= m_retryAt)
            startConnecting(now);
        return false;
    }
    if (!m_isBroken && !m_link->stream.isClosed() && !isSilent(now))
        return false;
    closeLink();
    scheduleRetry(now);
    return true;
}

bool PeerConnector::isSilent(TimePoint now)
{
    const std::size_t received = m_link->stream.messagesReceived();
    if (received != m_lastReceivedCount) {
        m_lastReceivedCount = received;
        m_lastReceivedAt = now;
        m_retryDelay = m_timings.initialRetryDelay;
    }
    return now - m_lastReceivedAt >= m_timings.silenceTimeout;
}

void PeerConnector::startConnecting(TimePoint now)
{
    m_lastReceivedAt = now;
    sockaddr_storage address {};
    const auto& [ip, port] = m_peer.address;
    if (uv_ip4_addr(ip.c_str(), port, reinterpret_cast<sockaddr_in*>(&address)) != 0
        && uv_ip6_addr(ip.c_str(), port, reinterpret_cast<sockaddr_in6*>(&address)) != 0) {
        scheduleRetry(now);
        return;
    }
    m_attempt = new ConnectionAttempt;
    m_attempt->owner = this;
    m_attempt->tcp = UvMessageStream::newTcpHandle(m_loop);
    m_attempt->request.data = m_attempt;
    const int error = uv_tcp_connect(&m_attempt->request, m_attempt->tcp,
        reinterpret_cast<const sockaddr*>(&address), [](uv_connect_t* request, int status) {
            auto* attempt = static_cast<ConnectionAttempt*>(request->data);
            if (attempt->owner)
                attempt->owner->finishConnecting(status);
            delete attempt;
        });
    if (error != 0) {
        UvMessageStream::closeTcpHandle(m_attempt->tcp);
        delete std::exchange(m_attempt, nullptr);
        scheduleRetry(now);
    }
}

void PeerConnector::finishConnecting(int status)
{
    uv_tcp_t* tcp = std::exchange(m_attempt->tcp, nullptr);
    m_attempt = nullptr; // deleted by the connect callback
    if (status != 0) {
        UvMessageStream::closeTcpHandle(tcp);
        scheduleRetry(m_lastReceivedAt);
        return;
    }
    m_lastReceivedCount = 0;
    m_isBroken = false;
    m_callsInFlight = 0;
    m_link = std::make_unique<RpcLink>(tcp);
    m_link->stream.setTrafficCounters(m_traffic);
    m_calls.emplace(static_cast<kj::TaskSet::ErrorHandler&>(*this));
    try {
        auto open = m_link->bootstrap().castAs<wire::Peer>().openRequest();
        open.setHost(m_self.value().c_str());
        auto opened = open.send();
        m_session.emplace(opened.getSession());
        m_calls->add(opened.ignoreResult());
    } catch (const kj::Exception&) {
        m_isBroken = true;
    }
}

void PeerConnector::closeLink()
{
    // Promises and capabilities refer to the RPC system, so they are destroyed before it.
    m_calls.reset();
    m_session.reset();
    m_link.reset();
}

void PeerConnector::scheduleRetry(TimePoint now)
{
    // Jitter spreads out the reconnections of daemons of a zone that lost the same peer.
    const auto half = m_retryDelay.count() / 2;
    std::uniform_int_distribution<std::int64_t> jitter(0, half);
    m_retryAt = now + Milliseconds(half + jitter(m_random));
    m_retryDelay = std::min(m_retryDelay * 2, m_timings.maxRetryDelay);
}

} // namespace anvilmoor::peer
