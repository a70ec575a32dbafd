#include "net/http_client.h"

#include "net/client_connection.h"
#include "net/header_lookup.h"
#include "net/socket_address.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace anvilmoor::net {

namespace {

// A connection that has had a response within this time is taken to work.
constexpr Milliseconds recentResponse { 100 };

HttpError errorOf(HttpErrorKind kind, std::string detail) { return { kind, std::move(detail) }; }

bool isFramingHeader(const HttpHeader& header)
{
    return isEqualIgnoringCase(header.name, "host") || isEqualIgnoringCase(header.name, "content-length")
        || isEqualIgnoringCase(header.name, "connection")
        || isEqualIgnoringCase(header.name, "transfer-encoding");
}

// Returns false if serialize() would not preserve the request, for example because of a line break in a
// header.
bool isWritable(const HttpRequest& request)
{
    const auto isPlain = [](char c) { return c > ' ' && c != 0x7f; };
    return !request.method.empty() && std::ranges::all_of(request.method, isPlain)
        && request.path.starts_with('/') && std::ranges::all_of(request.path, isPlain)
        && std::ranges::all_of(request.headers, isSafeHeader);
}

std::string serialize(const SocketAddress& address, const HttpRequest& request)
{
    std::string text
        = fmt::format("{} {} HTTP/1.1\r\nhost: {}\r\n", request.method, request.path, toString(address));
    for (const HttpHeader& header : request.headers) {
        if (!isFramingHeader(header))
            text += fmt::format("{}: {}\r\n", header.name, header.value);
    }
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        text += fmt::format("content-length: {}\r\n", request.body.size());
    text += "\r\n";
    text += request.body;
    return text;
}

class SocketClient : public HttpClient {
public:
    SocketClient(EventLoop& loop, HttpClientLimits limits)
        : m_loop(loop)
        , m_limits(limits)
        , m_isAlive(std::make_shared<bool>(true))
    {
    }
    ~SocketClient() override { *m_isAlive = false; }
    SocketClient(const SocketClient&) = delete;
    SocketClient& operator=(const SocketClient&) = delete;

    HttpCallId call(const SocketAddress&, HttpRequest, Milliseconds timeout, HttpCallback) override;
    void cancel(HttpCallId) override;
    TrafficByKind traffic() const override { return m_traffic; }

private:
    using AddressKey = std::pair<std::string, std::uint16_t>;

    struct Idle {
        std::unique_ptr<ClientConnection> connection;
        std::unique_ptr<Timer> timer;
        std::uint64_t id = 0;
        TimePoint since {}; // when the last response arrived
    };

    struct ConnectionPool {
        std::size_t active = 0;
        std::vector<Idle> idle; // in order of last use, the most recent at the end
        std::deque<HttpCallId> queue;
    };

    struct Call {
        SocketAddress address;
        std::string request; // moved out when handed to a connection
        Traffic* traffic = nullptr; // element of m_traffic, from which no element is ever erased
        bool isBodyless = false;
        HttpCallback callback;
        std::unique_ptr<Timer> timeoutTimer;
        std::unique_ptr<Timer> connectTimer;
        std::unique_ptr<ClientConnection> connection; // null while queued
    };

    static AddressKey keyOf(const SocketAddress& address) { return { address.ip, address.port }; }
    void start(HttpCallId, Call&);
    bool startOnIdleConnection(HttpCallId, Call&, ConnectionPool&);
    void startOnNewConnection(HttpCallId, Call&);
    void startQueued(const AddressKey&);
    void postFailure(HttpCallId, HttpError);
    void failAfterReading(HttpCallId, void (SocketClient::*fail)(HttpCallId));
    void onTimeout(HttpCallId);
    void onConnectTimeout(HttpCallId);
    void onResult(HttpCallId, HttpResult, bool isReusable);
    void complete(HttpCallId, HttpResult, bool isReusable);
    void keepIdle(const AddressKey&, std::unique_ptr<ClientConnection>);
    void closeIdle(const AddressKey&, std::uint64_t id);
    void closeUnprovenIdle(const AddressKey&);
    void eraseIfUnused(const AddressKey&);

