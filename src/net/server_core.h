#pragma once

#include "net/event_loop.h"
#include "net/h2o_api.h"
#include "net/http.h"
#include "net/http_server.h"
#include "net/net_error.h"
#include "net/server_exchange.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

namespace anvilmoor::net {

// The listener, the connections and the h2o context of one server. Outlives its HttpServer until libuv has
// closed all handles, and then deletes itself.
class ServerCore {
public:
    ServerCore(EventLoop&, HttpHandler, HttpServerLimits);

    // After an error, the caller must call abandon().
    std::optional<NetError> listen(const SocketAddress&);
    std::uint16_t port() const { return m_port; }
    std::size_t exchangesInFlight() const { return m_exchanges.size(); }
    std::size_t openConnections() const { return m_connections.size(); }
    void stopAccepting();
    // Answers open exchanges with outcomeUnknown(), closes the listener and all connections, and then deletes
    // the core.
    void abandon();

private:
    struct Connection;
    struct Handler;

    ~ServerCore();
    static void onConnection(uv_stream_t* listener, int status);
    static int onRequest(h2o_handler_t*, h2o_req_t*);
    void acceptPending();
    void acceptBacklog();
    Connection* newConnection();
    void serveConnection(Connection*);
    static void closeUnserved(Connection*);
    void dispatch(h2o_req_t*);
    void onConnectionClosed(Connection*);
    void onExchangeReleased(ExchangeState*, Connection*);
    void closeIdleConnections();
    void closeStalledResponses();
    void disposeWhenClosed();

    EventLoop& m_loop;
    uv_loop_t* m_uvLoop;
    HttpHandler m_handler;
    HttpServerLimits m_limits;
    h2o_globalconf_t m_configuration {};
    h2o_context_t m_context {};
    h2o_accept_ctx_t m_acceptContext {};
    uv_tcp_t m_listener {};
    uv_timer_t m_firstDisposal {};
    uv_timer_t m_secondDisposal {};
    std::uint16_t m_port = 0;
    std::optional<TimePoint> m_stoppedAt; // time of stopAccepting()
    bool m_isAbandoned = false;
    bool m_isListenerClosed = false;
    bool m_isDisposing = false;
    bool m_hasPendingConnection = false;
    std::unique_ptr<Timer> m_idleCheckTimer;
    std::unordered_map<h2o_socket_t*, Connection*> m_connections;
    std::unique_ptr<Timer> m_stallCheckTimer;
    std::unordered_map<std::shared_ptr<ExchangeState>, Connection*> m_exchanges;
};

} // namespace anvilmoor::net
