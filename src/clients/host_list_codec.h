#pragma once

#include "anvilmoor/event.h"
#include "clients/codec_error.h"

#include <string_view>
#include <vector>

namespace anvilmoor::clients {

// States are "live" and "leaving".
Encoded encodeHostList(const std::vector<HostListEntry>&);
Decoded<std::vector<HostListEntry>> decodeHostList(std::string_view);

} // namespace anvilmoor::clients