    EventLoop& m_loop;
    HttpClientLimits m_limits;
    std::shared_ptr<bool> m_isAlive;
    HttpCallId m_lastId = 0;
    std::uint64_t m_lastIdleId = 0;
    TrafficByKind m_traffic;
    std::map<AddressKey, ConnectionPool> m_pools;
    std::unordered_map<HttpCallId, Call> m_calls;
};

HttpCallId SocketClient::call(
    const SocketAddress& address, HttpRequest request, Milliseconds timeout, HttpCallback callback)
{
    const HttpCallId id = ++m_lastId;
    Call& call = m_calls[id];
    call.address = address;
    call.callback = std::move(callback);
    if (request.body.size() > maxBodyBytes) {
        postFailure(id, errorOf(HttpErrorKind::NotSent, "the request's body exceeds the limit of 8 MiB"));
        return id;
    }
    if (!isWritable(request)) {
        postFailure(id, errorOf(HttpErrorKind::NotSent, "the request's method, path or headers are invalid"));
        return id;
    }
    ConnectionPool& pool = m_pools[keyOf(address)];
    const bool hasFreeConnection = pool.active < m_limits.connectionsPerAddress;
    if (!hasFreeConnection && pool.queue.size() >= m_limits.queuedPerAddress) {
        postFailure(id,
            errorOf(HttpErrorKind::NotSent,
                fmt::format("{} calls already wait for {}", pool.queue.size(), toString(address))));
        return id;
    }
    call.request = serialize(address, request);
    call.traffic = &m_traffic[request.trafficKind];
    call.isBodyless = request.method == "HEAD";
    call.timeoutTimer = std::make_unique<Timer>(m_loop);
    call.timeoutTimer->startOnce(timeout, [this, id] { failAfterReading(id, &SocketClient::onTimeout); });
    if (hasFreeConnection)
        start(id, call);
    else
        pool.queue.push_back(id);
    return id;
}

void SocketClient::start(HttpCallId id, Call& call)
{
    ConnectionPool& pool = m_pools[keyOf(call.address)];
    ++pool.active;
    ++call.traffic->messagesSent;
    call.traffic->bytesSent += call.request.size();
    if (!startOnIdleConnection(id, call, pool))
        startOnNewConnection(id, call);
}

bool SocketClient::startOnIdleConnection(HttpCallId id, Call& call, ConnectionPool& pool)
{
    while (!pool.idle.empty()) {
        Idle idle = std::move(pool.idle.back());
        pool.idle.pop_back();
        // Nothing has been sent yet, so skipping a connection that the server has closed does not resend
        // anything.
        if (!idle.connection->isUsable())
            continue;
        call.connection = std::move(idle.connection);
        call.connection->send(std::move(call.request), call.isBodyless,
            [this, id](HttpResult result, bool isReusable) { onResult(id, std::move(result), isReusable); });
        return true;
    }
    return false;
}

void SocketClient::startOnNewConnection(HttpCallId id, Call& call)
{
    call.connection = std::make_unique<ClientConnection>(m_loop);
    const bool isConnecting
        = call.connection->connectAndSend(call.address, std::move(call.request), call.isBodyless,
            [this, id](HttpResult result, bool isReusable) { onResult(id, std::move(result), isReusable); });
    if (!isConnecting) {
        postFailure(
            id, errorOf(HttpErrorKind::NotSent, fmt::format("cannot connect to {}", toString(call.address))));
        return;
    }
    call.connectTimer = std::make_unique<Timer>(m_loop);
    call.connectTimer->startOnce(
        m_limits.connectTimeout, [this, id] { failAfterReading(id, &SocketClient::onConnectTimeout); });
}

void SocketClient::postFailure(HttpCallId id, HttpError error)
{
    m_loop.post([this, id, error = std::move(error), isAlive = m_isAlive] {
        if (*isAlive)
            complete(id, tl::unexpected(error), false);
    });
}

// If the process was busy or suspended, its timers expire before it reads the responses that have arrived in
// the meantime. Such a response counts, so it is read before the call is given up.
void SocketClient::failAfterReading(HttpCallId id, void (SocketClient::*fail)(HttpCallId))
{
    m_loop.postAfterReading([this, id, fail, isAlive = m_isAlive] {
        if (*isAlive)
            (this->*fail)(id);
    });
}

void SocketClient::onTimeout(HttpCallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Call& call = found->second;
    const bool isSent = call.connection && call.connection->hasBegunSending();
    if (isSent)
        closeUnprovenIdle(keyOf(call.address));
    complete(id,
        tl::unexpected(errorOf(isSent ? HttpErrorKind::TimedOut : HttpErrorKind::NotSent,
            isSent                ? "no complete response before the timeout of the call"
                : call.connection ? "not connected before the timeout of the call"
                                  : "no connection was free before the timeout of the call")),
        false);
}

void SocketClient::onConnectTimeout(HttpCallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.connection->hasBegunSending())
        return;
    complete(id, tl::unexpected(errorOf(HttpErrorKind::NotSent, "not connected before the connect timeout")),
        false);
}

