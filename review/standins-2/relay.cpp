#include "relay.h"

#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

Relay::Relay(const std::string& ip, std::string target)
    : m_target(std::move(target))
{
    const int listener = listenOn(ip, m_address);
    std::thread([this, listener] {
        while (true) {
            const int from = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (from < 0)
                continue;
            const int to = connectTo(m_target);
            if (to < 0) {
                close(from);
                continue;
            }
            const auto link = std::make_shared<Link>();
            {
                const std::lock_guard lock(m_mutex);
                link->isSilent = m_isSilent;
                m_links.push_back(link);
            }
            std::thread([this, from, to, link] { forward(from, to, link); }).detach();
            std::thread([this, from, to, link] { forward(to, from, link); }).detach();
        }
    }).detach();
}

void Relay::silenceOpenConnections()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& link : m_links)
        link->isSilent = true;
}

void Relay::setSilent(bool isSilent)
{
    if (isSilent)
        silenceOpenConnections();
    const std::lock_guard lock(m_mutex);
    m_isSilent = isSilent;
}

int Relay::workingConnections()
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(std::count_if(
        m_links.begin(), m_links.end(), [](const auto& link) { return !link->isSilent && !link->isClosed; }));
}

// The end of a silent connection is lost as well.
void Relay::forward(int from, int to, const std::shared_ptr<Link>& link)
{
    char bytes[16'384];
    while (true) {
        const ssize_t count = recv(from, bytes, sizeof bytes, 0);
        if (count <= 0)
            break;
        if (link->isSilent)
            continue;
        ssize_t sent = 0;
        while (sent < count) {
            const ssize_t part = send(to, bytes + sent, static_cast<std::size_t>(count - sent), MSG_NOSIGNAL);
            if (part <= 0)
                break;
            sent += part;
        }
    }
    link->isClosed = true;
    if (!link->isSilent)
        shutdown(to, SHUT_RDWR);
}

} // namespace review
