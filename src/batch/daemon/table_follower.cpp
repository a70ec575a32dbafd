#include "batch/daemon/table_follower.h"

#include <algorithm>
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
    beginSnapshot();
    sendRequest();
}

TableFollower::~TableFollower() { *m_isAlive = false; }

void TableFollower::sendRequest()
{
    if (m_hasSnapshot)
        requestChanges();
    else
        readMissingParts();
}

void TableFollower::sendRequestAfter(Milliseconds delay)
{
    if (delay.count())
        m_timer.startOnce(delay, [this] { sendRequest(); });
    else
        sendRequest();
}

void TableFollower::beginSnapshot()
{
    m_hasSnapshot = false;
    m_missingParts = m_parts;
    m_snapshot = {};
    m_snapshotKnownAt = TimePoint::max();
}

// Parts of the first snapshot that have been read are kept: while the store fails a share of the reads,
// hardly any attempt reads all parts at once.
void TableFollower::readMissingParts()
{
    const std::vector<std::string> parts = std::exchange(m_missingParts, {});
    m_readsInFlight = parts.size();
    for (const std::string& part : parts) {
        m_store.read({ m_table, part, {} }, {},
            [this, isAlive = m_isAlive, part, sentAt = m_clock()](const TableSnapshot& read) {
                if (*isAlive)
                    onPartRead(part, read, sentAt);
            });
    }
}

void TableFollower::onPartRead(const std::string& part, const TableSnapshot& read, TimePoint sentAt)
{
    if (read.isOk)
        addToSnapshot(read, sentAt);
    else
        m_missingParts.push_back(part);
    if (--m_readsInFlight)
        return;
    m_isStoreReachable = m_missingParts.empty();
    if (m_isStoreReachable) {
        finishSnapshot();
        return;
    }
    m_hasFailed = true;
    // Rows that were read may have been removed since, by a leader that follows this table.
    if (!m_isFirstSnapshot)
        beginSnapshot();
    sendRequestAfter(retryDelay);
}

// The feed continues from the oldest version of all parts: some changes may be reported twice, but none is
// missed.
void TableFollower::addToSnapshot(const TableSnapshot& part, TimePoint sentAt)
{
    const bool isOldest = !m_snapshot.version || part.version < m_snapshot.version;
    if (isOldest)
        m_snapshot.version = part.version;
    m_snapshot.rows.insert(m_snapshot.rows.end(), part.rows.begin(), part.rows.end());
    m_snapshot.answeredAt = part.answeredAt;
    m_snapshotKnownAt = std::min(m_snapshotKnownAt, sentAt);
}

void TableFollower::finishSnapshot()
{
    m_hasSnapshot = true;
    m_isFirstSnapshot = false;
    m_version = m_snapshot.version;
    m_knownAt = m_snapshotKnownAt;
    const auto isAlive = m_isAlive;
    m_callback({ true, std::move(m_snapshot.rows), m_knownAt, m_snapshot.answeredAt,
        std::exchange(m_hasFailed, false) });
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
                beginSnapshot();
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
