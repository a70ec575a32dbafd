#pragma once

#include "net/event_loop.h"
#include "net/http.h"
#include "net/net_error.h"

#include <memory>
#include <tl/expected.hpp>

namespace anvilmoor::net {

struct HttpServerLimits {
    // A client is disconnected if it sends no complete request within this time, also on an idle connection.
    // Longer than HttpClientLimits::idleTimeout, so that normally the client closes an idle connection.
    Milliseconds requestReadTimeout { 15'000 };
    // A client that has not received the whole response within this time is disconnected.
    Milliseconds responseWriteTimeout { 30'000 };
    // Further connections wait in the listen backlog until a connection is closed.
    std::size_t connections = 4'096;
};

// Creates a server that listens at once. The handler is called from the loop. An exchange that the handler
// releases without an answer is answered with 500. Destroying the server answers open exchanges with 504, as
// only the handler knows whether their requests have an effect, and closes all connections.
tl::expected<std::unique_ptr<HttpServer>, NetError> makeHttpServer(
    EventLoop&, const SocketAddress&, HttpHandler, HttpServerLimits = {});

} // namespace anvilmoor::net
