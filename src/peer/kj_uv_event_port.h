#pragma once

#include <kj/async.h>
#include <uv.h>

namespace anvilmoor::peer {

// Runs KJ promises on a libuv loop. There is at most one object per thread. The loop must outlive it, and
// must run once more after its destruction to close its handles.
class KjUvEventPort final : private kj::EventPort {
public:
    explicit KjUvEventPort(uv_loop_t*);
    ~KjUvEventPort() noexcept;
    KjUvEventPort(const KjUvEventPort&) = delete;
    KjUvEventPort& operator=(const KjUvEventPort&) = delete;

    uv_loop_t* loop() const { return m_loop; }

private:
    struct Handles {
        uv_idle_t idle; // active while KJ has work, so that the loop does not block
        uv_check_t check;
        KjUvEventPort* owner;
        int open = 2;
    };

    bool wait() override;
    bool poll() override;
    void setRunnable(bool) override;
    void runKj();

    uv_loop_t* m_loop;
    Handles* m_handles; // freed when both handles are closed
    bool m_isRunnable = false;
    kj::EventLoop m_kjLoop;
    kj::WaitScope m_waitScope;
};

} // namespace anvilmoor::peer