void SocketClient::onResult(HttpCallId id, HttpResult result, bool isReusable)
{
    // send() may report a failed connection while call() is still running, and call() must not run callbacks.
    if (!result && result.error().kind == HttpErrorKind::Lost) {
        postFailure(id, result.error());
        return;
    }
    complete(id, std::move(result), isReusable);
}

void SocketClient::complete(HttpCallId id, HttpResult result, bool isReusable)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    Call call = std::move(found->second);
    m_calls.erase(found);
    const AddressKey key = keyOf(call.address);
    if (call.connection) {
        --m_pools[key].active;
        call.traffic->messagesReceived += result ? 1 : 0;
        call.traffic->bytesReceived += call.connection->bytesReceived();
        if (isReusable)
            keepIdle(key, std::move(call.connection));
        startQueued(key);
    } else if (const auto pool = m_pools.find(key); pool != m_pools.end()) {
        std::erase(pool->second.queue, id);
    }
    eraseIfUnused(key);
    // Must be last, because the callback may start or cancel calls or destroy the client.
    call.callback(std::move(result));
}

void SocketClient::startQueued(const AddressKey& key)
{
    ConnectionPool& pool = m_pools[key];
    while (!pool.queue.empty() && pool.active < m_limits.connectionsPerAddress) {
        const HttpCallId next = pool.queue.front();
        pool.queue.pop_front();
        const auto found = m_calls.find(next);
        if (found != m_calls.end())
            start(next, found->second);
    }
}

void SocketClient::keepIdle(const AddressKey& key, std::unique_ptr<ClientConnection> connection)
{
    ConnectionPool& pool = m_pools[key];
    if (pool.idle.size() >= m_limits.idlePerAddress)
        return;
    const std::uint64_t id = ++m_lastIdleId;
    connection->becomeIdle([this, key, id] { closeIdle(key, id); });
    auto timer = std::make_unique<Timer>(m_loop);
    timer->startOnce(m_limits.idleTimeout, [this, key, id] { closeIdle(key, id); });
    timer->unref();
    pool.idle.push_back({ std::move(connection), std::move(timer), id, m_loop.now() });
}

void SocketClient::closeIdle(const AddressKey& key, std::uint64_t id)
{
    const auto pool = m_pools.find(key);
    if (pool == m_pools.end())
        return;
    std::erase_if(pool->second.idle, [id](const Idle& idle) { return idle.id == id; });
    eraseIfUnused(key);
}

// What has made one connection silent may have done so to all that were open. They look usable, and each call
// on one of them would have to time out.
void SocketClient::closeUnprovenIdle(const AddressKey& key)
{
    const TimePoint latest = m_loop.now() - recentResponse;
    std::erase_if(m_pools[key].idle, [latest](const Idle& idle) { return idle.since < latest; });
}

void SocketClient::eraseIfUnused(const AddressKey& key)
{
    const auto pool = m_pools.find(key);
    if (pool == m_pools.end())
        return;
    const ConnectionPool& state = pool->second;
    if (!state.active && state.idle.empty() && state.queue.empty())
        m_pools.erase(pool);
}

void SocketClient::cancel(HttpCallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    found->second.callback = [](const HttpResult&) {};
    complete(id, tl::unexpected(HttpError { HttpErrorKind::Lost, "cancelled" }), false);
}

} // namespace

std::unique_ptr<HttpClient> makeHttpClient(EventLoop& loop, HttpClientLimits limits)
{
    return std::make_unique<SocketClient>(loop, limits);
}

} // namespace anvilmoor::net
