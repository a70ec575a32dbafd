#pragma once

#include "net/event_loop.h"
#include "net/http.h"

#include <cstddef>
#include <memory>

namespace anvilmoor::net {

struct HttpClientLimits {
    // The long poll of each rack occupies one connection: 216 for a zone of 1,727 workers in racks of 8.
    std::size_t connectionsPerAddress = 512;
    std::size_t queuedPerAddress = 4'096; // calls that wait for a connection; further ones fail with NotSent
    // Each long-poll connection is idle for a tick between two polls. With a limit of 16, most of them were
    // closed and opened again for the next poll.
    std::size_t idlePerAddress = 256;
    // TCP resends a lost connection request after 1 s. This timeout allows for one such loss.
    Milliseconds connectTimeout { 2'000 };
    Milliseconds idleTimeout { 4'000 };
};

// A client for HTTP/1.1 without TLS. A response without Content-Length or chunked encoding is Malformed: it
// would end with the connection, so its end could not be distinguished from a lost connection. No call is
// ever sent twice. The client may be destroyed from a callback; the callbacks of open calls are then not run.
std::unique_ptr<HttpClient> makeHttpClient(EventLoop&, HttpClientLimits = {});

} // namespace anvilmoor::net
