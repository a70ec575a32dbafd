#pragma once

#include "net/event_loop.h"

#include <functional>

namespace anvilmoor::net {

// Runs the callback once when the peer of a connected socket closes its side, without reading from the
// socket. Polls a duplicate of the descriptor, so that the owner of the socket can continue to use it.
class DisconnectWatcher {
public:
    DisconnectWatcher(uv_loop_s*, int socket, std::function<void()>);
    ~DisconnectWatcher();
    DisconnectWatcher(const DisconnectWatcher&) = delete;
    DisconnectWatcher& operator=(const DisconnectWatcher&) = delete;

private:
    struct Handle;
    Handle* m_handle = nullptr; // null if the socket cannot be watched
};

} // namespace anvilmoor::net
