#pragma once

#include "anvilmoor/table.h"
#include "net/http.h"

#include <functional>
#include <memory>

namespace anvilmoor::clients {

using TableCallback = std::function<void(TableReply)>;

// The platform's table. Calls back exactly once each, from the loop.
class TableClient {
public:
    virtual ~TableClient() = default;

    // Unavailable only if certainly nothing was written.
    virtual void execute(TableTransaction, TableCallback) = 0;
    // Ok or Unavailable.
    virtual void read(TableRead, TableCallback) = 0;
};

constexpr Milliseconds tableTimeout { 3'000 };

std::unique_ptr<TableClient> makeTableClient(
    net::HttpClient&, net::SocketAddress, Milliseconds timeout = tableTimeout);

} // namespace anvilmoor::clients
