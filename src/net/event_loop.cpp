#include "net/event_loop.h"

#include <algorithm>
#include <csignal>
#include <utility>
#include <uv.h>

namespace anvilmoor::net {

namespace {

constexpr std::uint64_t nanosecondsPerMillisecond = 1'000'000;

// Closing handles takes a few iterations. If the limit is reached, the owner of a handle outlives the loop.
constexpr int maxClosingIterations = 1'000;

template <typename HandleType> void closeAndDelete(HandleType* handle, uv_handle_t* uvHandle)
{
    uvHandle->data = handle;
    uv_close(uvHandle, [](uv_handle_t* closed) { delete static_cast<HandleType*>(closed->data); });
}

} // namespace

EventLoop::EventLoop()
    : m_loop(std::make_unique<uv_loop_t>())
    , m_idle(new uv_idle_t)
    , m_keepAwake(new uv_idle_t)
    , m_afterReading(new uv_check_t)
{
    std::signal(SIGPIPE, SIG_IGN);
    uv_loop_init(m_loop.get());
    uv_idle_init(m_loop.get(), m_idle);
    m_idle->data = this;
    uv_idle_init(m_loop.get(), m_keepAwake);
    uv_check_init(m_loop.get(), m_afterReading);
    m_afterReading->data = this;
}

EventLoop::~EventLoop()
{
    m_posted.clear();
    m_postedAfterReading.clear();
    closeAndDelete(m_idle, reinterpret_cast<uv_handle_t*>(m_idle));
    closeAndDelete(m_keepAwake, reinterpret_cast<uv_handle_t*>(m_keepAwake));
    closeAndDelete(m_afterReading, reinterpret_cast<uv_handle_t*>(m_afterReading));
    for (int i = 0; i < maxClosingIterations && uv_loop_close(m_loop.get()) == UV_EBUSY; ++i)
        uv_run(m_loop.get(), UV_RUN_NOWAIT);
}

void EventLoop::run() { uv_run(m_loop.get(), UV_RUN_DEFAULT); }

void EventLoop::runOnce() { uv_run(m_loop.get(), UV_RUN_ONCE); }

void EventLoop::stop() { uv_stop(m_loop.get()); }

TimePoint EventLoop::now() const
{
    return TimePoint(Milliseconds(static_cast<std::int64_t>(uv_hrtime() / nanosecondsPerMillisecond)));
}

void EventLoop::post(std::function<void()> function)
{
    m_posted.push_back(std::move(function));
    if (m_posted.size() > 1)
        return;
    uv_idle_start(m_idle, [](uv_idle_t* idle) { static_cast<EventLoop*>(idle->data)->runPosted(); });
}

void EventLoop::runPosted()
{
    uv_idle_stop(m_idle);
    const std::vector<std::function<void()>> posted = std::exchange(m_posted, {});
    for (const std::function<void()>& function : posted)
        function();
}

void EventLoop::postAfterReading(std::function<void()> function)
{
    m_postedAfterReading.push_back(std::move(function));
    if (m_postedAfterReading.size() > 1)
        return;
    uv_idle_start(m_keepAwake, [](uv_idle_t*) {});
    // A check callback runs directly after the sockets were polled.
    uv_check_start(m_afterReading,
        [](uv_check_t* check) { static_cast<EventLoop*>(check->data)->runPostedAfterReading(); });
}

void EventLoop::runPostedAfterReading()
{
    uv_idle_stop(m_keepAwake);
    uv_check_stop(m_afterReading);
    const std::vector<std::function<void()>> posted = std::exchange(m_postedAfterReading, {});
    for (const std::function<void()>& function : posted)
        function();
}

struct Timer::Handle {
    uv_timer_t timer {};
    std::function<void()> callback;
};

Timer::Timer(EventLoop& loop)
    : m_handle(new Handle)
{
    uv_timer_init(loop.handle(), &m_handle->timer);
    m_handle->timer.data = m_handle;
}

Timer::~Timer()
{
    uv_timer_stop(&m_handle->timer);
    closeAndDelete(m_handle, reinterpret_cast<uv_handle_t*>(&m_handle->timer));
}

void Timer::start(Milliseconds delay, Milliseconds repeat, std::function<void()> callback)
{
    m_handle->callback = std::move(callback);
    // In a long callback, the cached time of the loop is out of date, and the timer would fire early.
    uv_update_time(m_handle->timer.loop);
    const auto count = [](Milliseconds time) {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(time.count(), 0));
    };
    uv_timer_start(
        &m_handle->timer,
        [](uv_timer_t* timer) {
            // Copied, because the callback may restart or destroy the timer.
            const std::function<void()> function = static_cast<Handle*>(timer->data)->callback;
            function();
        },
        count(delay), count(repeat));
}

void Timer::startOnce(Milliseconds delay, std::function<void()> callback)
{
    start(delay, Milliseconds(0), std::move(callback));
}

void Timer::startRepeating(Milliseconds interval, std::function<void()> callback)
{
    start(interval, std::max(interval, Milliseconds(1)), std::move(callback));
}

void Timer::stop() { uv_timer_stop(&m_handle->timer); }

bool Timer::isActive() const { return uv_is_active(reinterpret_cast<uv_handle_t*>(&m_handle->timer)) != 0; }

void Timer::unref() { uv_unref(reinterpret_cast<uv_handle_t*>(&m_handle->timer)); }

struct SignalWatcher::Handle {
    uv_signal_t signal {};
    std::function<void()> callback;
};

SignalWatcher::SignalWatcher(EventLoop& loop, int signalNumber, std::function<void()> callback)
    : m_handle(new Handle)
{
    m_handle->callback = std::move(callback);
    uv_signal_init(loop.handle(), &m_handle->signal);
    m_handle->signal.data = m_handle;
    uv_signal_start(
        &m_handle->signal,
        [](uv_signal_t* signal, int) {
            const std::function<void()> function = static_cast<Handle*>(signal->data)->callback;
            function();
        },
        signalNumber);
    uv_unref(reinterpret_cast<uv_handle_t*>(&m_handle->signal));
}

SignalWatcher::~SignalWatcher()
{
    uv_signal_stop(&m_handle->signal);
    closeAndDelete(m_handle, reinterpret_cast<uv_handle_t*>(&m_handle->signal));
}

} // namespace anvilmoor::net
