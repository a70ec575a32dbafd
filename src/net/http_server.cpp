#include "net/http_server.h"

#include "net/server_core.h"

#include <utility>

namespace anvilmoor::net {

namespace {

class H2oServer : public HttpServer {
public:
    explicit H2oServer(ServerCore* core)
        : m_core(core)
    {
    }
    ~H2oServer() override { m_core->abandon(); }
    H2oServer(const H2oServer&) = delete;
    H2oServer& operator=(const H2oServer&) = delete;

    std::uint16_t port() const override { return m_core->port(); }
    std::size_t exchangesInFlight() const override { return m_core->exchangesInFlight(); }
    std::size_t openConnections() const override { return m_core->openConnections(); }
    void stopAccepting() override { m_core->stopAccepting(); }

private:
    ServerCore* m_core; // deletes itself after abandon()
};

} // namespace

tl::expected<std::unique_ptr<HttpServer>, NetError> makeHttpServer(
    EventLoop& loop, const SocketAddress& address, HttpHandler handler, HttpServerLimits limits)
{
    auto* core = new ServerCore(loop, std::move(handler), limits);
    if (auto error = core->listen(address)) {
        core->abandon();
        return tl::unexpected(std::move(*error));
    }
    return std::make_unique<H2oServer>(core);
}

} // namespace anvilmoor::net
