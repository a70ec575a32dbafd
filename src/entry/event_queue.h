#pragma once

#include "anvilmoor/event.h"
#include "net/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

namespace anvilmoor::entry {

// A queue of events in order of arrival. Events are consumed from the loop, never from inside push().
class EventQueue {
public:
    using Consumer = std::function<void(EventPayload)>;

    EventQueue(net::EventLoop&, Consumer);

    void push(EventPayload);
    // If too many events are queued, drops and counts the event and returns false. Used for messages of
    // peers, which may be lost. All other events are bounded at their source.
    bool pushUnlessFull(EventPayload);

    std::size_t size() const { return m_events.size(); }
    std::uint64_t dropped() const { return m_dropped; }

private:
    void scheduleDrain();
    void drain();

    net::EventLoop& m_loop;
    Consumer m_consume;
    std::deque<EventPayload> m_events;
    bool m_isDrainScheduled = false;
    std::uint64_t m_dropped = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>(); // a posted drain() may run after destruction
};

} // namespace anvilmoor::entry
