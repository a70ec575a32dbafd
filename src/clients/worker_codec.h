#pragma once

#include "anvilmoor/effect.h"
#include "anvilmoor/event.h"
#include "anvilmoor/job.h"
#include "clients/codec_error.h"

#include <string_view>

namespace anvilmoor::clients {

// The rack and the worker are named by the path, not by the message.

Encoded encodeSync(const SyncRack&);
Decoded<SyncRack> decodeSync(std::string_view, const RackId&);

// Without rack and token. `complete` tells whether all workers and tasks are listed.
Encoded encodeRackReport(const RackSynced&);
Decoded<RackSynced> decodeRackReport(std::string_view, const RackId&, FencingToken);

Encoded encodeCommand(const WorkerCommand&);
Decoded<WorkerCommand> decodeCommand(std::string_view);

// Unreachable has no form on the wire and is encoded as failed.
Encoded encodeCommandResult(WorkerCommandResult);
Decoded<WorkerCommandResult> decodeCommandResult(std::string_view);

} // namespace anvilmoor::clients
