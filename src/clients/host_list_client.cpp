#include "clients/host_list_client.h"

#include "clients/host_list_codec.h"

#include <fmt/format.h>
#include <utility>

namespace anvilmoor::clients {

namespace {

// The last list that the platform sent, and its entity tag.
struct LastList {
    std::string tag; // empty if the platform sent none
    std::vector<HostListEntry> hosts;
};

HostListResult resultOf(const net::HttpResult& result, LastList& last)
{
    if (!result)
        return tl::unexpected(HostListError { result.error().detail });
    if (result->status == 304 && !last.tag.empty())
        return last.hosts;
    if (result->status != 200)
        return tl::unexpected(HostListError {
            fmt::format("the request for the host list failed with status {}", result->status) });
    auto hosts = decodeHostList(result->body);
    if (!hosts)
        return tl::unexpected(HostListError { hosts.error().detail });
    last.tag = std::string(result->header("ETag"));
    last.hosts = last.tag.empty() ? std::vector<HostListEntry> {} : *hosts;
    return std::move(*hosts);
}

class HttpHostListClient : public HostListClient {
public:
    HttpHostListClient(net::HttpClient& client, net::SocketAddress address, Milliseconds timeout)
        : m_client(client)
        , m_address(std::move(address))
        , m_timeout(timeout)
    {
    }

    void fetch(HostListCallback callback) override
    {
        net::HttpRequest request { "GET", "/v1/hosts", {}, {}, "host_list" };
        // Most polls find the list unchanged, and the list of 19,000 workers has 890 KB.
        if (!m_last->tag.empty())
            request.headers.push_back({ "If-None-Match", m_last->tag });
        m_client.call(m_address, std::move(request), m_timeout,
            [last = m_last, callback = std::move(callback)](
                const net::HttpResult& result) { callback(resultOf(result, *last)); });
    }

private:
    net::HttpClient& m_client;
    net::SocketAddress m_address;
    Milliseconds m_timeout;
    // Shared with the callbacks, which may run after this client is destroyed.
    std::shared_ptr<LastList> m_last = std::make_shared<LastList>();
};

} // namespace

std::unique_ptr<HostListClient> makeHostListClient(
    net::HttpClient& client, net::SocketAddress address, Milliseconds timeout)
{
    return std::make_unique<HttpHostListClient>(client, std::move(address), timeout);
}

} // namespace anvilmoor::clients
