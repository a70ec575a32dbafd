#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

// Forwards TCP connections to one address. Connections can go silent for good: they stay open, and whatever
// is sent on them is lost, while later ones work.
class Relay {
public:
    // Listens on a free port of the address.
    Relay(const std::string& ip, std::string target);

    std::string address() const { return m_address; }
    void silenceOpenConnections();
    // While this is set, new connections are silent as well.
    void setSilent(bool isSilent);
    // Connections that are open and not silent.
    int workingConnections();

private:
    struct Link {
        std::atomic<bool> isSilent { false };
        std::atomic<bool> isClosed { false };
    };

    void forward(int from, int to, const std::shared_ptr<Link>& link);

    std::string m_address;
    const std::string m_target;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Link>> m_links;
    bool m_isSilent = false;
};

} // namespace review
