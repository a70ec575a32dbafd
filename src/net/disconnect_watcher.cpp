#include "net/disconnect_watcher.h"

#include <fcntl.h>
#include <unistd.h>
#include <utility>
#include <uv.h>

namespace anvilmoor::net {

struct DisconnectWatcher::Handle {
    uv_poll_t poll {};
    int descriptor = -1;
    std::function<void()> callback;
};

DisconnectWatcher::DisconnectWatcher(uv_loop_s* loop, int socket, std::function<void()> callback)
{
    const int descriptor = fcntl(socket, F_DUPFD_CLOEXEC, 0);
    if (descriptor < 0)
        return;
    auto* handle = new Handle;
    if (uv_poll_init(loop, &handle->poll, descriptor) != 0) {
        close(descriptor);
        delete handle;
        return;
    }
    m_handle = handle;
    handle->descriptor = descriptor;
    handle->callback = std::move(callback);
    handle->poll.data = handle;
    uv_poll_start(&handle->poll, UV_DISCONNECT, [](uv_poll_t* poll, int, int) {
        uv_poll_stop(poll);
        // The callback may destroy the watcher.
        const std::function<void()> function = static_cast<Handle*>(poll->data)->callback;
        function();
    });
}

DisconnectWatcher::~DisconnectWatcher()
{
    if (!m_handle)
        return;
    uv_poll_stop(&m_handle->poll);
    uv_close(reinterpret_cast<uv_handle_t*>(&m_handle->poll), [](uv_handle_t* closed) {
        auto* handle = static_cast<Handle*>(closed->data);
        close(handle->descriptor);
        delete handle;
    });
}

} // namespace anvilmoor::net
