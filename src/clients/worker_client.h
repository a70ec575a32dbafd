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

// Client of the racks and workers of a zone, at the address given with each call. Each call runs its callback
// exactly once, from the event loop.
class WorkerClient {
public:
    virtual ~WorkerClient() = default;

    // Fails if there is no answer within the wait of the SyncRack plus syncMargin.
    virtual void sync(const net::SocketAddress&, const SyncRack&, RackSyncCallback) = 0;
    // Unreachable means that the command may have taken effect.
    virtual void command(
        const net::SocketAddress&, const WorkerId&, const WorkerCommand&, WorkerCommandCallback)
        = 0;
};

// Added to the wait of a long poll, for the network round trip.
constexpr Milliseconds syncMargin { 2'000 };
constexpr Milliseconds commandTimeout { 2'000 };

std::unique_ptr<WorkerClient> makeWorkerClient(net::HttpClient&);

} // namespace anvilmoor::clients
