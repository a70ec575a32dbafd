#pragma once

#include "anvilmoor/event.h"
#include "net/http.h"

#include <cstddef>
#include <string>
#include <tl/expected.hpp>

namespace anvilmoor::entry {

// Limits on the values that callers and operators send.
constexpr std::size_t maxNameBytes = 256; // names and idempotency keys
constexpr Milliseconds maxDeadline { 24 * 60 * 60 * 1000 };
constexpr Milliseconds maxDeclaredRunTime { 30LL * 24 * 60 * 60 * 1000 };

// The reason why a request cannot be decoded into an event.
struct WireError {
    int status = 400;
    std::string reason; // names the header or field and the allowed values
    std::string allowedMethods; // set with status 405
};

// Decodes a request of a caller or operator into an event:
//   POST /v1/services/<service>/<operation>   RequestReceived
//   GET /v1/requests/<account>/<key>          RequestQueried
//   POST|GET /v1/jobs                         JobSubmitted, JobsListed (query: account)
//   GET|DELETE /v1/jobs/<id>                  JobQueried, JobCancelRequested
//   GET|PUT /v1/config                        ConfigurationQueried, ConfigurationSubmitted
//   POST|DELETE /v1/endpoints/<id>/drain      DrainRequested; DELETE undoes the drain
//   GET /v1/site                              SiteQueried
tl::expected<EventPayload, WireError> decodeCall(const net::HttpRequest&, CallerHandle);

} // namespace anvilmoor::entry
