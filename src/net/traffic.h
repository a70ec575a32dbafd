#pragma once

#include <cstdint>

namespace anvilmoor::net {

// Counts of messages and of their bytes, including framing and headers but not the headers of TCP.
struct Traffic {
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
};

} // namespace anvilmoor::net
