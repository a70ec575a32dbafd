#include "entry/event_queue.h"

#include <utility>

namespace anvilmoor::entry {

namespace {

// After this many events, control returns to the loop so that sockets and timers are served.
constexpr std::size_t eventsPerTurn = 256;
constexpr std::size_t maxWaitingEvents = 16'384;

} // namespace

EventQueue::EventQueue(net::EventLoop& loop, Consumer consume)
    : m_loop(loop)
    , m_consume(std::move(consume))
{
}

void EventQueue::push(EventPayload payload)
{
    m_events.push_back(std::move(payload));
    scheduleDrain();
}

bool EventQueue::pushUnlessFull(EventPayload payload)
{
    if (m_events.size() >= maxWaitingEvents) {
        ++m_dropped;
        return false;
    }
    push(std::move(payload));
    return true;
}

void EventQueue::scheduleDrain()
{
    if (m_isDrainScheduled)
        return;
    m_isDrainScheduled = true;
    m_loop.post([this, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired())
            drain();
    });
}

void EventQueue::drain()
{
    for (std::size_t i = 0; i < eventsPerTurn && !m_events.empty(); ++i) {
        EventPayload payload = std::move(m_events.front());
        m_events.pop_front();
        m_consume(std::move(payload));
    }
    m_isDrainScheduled = false;
    if (!m_events.empty())
        scheduleDrain();
}

} // namespace anvilmoor::entry
