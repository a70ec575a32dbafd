#include "clients/endpoint_client.h"

#include <unordered_map>
#include <utility>

namespace anvilmoor::clients {

namespace {

using OpenCalls = std::unordered_map<CallId, net::HttpCallId>;

class HttpEndpointClient : public EndpointClient {
public:
    explicit HttpEndpointClient(net::HttpClient& client)
        : m_client(client)
        , m_openCalls(std::make_shared<OpenCalls>())
    {
    }

    void call(const net::SocketAddress& address, const CallEndpoint& call, EndpointCallback callback) override
    {
        // Copied without the body, which is not needed to decode the response.
        CallEndpoint sent { call.call, call.endpoint, call.identity, call.operation, {}, call.timeout };
        net::HttpRequest request = endpointRequest(call);
        request.trafficKind = "endpoint";
        const net::HttpCallId id = m_client.call(address, std::move(request), call.timeout,
            [openCalls = m_openCalls, sent = std::move(sent), callback = std::move(callback)](
                const net::HttpResult& result) {
                openCalls->erase(sent.call);
                callback(decodeEndpointResponse(result, sent));
            });
        m_openCalls->insert_or_assign(call.call, id);
    }

    void cancel(CallId call) override
    {
        const auto found = m_openCalls->find(call);
        if (found == m_openCalls->end())
            return;
        const net::HttpCallId id = found->second;
        m_openCalls->erase(found);
        m_client.cancel(id);
    }

private:
    net::HttpClient& m_client;
    // Shared with the callbacks, which may run after this client is destroyed.
    std::shared_ptr<OpenCalls> m_openCalls;
};

} // namespace

std::unique_ptr<EndpointClient> makeEndpointClient(net::HttpClient& client)
{
    return std::make_unique<HttpEndpointClient>(client);
}

} // namespace anvilmoor::clients
