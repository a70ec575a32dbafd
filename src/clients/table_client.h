#pragma once

#include "anvilmoor/table.h"
#include "net/http.h"

#include <functional>
#include <memory>

namespace anvilmoor::clients {

using TableCallback = std::function<void(TableReply)>;

// Client of the platform's table. Each call runs its callback exactly once, from the event loop.
class TableClient {
public:
    virtual ~TableClient() = default;

    // Reports Unavailable only if nothing was written, and Unknown if the transaction may have been
    // committed.
    virtual void execute(TableTransaction, TableCallback) = 0;
    // Reports Ok or Unavailable.
    virtual void read(TableRead, TableCallback) = 0;
};

constexpr Milliseconds tableTimeout { 3'000 };

std::unique_ptr<TableClient> makeTableClient(
    net::HttpClient&, net::SocketAddress, Milliseconds timeout = tableTimeout);

} // namespace anvilmoor::clients
