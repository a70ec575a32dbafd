#pragma once

#include "anvilmoor/effect.h"
#include "anvilmoor/event.h"
#include "clients/codec_error.h"
#include "net/http.h"

#include <variant>

namespace anvilmoor::clients {

using EndpointOutcome = std::variant<EndpointAnswered, EndpointFailed>;

// A call is sent as the headers Anvilmoor-Account, Idempotency-Key and Anvilmoor-Operation and the unchanged
// body. The endpoint returns the first two headers with its response.

net::HttpRequest endpointRequest(const CallEndpoint&);
// Leaves call id and timeout at their defaults: they are not transmitted.
Decoded<CallEndpoint> decodeEndpointRequest(const net::HttpRequest&, const EndpointId&);

// The body is the result for status 200, and the reason for any other status.
net::HttpResponse endpointResponse(const RequestIdentity&, int status, std::string body);
// A response with the identity of another request is Lost. Otherwise 503 is RefusedBeforeExecution and any
// other 5xx is Error. A 200 response without identity or without its correct length is Lost, and so is any
// other status.
EndpointOutcome decodeEndpointResponse(const net::HttpResult&, const CallEndpoint&);

} // namespace anvilmoor::clients
