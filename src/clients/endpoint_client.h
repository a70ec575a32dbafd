#pragma once

#include "anvilmoor/effect.h"
#include "clients/endpoint_codec.h"
#include "net/http.h"

#include <functional>
#include <memory>

namespace anvilmoor::clients {

using EndpointCallback = std::function<void(EndpointOutcome)>;

// Endpoints of services, at the address given with each call.
class EndpointClient {
public:
    virtual ~EndpointClient() = default;

    // Calls back exactly once, from the loop, at the latest after the effect's timeout, unless cancelled.
    virtual void call(const net::SocketAddress&, const CallEndpoint&, EndpointCallback) = 0;
    // Drops the call without a callback. Unknown and finished calls are ignored.
    virtual void cancel(CallId) = 0;
};

std::unique_ptr<EndpointClient> makeEndpointClient(net::HttpClient&);

} // namespace anvilmoor::clients
