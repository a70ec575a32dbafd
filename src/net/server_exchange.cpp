#include "net/server_exchange.h"

#include "net/header_lookup.h"

#include <utility>

namespace anvilmoor::net {

namespace {

std::string textOf(h2o_iovec_t bytes)
{
    return bytes.base ? std::string(bytes.base, bytes.len) : std::string();
}

HttpRequest requestOf(const h2o_req_t& raw)
{
    HttpRequest request { textOf(raw.input.method), textOf(raw.input.path), {}, textOf(raw.entity) };
    // h2o does not list this header among the others.
    request.headers.push_back({ "Host", textOf(raw.input.authority) });
    for (std::size_t i = 0; i < raw.headers.size; ++i) {
        const h2o_header_t& header = raw.headers.entries[i];
        request.headers.push_back({ textOf(*header.name), textOf(header.value) });
    }
    return request;
}

const char* reasonOf(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 500:
        return "Internal Server Error";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return status < 400 ? "Success" : "Error";
    }
}

// Headers that delimit the message. Only the server itself sets them.
bool isFramingHeader(const HttpHeader& header)
{
    return isEqualIgnoringCase(header.name, "content-length")
        || isEqualIgnoringCase(header.name, "connection")
        || isEqualIgnoringCase(header.name, "transfer-encoding");
}

void addHeaders(h2o_req_t* raw, const std::vector<HttpHeader>& headers)
{
    for (const HttpHeader& header : headers) {
        if (isFramingHeader(header) || !isSafeHeader(header))
            continue;
        const h2o_iovec_t name = h2o_strdup(&raw->pool, header.name.data(), header.name.size());
        const h2o_iovec_t value = h2o_strdup(&raw->pool, header.value.data(), header.value.size());
        // h2o recognizes header names in lower case only. Other names are sent in their original case.
        h2o_strtolower(name.base, name.len);
        h2o_add_header_by_str(
            &raw->pool, &raw->res.headers, name.base, name.len, 1, header.name.data(), value.base, value.len);
    }
}

} // namespace

HttpResponse outcomeUnknown(std::string reason) { return { 504, {}, std::move(reason) }; }

ExchangeState::ExchangeState(h2o_req_t* raw, EventLoop& loop, int socket)
    : m_pending(raw)
    , m_loop(loop)
    , m_socket(socket)
    , m_request(requestOf(*raw))
{
}

void ExchangeState::answer(const HttpResponse& response, bool closesConnection)
{
    h2o_req_t* const raw = std::exchange(m_pending, nullptr);
    if (!raw)
        return;
    m_answeredAt = m_loop.now();
    m_watcher.reset();
    m_onClientGone = nullptr;
    raw->res.status = response.status;
    raw->res.reason = reasonOf(response.status);
    raw->res.content_length = response.body.size();
    if (closesConnection || (isStopping && isStopping()))
        raw->http1_is_persistent = 0;
    addHeaders(raw, response.headers);
    h2o_send_inline(raw, response.body.data(), response.body.size());
}

void ExchangeState::watchForDisconnect(std::function<void()> callback)
{
    if (!m_pending || m_socket < 0)
        return;
    m_onClientGone = std::move(callback);
    const std::weak_ptr<ExchangeState> self = weak_from_this();
    m_watcher = std::make_unique<DisconnectWatcher>(m_loop.handle(), m_socket, [self] {
        if (const auto state = self.lock())
            state->handleClientGone();
    });
}

void ExchangeState::handleClientGone()
{
    const std::function<void()> callback = std::exchange(m_onClientGone, nullptr);
    // h2o does not read from the socket while a request is open, so it does not detect the close. The failed
    // write of this answer makes it close the connection.
    answer(outcomeUnknown("the client closed the connection"), true);
    if (callback)
        callback();
}

void ExchangeState::release()
{
    m_pending = nullptr;
    m_watcher.reset();
    m_onClientGone = nullptr;
    isStopping = nullptr;
}

ServerExchange::ServerExchange(std::shared_ptr<ExchangeState> state)
    : m_state(std::move(state))
{
}

ServerExchange::~ServerExchange()
{
    m_state->answer({ 500, {}, "the server released the request without an answer" }, false);
}

void ServerExchange::respond(HttpResponse response) { m_state->answer(response, false); }

void ServerExchange::onClientGone(std::function<void()> callback)
{
    m_state->watchForDisconnect(std::move(callback));
}

} // namespace anvilmoor::net
