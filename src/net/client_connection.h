#pragma once

#include "net/event_loop.h"
#include "net/http.h"
#include "net/http_response_parser.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace anvilmoor::net {

// One TCP connection of the client, with one request at a time. The destructor closes the connection, and no
// callback is run afterwards.
class ClientConnection {
public:
    // Receives the result of the last send() or connectAndSend(). If `isReusable` is false, as after every
    // error, the connection is closed. The callback may destroy the connection.
    using Callback = std::function<void(HttpResult, bool isReusable)>;
    using ClosedCallback = std::function<void()>;

    explicit ClientConnection(EventLoop&);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    // Connects and then sends. Returns false, and runs no callback, if the connection attempt cannot be
    // started.
    bool connectAndSend(const SocketAddress&, std::string request, bool isBodyless, Callback);
    // Requires an idle connection.
    void send(std::string request, bool isBodyless, Callback);
    // Waits for the next send(). Runs onClosed if the server closes the connection or sends bytes without a
    // request.
    void becomeIdle(ClosedCallback onClosed);
    // Checks the socket itself, to detect a close or bytes that the loop has not reported yet.
    bool isUsable() const;
    // If false, certainly no byte of the current request was written.
    bool hasBegunSending() const { return m_hasBegunSending; }
    // Since the last send().
    std::size_t bytesReceived() const { return m_bytesReceived; }

private:
    struct Socket;

    void onConnected(int status);
    void write();
    void onReceived(std::string_view bytes);
    void onEnded(const std::string& cause);
    void finish(HttpResult, bool isReusable);
    void close();

    Socket* m_socket;
    bool m_hasBegunSending = false;
    std::size_t m_bytesReceived = 0;
    std::string m_request;
    std::optional<HttpResponseParser> m_parser;
    Callback m_callback;
    ClosedCallback m_onClosed;
};

} // namespace anvilmoor::net
