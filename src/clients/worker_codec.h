#pragma once

#include "anvilmoor/effect.h"
#include "anvilmoor/event.h"
#include "anvilmoor/job.h"
#include "clients/codec_error.h"

#include <string_view>

namespace anvilmoor::clients {

// The path of the request identifies the rack or the worker; the messages do not.

Encoded encodeSync(const SyncRack&);
Decoded<SyncRack> decodeSync(std::string_view, const RackId&);

// Omits rack and token. `complete` is true if all workers and tasks are listed.
Encoded encodeRackReport(const RackSynced&);
Decoded<RackSynced> decodeRackReport(std::string_view, const RackId&, FencingToken);

Encoded encodeCommand(const WorkerCommand&);
Decoded<WorkerCommand> decodeCommand(std::string_view);

// Unreachable has no encoding of its own: it is encoded as "failed".
Encoded encodeCommandResult(WorkerCommandResult);
Decoded<WorkerCommandResult> decodeCommandResult(std::string_view);

} // namespace anvilmoor::clients
