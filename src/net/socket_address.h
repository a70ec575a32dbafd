#pragma once

#include "net/http.h"

#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>
#include <sys/socket.h>

namespace anvilmoor::net {

// Returns false if the IP address is not a numeric IPv4 or IPv6 address.
bool toSocketAddress(const SocketAddress&, sockaddr_storage&);

// Parses the format of toString(). Empty if the text is invalid. Port 0 is allowed.
std::optional<SocketAddress> parseSocketAddress(std::string_view);

// "10.0.0.1:80" or "[::1]:80".
std::string toString(const SocketAddress&);

} // namespace anvilmoor::net
