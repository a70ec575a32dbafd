#pragma once

#include "anvilmoor/time.h"
#include "net/traffic.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace anvilmoor::net {

// Larger bodies are refused: a server answers 413, a client reports TooLarge.
constexpr std::size_t maxBodyBytes = 8U * 1024U * 1024U;

struct SocketAddress {
    std::string ip; // numeric
    std::uint16_t port = 0;
};

struct HttpHeader {
    std::string name; // case-insensitive
    std::string value;
};

struct HttpRequest {
    std::string method = "GET";
    std::string path = "/"; // with query
    std::vector<HttpHeader> headers;
    std::string body;
    // The client counts the traffic of the call under this name. Must refer to a string literal.
    std::string_view trafficKind = "other";

    // Empty if absent.
    std::string_view header(std::string_view name) const;
};

struct HttpResponse {
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;

    std::string_view header(std::string_view name) const;
};

enum class HttpErrorKind {
    NotSent, // no byte of the request was sent
    Lost, // the connection failed or was closed after sending began
    TimedOut, // no complete response before the timeout; the server may have received the request
    Malformed, // the response is truncated or invalid
    TooLarge,
};

struct HttpError {
    HttpErrorKind kind = HttpErrorKind::Lost;
    std::string detail;
};

using HttpResult = tl::expected<HttpResponse, HttpError>;
using HttpCallback = std::function<void(HttpResult)>;

// Identifies a call of a client; never 0.
using HttpCallId = std::uint64_t;

// Calls HTTP servers on the event loop. Connections are kept alive and reused per address. The connection of
// a call that times out is closed.
class HttpClient {
public:
    virtual ~HttpClient() = default;

    // Runs the callback exactly once, from the loop and never from inside call(), unless the call is
    // cancelled.
    virtual HttpCallId call(const SocketAddress&, HttpRequest, Milliseconds timeout, HttpCallback) = 0;

    // Ends the call without running its callback, and closes its connection.
    virtual void cancel(HttpCallId) = 0;

    using TrafficByKind = std::map<std::string_view, Traffic>;
    // By HttpRequest::trafficKind, since the client was created. A response is counted when its call ends.
    virtual TrafficByKind traffic() const { return {}; }
};

// One request received by a server, to be answered once. An answer is discarded if the client has closed the
// connection or the exchange is already answered.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;
    virtual void respond(HttpResponse) = 0;
    // The function is called at most once, if the client closes the connection before the response.
    virtual void onClientGone(std::function<void()>) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

class HttpServer {
public:
    virtual ~HttpServer() = default;

    // The bound port, also if port 0 was requested.
    virtual std::uint16_t port() const = 0;
    virtual std::size_t exchangesInFlight() const = 0;
    virtual std::size_t openConnections() const = 0;
    // Accepts the connections in the backlog, then closes the listening socket. Open exchanges continue, and
    // every response closes its connection. A connection without an exchange is closed after 250 ms, so that
    // a request that its client was sending at the same time is still answered.
    virtual void stopAccepting() = 0;
};

} // namespace anvilmoor::net
