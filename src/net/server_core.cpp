#include "net/server_core.h"

#include "net/socket_address.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace anvilmoor::net {

namespace {

constexpr int listenBacklog = 1'024;

// Interval of the checks for idle connections while the server is stopping.
constexpr Milliseconds idleCheckInterval { 50 };

// While the server is stopping, a connection stays open for this time without an exchange. If it were closed
// at once, a client that sends its next request at that moment would get a reset and not learn the outcome.
constexpr Milliseconds minIdleTime { 250 };

// Interval of the checks of responseWriteTimeout.
constexpr Milliseconds stallCheckInterval { 500 };

NetError errorOf(int code, const SocketAddress& address)
{
    NetErrorKind kind = NetErrorKind::Failed;
    if (code == UV_EADDRINUSE)
        kind = NetErrorKind::AddressInUse;
    else if (code == UV_EACCES)
        kind = NetErrorKind::PermissionDenied;
    return { kind, fmt::format("cannot listen on {}: {}", toString(address), uv_strerror(code)) };
}

int descriptorOf(const uv_tcp_t& tcp)
{
    uv_os_fd_t descriptor = -1;
    uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp), &descriptor);
    return descriptor;
}

bool hasUnreadBytes(int descriptor)
{
    char byte = 0;
    return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

} // namespace

struct ServerCore::Connection {
    uv_tcp_t tcp {}; // must be the first member: callbacks of libuv cast its address to Connection*
    ServerCore* core = nullptr;
    h2o_socket_t* socket = nullptr;
    std::size_t openExchanges = 0;
    TimePoint idleSince {}; // when accepted, or when the last exchange was released
};

struct ServerCore::Handler {
    h2o_handler_t super;
    ServerCore* core;
};

