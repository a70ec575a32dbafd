#include "batch/daemon/table_follower.h"

#include <utility>

namespace anvilmoor::batch {

namespace {

constexpr Milliseconds retryDelay { 80 };

} // namespace

TableFollower::TableFollower(net::EventLoop& loop, RowStore& store, std::string table,
    std::vector<std::string> parts, FollowRhythm rhythm, Clock clock, Callback callback)
    : m_store(store)
    , m_table(std::move(table))
    , m_parts(std::move(parts))
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
    m_unreadParts = m_parts.size();
    m_snapshot = { true };
    for (const std::string& part : m_parts) {
        m_store.read({ m_table, part, {} }, {},
            [this, isAlive = m_isAlive, sentAt = m_clock()](TableSnapshot snapshot) {
                if (*isAlive)
                    listed(std::move(snapshot), sentAt);
            });
    }
}

// The feed continues from the oldest version of all parts: some changes may be reported twice, but none is
// missed.
void TableFollower::listed(TableSnapshot part, TimePoint sentAt)
{
    const bool isOldest = !m_snapshot.version || part.version < m_snapshot.version;
    m_snapshot.isOk = m_snapshot.isOk && part.isOk;
    if (isOldest)
        m_snapshot.version = part.version;
    m_snapshot.rows.insert(m_snapshot.rows.end(), part.rows.begin(), part.rows.end());
    if (--m_unreadParts)
        return;
    m_isInTouch = m_snapshot.isOk;
    if (!m_snapshot.isOk) {
        later(retryDelay);
        return;
    }
    m_isListed = true;
    m_version = m_snapshot.version;
    const auto isAlive = m_isAlive;
    m_callback({ true, std::move(m_snapshot.rows), sentAt, part.answeredAt });
    if (*isAlive)
        later(m_rhythm.pause);
}

void TableFollower::feed()
{
    m_store.feed(
        m_table, m_version, m_rhythm.wait, [this, isAlive = m_isAlive, sentAt = m_clock()](FeedReply reply) {
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
            m_callback({ false, std::move(reply.rows), sentAt, reply.answeredAt });
            if (*isAlive)
                later(m_rhythm.pause);
        });
}

} // namespace anvilmoor::batch
