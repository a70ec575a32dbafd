#pragma once

#include "net/event_loop.h"

#include <cstdint>
#include <memory>
#include <string>

namespace anvilmoor::testing {

// A TCP server that sends fixed bytes after every read, to imitate a faulty server.
class RawServer {
public:
    struct Behaviour {
        std::string answer; // empty: never answers
        bool closesAfterAnswer = false;
    };

    RawServer(net::EventLoop&, Behaviour);
    ~RawServer();
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    std::uint16_t port() const;
    int connections() const;
    const std::string& received() const;
    void closeConnections();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

// A TCP client that sends fixed bytes once connected and collects the bytes it receives.
class RawClient {
public:
    RawClient(net::EventLoop&, std::uint16_t port, std::string bytes, bool isReading = true);
    ~RawClient();
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    // The connection must be established.
    void send(const std::string& bytes);
    const std::string& received() const;
    bool isClosed() const; // by the server

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace anvilmoor::testing
