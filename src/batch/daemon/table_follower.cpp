#include "batch/daemon/table_follower.h"

#include <utility>

namespace anvilmoor::batch {

namespace {

constexpr Milliseconds retryDelay { 80 };

} // namespace

TableFollower::TableFollower(net::EventLoop& loop, RowStore& store, std::string table,
    std::vector<std::string> parts, FollowTiming timing, Clock clock, Callback callback)
    : m_store(store)
    , m_table(std::move(table))
    , m_parts(std::move(parts))
    , m_timing(timing)
    , m_clock(std::move(clock))
    , m_callback(std::move(callback))
    , m_timer(loop)
{
    sendRequest();
}

TableFollower::~TableFollower() { *m_isAlive = false; }

void TableFollower::sendRequest()
{
    if (m_hasSnapshot)
        requestChanges();
    else
        readAllParts();
}

void TableFollower::sendRequestAfter(Milliseconds delay)
{
    if (delay.count())
        m_timer.startOnce(delay, [this] { sendRequest(); });
    else
        sendRequest();
}

void TableFollower::readAllParts()
{
    m_unreadParts = m_parts.size();
    m_snapshot = { true };
    for (const std::string& part : m_parts) {
        m_store.read({ m_table, part, {} }, {},
            [this, isAlive = m_isAlive, sentAt = m_clock()](TableSnapshot snapshot) {
                if (*isAlive)
                    onPartRead(std::move(snapshot), sentAt);
            });
    }
}

// The feed continues from the oldest version of all parts: some changes may be reported twice, but none is
// missed.
void TableFollower::onPartRead(TableSnapshot part, TimePoint sentAt)
{
    const bool isOldest = !m_snapshot.version || part.version < m_snapshot.version;
    m_snapshot.isOk = m_snapshot.isOk && part.isOk;
    if (isOldest)
        m_snapshot.version = part.version;
    m_snapshot.rows.insert(m_snapshot.rows.end(), part.rows.begin(), part.rows.end());
    if (--m_unreadParts)
        return;
    m_isStoreReachable = m_snapshot.isOk;
    if (!m_snapshot.isOk) {
        m_hasFailed = true;
        sendRequestAfter(retryDelay);
        return;
    }
    m_hasSnapshot = true;
    m_version = m_snapshot.version;
    m_knownAt = sentAt;
    const auto isAlive = m_isAlive;
    m_callback(
        { true, std::move(m_snapshot.rows), sentAt, part.answeredAt, std::exchange(m_hasFailed, false) });
    if (*isAlive)
        sendRequestAfter(m_timing.pause);
}

void TableFollower::requestChanges()
{
    m_store.feed(
        m_table, m_version, m_timing.wait, [this, isAlive = m_isAlive, sentAt = m_clock()](FeedReply reply) {
            if (!*isAlive)
                return;
            m_isStoreReachable = reply.outcome != FeedOutcome::Failed;
            if (reply.outcome == FeedOutcome::Failed) {
                m_hasFailed = true;
                sendRequestAfter(retryDelay);
                return;
            }
            if (reply.outcome == FeedOutcome::HistoryLost) {
                m_hasSnapshot = false;
                sendRequestAfter(Milliseconds(0));
                return;
            }
            m_version = reply.version;
            if (!reply.mayHaveMore)
                m_knownAt = sentAt;
            m_callback({ false, std::move(reply.rows), m_knownAt, reply.answeredAt,
                std::exchange(m_hasFailed, false) });
            // Without the pause, a follower that has fallen behind catches up.
            if (*isAlive)
                sendRequestAfter(reply.mayHaveMore ? Milliseconds(0) : m_timing.pause);
        });
}

} // namespace anvilmoor::batch
