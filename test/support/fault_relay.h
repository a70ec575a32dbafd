#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace anvilmoor::testing {

// Forwards TCP connections to a port on loopback and injects faults on demand. Runs in its own thread, so
// that it forwards while the test waits.
class FaultRelay {
public:
    explicit FaultRelay(std::uint16_t targetPort);
    ~FaultRelay();
    FaultRelay(const FaultRelay&) = delete;
    FaultRelay& operator=(const FaultRelay&) = delete;

    std::uint16_t port() const;

    enum class Fault {
        None,
        DropToTarget, // discards bytes sent towards the target
        DropFromTarget,
        DropBoth,
        Cut, // resets connections
    };

    // Applies to open and new connections. A connection that has discarded bytes in a direction forwards
    // nothing in this direction any more, even after Fault::None; only new connections work then.
    void setFault(Fault);
    // Once bytes towards the target contain this text, the connection discards them and all later bytes in
    // this direction. Empty: no such text.
    void setDropTrigger(std::string text);
    // Delays bytes towards the target by this time.
    void setDelay(int milliseconds);
    // Starts counting how often the text is forwarded towards the target; matches() returns the count.
    void countMatches(std::string text);
    std::uint64_t matches() const;

private:
    class Worker;
    std::unique_ptr<Worker> m_worker;
};

} // namespace anvilmoor::testing
