#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace anvilmoor::batch {

// Encodes a document as MessagePack, the format of row values.
inline std::string toMessagePack(const nlohmann::json& document)
{
    std::string bytes;
    nlohmann::json::to_msgpack(document, bytes);
    return bytes;
}

} // namespace anvilmoor::batch
