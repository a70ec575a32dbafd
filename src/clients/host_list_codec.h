#pragma once

#include "anvilmoor/event.h"
#include "clients/codec_error.h"

#include <string_view>
#include <vector>

namespace anvilmoor::clients {

// The state of a host is encoded as "live" or "leaving".
Encoded encodeHostList(const std::vector<HostListEntry>&);
Decoded<std::vector<HostListEntry>> decodeHostList(std::string_view);

} // namespace anvilmoor::clients
