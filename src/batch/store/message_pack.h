#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace anvilmoor::batch {

// A row's value: the document as MessagePack.
inline std::string toMessagePack(const nlohmann::json& document)
{
    std::string bytes;
    nlohmann::json::to_msgpack(document, bytes);
    return bytes;
}

} // namespace anvilmoor::batch
