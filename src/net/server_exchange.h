#pragma once

#include "net/disconnect_watcher.h"
#include "net/h2o_api.h"
#include "net/http.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace anvilmoor::net {

// The answer (504) to a request that the handler has received and will not answer. It may have an effect, so
// no status may be used that denies it.
HttpResponse outcomeUnknown(std::string reason);

// The state of one request in the server. Destroyed when both h2o has released the request and the handler
// has released its exchange.
class ExchangeState : public std::enable_shared_from_this<ExchangeState> {
public:
    ExchangeState(h2o_req_t*, EventLoop&, int socket);

    const HttpRequest& request() const { return m_request; }
    // Empty until answered.
    std::optional<TimePoint> answeredAt() const { return m_answeredAt; }
    // closesConnection: closes the connection after the response and tells the client so.
    void answer(const HttpResponse&, bool closesConnection);
    void watchForDisconnect(std::function<void()>);
    // Must be called when h2o releases the request, after its response was sent or failed.
    void release();

    // Set by the server. While it returns true, every answer closes the connection.
    std::function<bool()> isStopping;

private:
    void handleClientGone();

    h2o_req_t* m_pending; // null once answered
    EventLoop& m_loop; // used only while the request is pending
    int m_socket;
    std::optional<TimePoint> m_answeredAt;
    HttpRequest m_request;
    std::function<void()> m_onClientGone;
    std::unique_ptr<DisconnectWatcher> m_watcher;
};

// The exchange that is passed to the handler. If it is destroyed without an answer, the request is answered
// with 500.
class ServerExchange : public HttpExchange {
public:
    explicit ServerExchange(std::shared_ptr<ExchangeState>);
    ~ServerExchange() override;
    ServerExchange(const ServerExchange&) = delete;
    ServerExchange& operator=(const ServerExchange&) = delete;

    const HttpRequest& request() const override { return m_state->request(); }
    void respond(HttpResponse) override;
    void onClientGone(std::function<void()>) override;

private:
    std::shared_ptr<ExchangeState> m_state;
};

} // namespace anvilmoor::net
