#pragma once

#include <string>

namespace anvilmoor::net {

enum class NetErrorKind { InvalidAddress, AddressInUse, PermissionDenied, Failed };

struct NetError {
    NetErrorKind kind = NetErrorKind::Failed;
    std::string detail; // names the address and the cause
};

} // namespace anvilmoor::net
