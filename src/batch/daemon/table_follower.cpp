#include "batch/daemon/table_follower.h"

#include <utility>

namespace anvilmoor::batch {

namespace {

constexpr Milliseconds retryDelay { 150 };

} // namespace

TableFollower::TableFollower(
    net::EventLoop& loop, RowStore& store, RowKey start, FollowRhythm rhythm, Clock clock, Callback callback)
    : m_store(store)
    , m_start(std::move(start))
    , m_rhythm(rhythm)
    , m_clock(std::move(clock))
    , m_callback(std::move(callback))
    , m_timer(loop)
{
    ask();
}

TableFollower::~TableFollower() { *m_isAlive = false; }

void TableFollower::ask()
{
    if (m_isListed)
        feed();
    else
        list();
}

void TableFollower::later(Milliseconds delay)
{
    if (delay.count())
        m_timer.startOnce(delay, [this] { ask(); });
    else
        ask();
}

void TableFollower::list()
{
    m_store.read(m_start, {}, [this, isAlive = m_isAlive, sentAt = m_clock()](TableSnapshot snapshot) {
        if (!*isAlive)
            return;
        m_isInTouch = snapshot.isOk;
        if (!snapshot.isOk) {
            later(retryDelay);
            return;
        }
        m_isListed = true;
        m_version = snapshot.version;
        m_callback({ true, std::move(snapshot.rows), sentAt });
        if (*isAlive)
            later(m_rhythm.pause);
    });
}

void TableFollower::feed()
{
    m_store.feed(m_start.table, m_version, m_rhythm.wait,
        [this, isAlive = m_isAlive, sentAt = m_clock()](FeedReply reply) {
            if (!*isAlive)
                return;
            m_isInTouch = reply.outcome != FeedOutcome::Failed;
            if (reply.outcome == FeedOutcome::Failed) {
                later(retryDelay);
                return;
            }
            if (reply.outcome == FeedOutcome::HistoryLost) {
                m_isListed = false;
                later(Milliseconds(0));
                return;
            }
            m_version = reply.version;
            m_callback({ false, std::move(reply.rows), sentAt });
            if (*isAlive)
                later(m_rhythm.pause);
        });
}

} // namespace anvilmoor::batch
