#include "net/socket_address.h"

#include <charconv>
#include <fmt/format.h>
#include <uv.h>

namespace anvilmoor::net {

bool toSocketAddress(const SocketAddress& address, sockaddr_storage& storage)
{
    return uv_ip4_addr(address.ip.c_str(), address.port, reinterpret_cast<sockaddr_in*>(&storage)) == 0
        || uv_ip6_addr(address.ip.c_str(), address.port, reinterpret_cast<sockaddr_in6*>(&storage)) == 0;
}

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view ip = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    if (ip.starts_with('[') && ip.ends_with(']'))
        ip = ip.substr(1, ip.size() - 2);
    SocketAddress address { std::string(ip), 0 };
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    sockaddr_storage storage {};
    const bool isNumber = error == std::errc() && end == digits.data() + digits.size();
    if (!isNumber || !toSocketAddress(address, storage))
        return std::nullopt;
    return address;
}

std::string toString(const SocketAddress& address)
{
    const bool isIpv6 = address.ip.find(':') != std::string::npos;
    return isIpv6 ? fmt::format("[{}]:{}", address.ip, address.port)
                  : fmt::format("{}:{}", address.ip, address.port);
}

} // namespace anvilmoor::net
