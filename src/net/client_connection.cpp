#include "net/client_connection.h"

#include "net/socket_address.h"

#include <array>
#include <cerrno>
#include <fmt/format.h>
#include <sys/socket.h>
#include <utility>
#include <uv.h>

namespace anvilmoor::net {

namespace {

constexpr std::size_t readBufferBytes = 64U * 1024U;

// Shared by all connections, because the loop reads from one connection at a time.
std::array<char, readBufferBytes>& readBuffer()
{
    static std::array<char, readBufferBytes> buffer;
    return buffer;
}

} // namespace

// Outlives the connection until libuv has closed it.
struct ClientConnection::Socket {
    uv_tcp_t tcp {};
    uv_connect_t connect {};
    ClientConnection* owner = nullptr; // null once closed

    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&tcp); }
};

ClientConnection::ClientConnection(EventLoop& loop)
    : m_socket(new Socket)
{
    uv_tcp_init(loop.handle(), &m_socket->tcp);
    m_socket->tcp.data = m_socket;
    m_socket->owner = this;
}

ClientConnection::~ClientConnection() { close(); }

void ClientConnection::close()
{
    Socket* socket = std::exchange(m_socket, nullptr);
    if (!socket)
        return;
    socket->owner = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(&socket->tcp),
        [](uv_handle_t* handle) { delete static_cast<Socket*>(handle->data); });
}

bool ClientConnection::connectAndSend(
    const SocketAddress& address, std::string request, bool isBodyless, Callback callback)
{
    sockaddr_storage storage {};
    if (!m_socket || !toSocketAddress(address, storage))
        return false;
    m_request = std::move(request);
    m_parser.emplace(isBodyless);
    m_callback = std::move(callback);
    uv_tcp_nodelay(&m_socket->tcp, 1);
    m_socket->connect.data = m_socket;
    const int code = uv_tcp_connect(&m_socket->connect, &m_socket->tcp, reinterpret_cast<sockaddr*>(&storage),
        [](uv_connect_t* connect, int status) {
            auto* socket = static_cast<Socket*>(connect->data);
            if (socket->owner)
                socket->owner->onConnected(status);
        });
    if (code)
        m_callback = nullptr;
    return code == 0;
}

void ClientConnection::onConnected(int status)
{
    if (status) {
        finish(tl::unexpected(HttpError {
                   HttpErrorKind::NotSent, fmt::format("cannot connect: {}", uv_strerror(status)) }),
            false);
        return;
    }
    const int code = uv_read_start(
        m_socket->stream(),
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
            *buffer = uv_buf_init(readBuffer().data(), static_cast<unsigned>(readBufferBytes));
        },
        [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
            auto* socket = static_cast<Socket*>(stream->data);
            if (!socket->owner || !count)
                return;
            if (count < 0)
                socket->owner->onEnded(uv_strerror(static_cast<int>(count)));
            else
                socket->owner->onReceived({ buffer->base, static_cast<std::size_t>(count) });
        });
    if (code) {
        finish(tl::unexpected(HttpError { HttpErrorKind::NotSent, uv_strerror(code) }), false);
        return;
    }
    write();
}

void ClientConnection::send(std::string request, bool isBodyless, Callback callback)
{
    m_onClosed = nullptr;
    m_bytesReceived = 0;
    m_request = std::move(request);
    m_parser.emplace(isBodyless);
    m_callback = std::move(callback);
    write();
}

void ClientConnection::write()
{
    struct Write {
        uv_write_t request {};
        std::string bytes;
        Socket* socket = nullptr;
    };
    m_hasBegunSending = true;
    auto* operation = new Write;
    operation->bytes = std::exchange(m_request, {});
    operation->socket = m_socket;
    operation->request.data = operation;
    const uv_buf_t buffer
        = uv_buf_init(operation->bytes.data(), static_cast<unsigned>(operation->bytes.size()));
    const int code
        = uv_write(&operation->request, m_socket->stream(), &buffer, 1, [](uv_write_t* request, int status) {
              const std::unique_ptr<Write> done(static_cast<Write*>(request->data));
              // Not an error yet if the server closed the connection before it read the whole request: it may
              // have sent a response, for example 413. The next read returns the response or the close.
              if (status && status != UV_ECANCELED && status != UV_EPIPE && status != UV_ECONNRESET
                  && done->socket->owner)
                  done->socket->owner->onEnded(uv_strerror(status));
          });
    if (!code)
        return;
    delete operation;
    finish(tl::unexpected(HttpError { HttpErrorKind::Lost, uv_strerror(code) }), false);
}

void ClientConnection::onReceived(std::string_view bytes)
{
    if (!m_callback || !m_parser) {
        onEnded("the server sent bytes without a request");
        return;
    }
    m_bytesReceived += bytes.size();
    switch (m_parser->feed(bytes)) {
    case HttpResponseParser::Status::NeedsMore:
        return;
    case HttpResponseParser::Status::Done: {
        // The server may respond before it has read the whole request.
        const bool isFullySent = uv_stream_get_write_queue_size(m_socket->stream()) == 0;
        finish(m_parser->takeResponse(), isFullySent && m_parser->isReusable());
        return;
    }
    case HttpResponseParser::Status::Malformed:
        finish(tl::unexpected(HttpError { HttpErrorKind::Malformed, m_parser->problem() }), false);
        return;
    case HttpResponseParser::Status::TooLarge:
        finish(tl::unexpected(HttpError { HttpErrorKind::TooLarge,
                   fmt::format("the response's body exceeds {} bytes", maxBodyBytes) }),
            false);
        return;
    }
}

void ClientConnection::onEnded(const std::string& cause)
{
    if (m_callback) {
        const bool isTruncated = m_parser && m_parser->hasBytes();
        finish(tl::unexpected(HttpError { isTruncated ? HttpErrorKind::Malformed : HttpErrorKind::Lost,
                   fmt::format("the connection ended {} response: {}",
                       isTruncated ? "inside the" : "before the", cause) }),
            false);
        return;
    }
    const ClosedCallback callback = std::exchange(m_onClosed, nullptr);
    close();
    if (callback)
        callback();
}

void ClientConnection::finish(HttpResult result, bool isReusable)
{
    const Callback callback = std::exchange(m_callback, nullptr);
    m_parser.reset();
    if (!isReusable)
        close();
    if (callback)
        callback(std::move(result), isReusable);
}

void ClientConnection::becomeIdle(ClosedCallback onClosed)
{
    m_hasBegunSending = false;
    m_onClosed = std::move(onClosed);
}

bool ClientConnection::isUsable() const
{
    if (!m_socket)
        return false;
    uv_os_fd_t descriptor = -1;
    char byte = 0;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&m_socket->tcp), &descriptor) != 0)
        return false;
    const ssize_t count = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace anvilmoor::net
