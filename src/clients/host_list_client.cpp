#include "clients/host_list_client.h"

#include "clients/host_list_codec.h"

#include <fmt/format.h>
#include <utility>

namespace anvilmoor::clients {

namespace {

// The last list that the platform sent, and its entity tag.
struct CachedHostList {
    std::string entityTag; // empty if the platform sent none
    std::vector<HostListEntry> hosts;
};

HostListResult resultOf(const net::HttpResult& result, CachedHostList& cached)
{
    if (!result)
        return tl::unexpected(HostListError { result.error().detail });
    if (result->status == 304 && !cached.entityTag.empty())
        return cached.hosts;
    if (result->status != 200)
        return tl::unexpected(HostListError {
            fmt::format("the request for the host list failed with status {}", result->status) });
    auto hosts = decodeHostList(result->body);
    if (!hosts)
        return tl::unexpected(HostListError { hosts.error().detail });
    cached.entityTag = std::string(result->header("ETag"));
    cached.hosts = cached.entityTag.empty() ? std::vector<HostListEntry> {} : *hosts;
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
        if (!m_cached->entityTag.empty())
            request.headers.push_back({ "If-None-Match", m_cached->entityTag });
        m_client.call(m_address, std::move(request), m_timeout,
            [cached = m_cached, callback = std::move(callback)](
                const net::HttpResult& result) { callback(resultOf(result, *cached)); });
    }

private:
    net::HttpClient& m_client;
    net::SocketAddress m_address;
    Milliseconds m_timeout;
    // Shared with the callbacks, which may run after this client is destroyed.
    std::shared_ptr<CachedHostList> m_cached = std::make_shared<CachedHostList>();
};

} // namespace

std::unique_ptr<HostListClient> makeHostListClient(
    net::HttpClient& client, net::SocketAddress address, Milliseconds timeout)
{
    return std::make_unique<HttpHostListClient>(client, std::move(address), timeout);
}

} // namespace anvilmoor::clients
