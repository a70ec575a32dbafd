#pragma once

#include "anvilmoor/time.h"

#include <functional>
#include <memory>
#include <vector>

extern "C" {
struct uv_loop_s;
struct uv_idle_s;
struct uv_check_s;
}

namespace anvilmoor::net {

// The libuv loop of the process. All objects that use the loop must be destroyed before it. The constructor
// makes the process ignore SIGPIPE, so that writing to a closed connection returns an error code.
class EventLoop {
public:
    EventLoop();
    // Waits for handles that are being closed. Posted functions are discarded.
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Returns after stop(), or when no handle on the loop is active.
    void run();
    void stop();
    // Waits for events once and handles them.
    void runOnce();
    // Monotonic; read from the clock at each call.
    TimePoint now() const;
    // Calls the function from the loop, after the current callback has returned.
    void post(std::function<void()>);
    // Calls the function from the loop once it has read what has arrived on its sockets by now.
    void postAfterReading(std::function<void()>);

    uv_loop_s* handle() const { return m_loop.get(); }

private:
    void runPosted();
    void runPostedAfterReading();

    std::unique_ptr<uv_loop_s> m_loop;
    uv_idle_s* m_idle = nullptr;
    std::vector<std::function<void()>> m_posted;
    uv_idle_s* m_keepAwake
        = nullptr; // active while m_postedAfterReading has functions: the loop does not wait
    uv_check_s* m_afterReading = nullptr;
    std::vector<std::function<void()>> m_postedAfterReading;
};

// Destroying or stopping a timer, also from inside its own callback, is safe and prevents further calls.
class Timer {
public:
    explicit Timer(EventLoop&);
    ~Timer();
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    // Each start replaces the previous one.
    void startOnce(Milliseconds delay, std::function<void()>);
    void startRepeating(Milliseconds interval, std::function<void()>);
    void stop();
    bool isActive() const;
    // Afterwards, run() can return although this timer is active.
    void unref();

private:
    struct Handle;
    void start(Milliseconds delay, Milliseconds repeat, std::function<void()>);
    Handle* m_handle;
};

// Calls back from the loop each time the process receives the signal.
class SignalWatcher {
public:
    SignalWatcher(EventLoop&, int signalNumber, std::function<void()>);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher&) = delete;
    SignalWatcher& operator=(const SignalWatcher&) = delete;

private:
    struct Handle;
    Handle* m_handle;
};

} // namespace anvilmoor::net
