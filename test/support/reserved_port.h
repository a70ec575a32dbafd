#pragma once

#include <cstdint>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace anvilmoor::testing {

inline sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::uint16_t portOf(int descriptor)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

inline void bindAnyPort(int descriptor)
{
    const sockaddr_in any = loopbackAddress(0);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0)
        throw std::runtime_error("cannot bind a port on loopback");
}

// Reserves a free port for a program that starts later. The port is bound with SO_REUSEADDR and does not
// listen: Linux then allows another socket to bind to it explicitly and to listen, but never assigns it to a
// socket that asks for any free port. Connections to the port are refused until the program listens.
class ReservedPort {
public:
    ReservedPort()
        : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int yes = 1;
        setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        bindAnyPort(m_descriptor);
    }
    ~ReservedPort() { close(m_descriptor); }
    ReservedPort(const ReservedPort&) = delete;
    ReservedPort& operator=(const ReservedPort&) = delete;

    std::uint16_t port() const { return portOf(m_descriptor); }

private:
    int m_descriptor;
};

} // namespace anvilmoor::testing
