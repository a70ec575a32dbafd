#include "peer/kj_uv_event_port.h"

namespace anvilmoor::peer {

namespace {

// Keeps KJ events from starving the other callbacks of the loop.
constexpr unsigned maxKjEventsPerIteration = 64;

} // namespace

KjUvEventPort::KjUvEventPort(uv_loop_t* loop)
    : m_loop(loop)
    , m_handles(new Handles)
    , m_kjLoop(*this)
    , m_waitScope(m_kjLoop)
{
    m_handles->owner = this;
    uv_idle_init(loop, &m_handles->idle);
    uv_check_init(loop, &m_handles->check);
    m_handles->idle.data = m_handles;
    m_handles->check.data = m_handles;
    uv_check_start(
        &m_handles->check, [](uv_check_t* check) { static_cast<Handles*>(check->data)->owner->runKj(); });
    // The check handle does not keep the loop alive; the idle handle does while KJ has work.
    uv_unref(reinterpret_cast<uv_handle_t*>(&m_handles->check));
}

KjUvEventPort::~KjUvEventPort() noexcept
{
    const auto onClosed = [](uv_handle_t* handle) {
        auto* handles = static_cast<Handles*>(handle->data);
        if (--handles->open == 0)
            delete handles;
    };
    uv_close(reinterpret_cast<uv_handle_t*>(&m_handles->idle), onClosed);
    uv_close(reinterpret_cast<uv_handle_t*>(&m_handles->check), onClosed);
    m_handles = nullptr;
}

bool KjUvEventPort::wait()
{
    uv_run(m_loop, UV_RUN_ONCE);
    return false;
}

bool KjUvEventPort::poll()
{
    uv_run(m_loop, UV_RUN_NOWAIT);
    return false;
}

void KjUvEventPort::setRunnable(bool isRunnable)
{
    if (isRunnable == m_isRunnable || !m_handles)
        return;
    m_isRunnable = isRunnable;
    if (isRunnable)
        uv_idle_start(&m_handles->idle, [](uv_idle_t*) {});
    else
        uv_idle_stop(&m_handles->idle);
}

void KjUvEventPort::runKj()
{
    if (m_isRunnable)
        m_kjLoop.run(maxKjEventsPerIteration);
}

} // namespace anvilmoor::peer
