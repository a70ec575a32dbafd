#include "support/raw_peer.h"

#include <netinet/in.h>
#include <set>
#include <utility>
#include <uv.h>

namespace anvilmoor::testing {

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    uv_ip4_addr("127.0.0.1", port, &address);
    return address;
}

void allocate(uv_handle_t*, std::size_t size, uv_buf_t* buffer)
{
    *buffer = uv_buf_init(new char[size], static_cast<unsigned>(size));
}

void writeAll(uv_stream_t* stream, const std::string& bytes)
{
    // The bytes are few enough to fit in the socket buffer, so that one attempt writes them all.
    const uv_buf_t buffer = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
    uv_try_write(stream, &buffer, 1);
}

template <typename State> struct Link {
    uv_tcp_t tcp {};
    uv_connect_t connect {};
    std::shared_ptr<State> state;

    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&tcp); }
};

template <typename State> Link<State>* makeLink(uv_loop_t* loop, std::shared_ptr<State> state)
{
    auto* link = new Link<State>;
    link->state = std::move(state);
    uv_tcp_init(loop, &link->tcp);
    link->tcp.data = link;
    return link;
}

template <typename State> void closeLink(Link<State>* link)
{
    auto* handle = reinterpret_cast<uv_handle_t*>(&link->tcp);
    if (!uv_is_closing(handle))
        uv_close(handle, [](uv_handle_t* closed) { delete static_cast<Link<State>*>(closed->data); });
}

} // namespace

struct RawServer::State {
    Behaviour behaviour;
    Link<State>* listener = nullptr;
    std::set<Link<State>*> open;
    int connections = 0;
    std::string received;

    static void onRead(uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer)
    {
        const std::unique_ptr<char[]> bytes(buffer->base);
        auto* link = static_cast<Link<State>*>(stream->data);
        const std::shared_ptr<State> state = link->state;
        if (count > 0) {
            state->received.append(bytes.get(), static_cast<std::size_t>(count));
            writeAll(stream, state->behaviour.answer);
        }
        if (count < 0 || (count > 0 && state->behaviour.closesAfterAnswer)) {
            state->open.erase(link);
            closeLink(link);
        }
    }
};

RawServer::RawServer(net::EventLoop& loop, Behaviour behaviour)
    : m_state(std::make_shared<State>())
{
    m_state->behaviour = std::move(behaviour);
    m_state->listener = makeLink(loop.handle(), m_state);
    const sockaddr_in address = loopback(0);
    uv_tcp_bind(&m_state->listener->tcp, reinterpret_cast<const sockaddr*>(&address), 0);
    uv_listen(m_state->listener->stream(), 16, [](uv_stream_t* stream, int) {
        auto* listener = static_cast<Link<State>*>(stream->data);
        Link<State>* link = makeLink(stream->loop, listener->state);
        uv_accept(stream, link->stream());
        ++link->state->connections;
        link->state->open.insert(link);
        uv_read_start(link->stream(), allocate, State::onRead);
    });
}

RawServer::~RawServer()
{
    closeConnections();
    closeLink(m_state->listener);
}

std::uint16_t RawServer::port() const
{
    sockaddr_in address {};
    int length = sizeof(address);
    uv_tcp_getsockname(&m_state->listener->tcp, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

int RawServer::connections() const { return m_state->connections; }
const std::string& RawServer::received() const { return m_state->received; }

void RawServer::closeConnections()
{
    for (Link<State>* link : std::exchange(m_state->open, {}))
        closeLink(link);
}

struct RawClient::State {
    std::string bytes;
    std::string received;
    bool isClosed = false;
    bool isReading = true;
    Link<State>* link = nullptr;
};

RawClient::RawClient(net::EventLoop& loop, std::uint16_t port, std::string bytes, bool isReading)
    : m_state(std::make_shared<State>())
{
    m_state->bytes = std::move(bytes);
    m_state->isReading = isReading;
    m_state->link = makeLink(loop.handle(), m_state);
    m_state->link->connect.data = m_state->link;
    const sockaddr_in address = loopback(port);
    uv_tcp_connect(&m_state->link->connect, &m_state->link->tcp, reinterpret_cast<const sockaddr*>(&address),
        [](uv_connect_t* connect, int status) {
            auto* link = static_cast<Link<State>*>(connect->data);
            if (status) {
                link->state->isClosed = true;
                return;
            }
            writeAll(link->stream(), link->state->bytes);
            if (!link->state->isReading)
                return;
            uv_read_start(
                link->stream(), allocate, [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
                    const std::unique_ptr<char[]> data(buffer->base);
                    State& state = *static_cast<Link<State>*>(stream->data)->state;
                    if (count > 0)
                        state.received.append(data.get(), static_cast<std::size_t>(count));
                    state.isClosed |= count < 0;
                });
        });
}

RawClient::~RawClient() { closeLink(m_state->link); }

void RawClient::send(const std::string& bytes) { writeAll(m_state->link->stream(), bytes); }

const std::string& RawClient::received() const { return m_state->received; }
bool RawClient::isClosed() const { return m_state->isClosed; }

} // namespace anvilmoor::testing