ServerCore::ServerCore(EventLoop& loop, HttpHandler handler, HttpServerLimits limits)
    : m_loop(loop)
    , m_uvLoop(loop.handle())
    , m_handler(std::move(handler))
    , m_limits(limits)
{
    h2o_config_init(&m_configuration);
    m_configuration.server_name = h2o_iovec_init(H2O_STRLIT("anvilmoor"));
    m_configuration.max_request_entity_size = maxBodyBytes;
    m_configuration.http1.req_timeout = static_cast<std::uint64_t>(limits.requestReadTimeout.count());
    m_configuration.http1.upgrade_to_http2 = 0;
    h2o_hostconf_t* host
        = h2o_config_register_host(&m_configuration, h2o_iovec_init(H2O_STRLIT("default")), 65'535);
    h2o_pathconf_t* path = h2o_config_register_path(host, "/", 0);
    auto* raw = reinterpret_cast<Handler*>(h2o_create_handler(path, sizeof(Handler)));
    raw->super.on_req = onRequest;
    raw->core = this;
    h2o_context_init(&m_context, m_uvLoop, &m_configuration);
    m_acceptContext.ctx = &m_context;
    m_acceptContext.hosts = m_configuration.hosts;
    uv_tcp_init(m_uvLoop, &m_listener);
    m_listener.data = this;
    m_stallCheckTimer = std::make_unique<Timer>(loop);
    m_stallCheckTimer->startRepeating(stallCheckInterval, [this] { closeStalledResponses(); });
    m_stallCheckTimer->unref();
}

ServerCore::~ServerCore() = default;

std::optional<NetError> ServerCore::listen(const SocketAddress& address)
{
    sockaddr_storage storage {};
    if (!toSocketAddress(address, storage))
        return NetError { NetErrorKind::InvalidAddress,
            fmt::format("\"{}\" is not a numeric IP address", address.ip) };
    int code = uv_tcp_bind(&m_listener, reinterpret_cast<sockaddr*>(&storage), 0);
    if (!code)
        code = uv_listen(reinterpret_cast<uv_stream_t*>(&m_listener), listenBacklog, onConnection);
    if (code)
        return errorOf(code, address);
    int length = sizeof(storage);
    uv_tcp_getsockname(&m_listener, reinterpret_cast<sockaddr*>(&storage), &length);
    m_port = ntohs(storage.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port
                                                 : reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
    return std::nullopt;
}

void ServerCore::onConnection(uv_stream_t* listener, int status)
{
    auto* core = static_cast<ServerCore*>(listener->data);
    if (status != 0)
        return;
    core->m_hasPendingConnection = true;
    core->acceptPending();
}

void ServerCore::acceptPending()
{
    // libuv reports the next connection only after this one is accepted.
    if (!m_hasPendingConnection || m_stoppedAt || m_connections.size() >= m_limits.connections)
        return;
    m_hasPendingConnection = false;
    Connection* connection = newConnection();
    auto* stream = reinterpret_cast<uv_stream_t*>(&connection->tcp);
    if (uv_accept(reinterpret_cast<uv_stream_t*>(&m_listener), stream) != 0)
        closeUnserved(connection);
    else
        serveConnection(connection);
}

// Accepts the connections in the listen backlog. Closing the listening socket would reset them.
void ServerCore::acceptBacklog()
{
    acceptPending();
    const int listener = descriptorOf(m_listener);
    while (listener >= 0 && m_connections.size() < m_limits.connections) {
        const int descriptor = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        Connection* connection = newConnection();
        if (uv_tcp_open(&connection->tcp, descriptor) == 0) {
            serveConnection(connection);
            continue;
        }
        close(descriptor);
        closeUnserved(connection);
    }
}

ServerCore::Connection* ServerCore::newConnection()
{
    auto* connection = new Connection;
    connection->core = this;
    connection->idleSince = m_loop.now();
    uv_tcp_init(m_uvLoop, &connection->tcp);
    return connection;
}

void ServerCore::closeUnserved(Connection* connection)
{
    uv_close(reinterpret_cast<uv_handle_t*>(&connection->tcp),
        [](uv_handle_t* handle) { delete reinterpret_cast<Connection*>(handle); });
}

void ServerCore::serveConnection(Connection* connection)
{
    uv_tcp_nodelay(&connection->tcp, 1);
    auto* stream = reinterpret_cast<uv_stream_t*>(&connection->tcp);
    connection->socket = h2o_uv_socket_create(stream, [](uv_handle_t* handle) {
        auto* closed = reinterpret_cast<Connection*>(handle);
        closed->core->onConnectionClosed(closed);
    });
    m_connections.emplace(connection->socket, connection);
    h2o_accept(&m_acceptContext, connection->socket);
}

int ServerCore::onRequest(h2o_handler_t* handler, h2o_req_t* raw)
{
    reinterpret_cast<Handler*>(handler)->core->dispatch(raw);
    return 0;
}

void ServerCore::dispatch(h2o_req_t* raw)
{
    const auto found = m_connections.find(raw->conn->callbacks->get_socket(raw->conn));
    if (found == m_connections.end()) {
        h2o_send_error_503(raw, "Service Unavailable", "unknown connection", 0);
        return;
    }
    Connection* connection = found->second;
    auto state = std::make_shared<ExchangeState>(raw, m_loop, descriptorOf(connection->tcp));
    state->isStopping = [this] { return m_stoppedAt.has_value(); };
    m_exchanges.emplace(state, connection);
    ++connection->openExchanges;

    struct Release {
        ServerCore* core;
        ExchangeState* state;
        Connection* connection;
    };
    auto* release = static_cast<Release*>(h2o_mem_alloc_shared(&raw->pool, sizeof(Release), [](void* memory) {
        const auto* released = static_cast<Release*>(memory);
        released->core->onExchangeReleased(released->state, released->connection);
    }));
    *release = { this, state.get(), connection };

    if (m_isAbandoned) {
        // The handler never gets this request, so it has no effect.
        state->answer({ 503, {}, "the server is stopping" }, true);
        return;
    }
    m_handler(std::make_shared<ServerExchange>(std::move(state)));
}

void ServerCore::onExchangeReleased(ExchangeState* released, Connection* connection)
{
    --connection->openExchanges;
    connection->idleSince = m_loop.now();
    released->release();
    m_exchanges.erase(released->shared_from_this());
}

void ServerCore::onConnectionClosed(Connection* connection)
{
    m_connections.erase(connection->socket);
    delete connection;
    acceptPending();
    disposeWhenClosed();
}

void ServerCore::stopAccepting()
{
    if (m_stoppedAt)
        return;
    if (!m_isAbandoned)
        acceptBacklog();
    m_stoppedAt = m_loop.now();
    uv_close(reinterpret_cast<uv_handle_t*>(&m_listener), [](uv_handle_t* handle) {
        auto* core = static_cast<ServerCore*>(handle->data);
        core->m_isListenerClosed = true;
        core->disposeWhenClosed();
    });
    m_idleCheckTimer = std::make_unique<Timer>(m_loop);
    m_idleCheckTimer->startRepeating(idleCheckInterval, [this] { closeIdleConnections(); });
    m_idleCheckTimer->unref();
}

void ServerCore::closeIdleConnections()
{
    const TimePoint latest = m_loop.now() - minIdleTime;
    if (m_stoppedAt > latest)
        return;
    for (const auto& [socket, connection] : m_connections) {
        const int descriptor = descriptorOf(connection->tcp);
        if (descriptor < 0 || connection->openExchanges || connection->idleSince > latest
            || socket->input->size || hasUnreadBytes(descriptor))
            continue;
        // h2o then reads the end of the stream and closes the connection.
        shutdown(descriptor, SHUT_RD);
    }
}

void ServerCore::closeStalledResponses()
{
    const TimePoint oldest = m_loop.now() - m_limits.responseWriteTimeout;
    for (const auto& [exchange, connection] : m_exchanges) {
        const auto answeredAt = exchange->answeredAt();
        const int descriptor = descriptorOf(connection->tcp);
        // The write of h2o then fails, and h2o closes the connection.
        if (answeredAt && *answeredAt <= oldest && descriptor >= 0)
            shutdown(descriptor, SHUT_RDWR);
    }
}

void ServerCore::abandon()
{
    m_isAbandoned = true;
    m_handler = nullptr;
    stopAccepting();
    m_idleCheckTimer.reset();
    m_stallCheckTimer.reset();
    const auto open = m_exchanges;
    for (const auto& [exchange, connection] : open)
        exchange->answer(outcomeUnknown("the server stopped before the outcome was known"), true);
    for (const auto& [socket, connection] : m_connections) {
        const int descriptor = descriptorOf(connection->tcp);
        if (descriptor >= 0)
            shutdown(descriptor, SHUT_RDWR);
    }
    disposeWhenClosed();
}

void ServerCore::disposeWhenClosed()
{
    if (!m_isAbandoned || !m_isListenerClosed || !m_connections.empty() || std::exchange(m_isDisposing, true))
        return;
    // Disposing of h2o's context closes its libuv handles, and the core must outlive them. It is therefore
    // deleted one iteration later, in the close callback of a second handle.
    uv_timer_init(m_uvLoop, &m_firstDisposal);
    uv_timer_init(m_uvLoop, &m_secondDisposal);
    m_firstDisposal.data = this;
    m_secondDisposal.data = this;
    uv_close(reinterpret_cast<uv_handle_t*>(&m_firstDisposal), [](uv_handle_t* first) {
        auto* core = static_cast<ServerCore*>(first->data);
        h2o_context_dispose(&core->m_context);
        uv_close(reinterpret_cast<uv_handle_t*>(&core->m_secondDisposal), [](uv_handle_t* second) {
            auto* disposed = static_cast<ServerCore*>(second->data);
            h2o_config_dispose(&disposed->m_configuration);
            delete disposed;
        });
    });
}

} // namespace anvilmoor::net
