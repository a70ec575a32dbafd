#pragma once

#include "anvilmoor/effect.h"
#include "anvilmoor/event.h"
#include "clients/codec_error.h"
#include "net/http.h"

#include <variant>

namespace anvilmoor::clients {

using EndpointOutcome = std::variant<EndpointAnswered, EndpointFailed>;

// A call travels as headers Anvilmoor-Account, Idempotency-Key and Anvilmoor-Operation with the body as
// it is. The endpoint sends the first two back with its response.

net::HttpRequest endpointRequest(const CallEndpoint&);
// Without call id and timeout, which do not travel.
Decoded<CallEndpoint> decodeEndpointRequest(const net::HttpRequest&, const EndpointId&);

// 200 with the caller's identity, or another status with a reason as body.
net::HttpResponse endpointResponse(const RequestIdentity&, int status, std::string body);
// 503 is RefusedBeforeExecution and another 5xx Error, unless the response names another request. A
// response without length or with another identity is Lost.
EndpointOutcome decodeEndpointResponse(const net::HttpResult&, const CallEndpoint&);

} // namespace anvilmoor::clients
