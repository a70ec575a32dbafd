#pragma once

#include "anvilmoor/effect.h"
#include "clients/endpoint_codec.h"
#include "net/http.h"

#include <functional>
#include <memory>

namespace anvilmoor::clients {

using EndpointCallback = std::function<void(EndpointOutcome)>;

// Calls endpoints of services, each at the address given with the call.
class EndpointClient {
public:
    virtual ~EndpointClient() = default;

    // Unless the call is cancelled, runs the callback exactly once, from the event loop and no later than the
    // timeout of the CallEndpoint.
    virtual void call(const net::SocketAddress&, const CallEndpoint&, EndpointCallback) = 0;
    // Ends the call without its callback. Unknown and finished calls are ignored.
    virtual void cancel(CallId) = 0;
};

std::unique_ptr<EndpointClient> makeEndpointClient(net::HttpClient&);

} // namespace anvilmoor::clients
