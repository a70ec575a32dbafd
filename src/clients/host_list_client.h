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

// The platform's list of workers; it lags. Calls back exactly once each, from the loop.
class HostListClient {
public:
    virtual ~HostListClient() = default;

    virtual void fetch(HostListCallback) = 0;
};

constexpr Milliseconds hostListTimeout { 2'000 };

std::unique_ptr<HostListClient> makeHostListClient(
    net::HttpClient&, net::SocketAddress, Milliseconds timeout = hostListTimeout);

} // namespace anvilmoor::clients
