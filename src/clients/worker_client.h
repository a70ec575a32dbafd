#pragma once

#include "anvilmoor/effect.h"
#include "anvilmoor/event.h"
#include "net/http.h"

#include <functional>
#include <memory>
#include <variant>

namespace anvilmoor::clients {

using RackSyncOutcome = std::variant<RackSynced, RackSyncFailed>;
using RackSyncCallback = std::function<void(RackSyncOutcome)>;
using WorkerCommandCallback = std::function<void(WorkerCommandResult)>;

// Racks and workers of a zone, at the address given with each call. Calls back exactly once each, from
// the loop.
class WorkerClient {
public:
    virtual ~WorkerClient() = default;

    // Fails when no answer comes within the effect's wait and a margin.
    virtual void sync(const net::SocketAddress&, const SyncRack&, RackSyncCallback) = 0;
    // Unreachable means that the command may have taken effect.
    virtual void command(
        const net::SocketAddress&, const WorkerId&, const WorkerCommand&, WorkerCommandCallback)
        = 0;
};

// Added to a long poll's wait for the way there and back.
constexpr Milliseconds syncMargin { 2'000 };
constexpr Milliseconds commandTimeout { 2'000 };

std::unique_ptr<WorkerClient> makeWorkerClient(net::HttpClient&);

} // namespace anvilmoor::clients
