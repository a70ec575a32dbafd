#pragma once

#include "anvilmoor/event.h"
#include "net/http.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace anvilmoor::clients {

struct HostListError {
    std::string detail;
};

using HostListResult = tl::expected<std::vector<HostListEntry>, HostListError>;
using HostListCallback = std::function<void(HostListResult)>;

// Fetches the platform's list of workers, which lags behind their actual state. Each call runs its callback
// exactly once, from the event loop.
class HostListClient {
public:
    virtual ~HostListClient() = default;

    virtual void fetch(HostListCallback) = 0;
};

constexpr Milliseconds hostListTimeout { 2'000 };

std::unique_ptr<HostListClient> makeHostListClient(
    net::HttpClient&, net::SocketAddress, Milliseconds timeout = hostListTimeout);

} // namespace anvilmoor::clients
