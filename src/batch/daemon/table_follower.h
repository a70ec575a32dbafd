#pragma once

#include "batch/daemon/ports.h"
#include "net/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace anvilmoor::batch {

struct FollowTiming {
    Milliseconds wait { 800 }; // longest time that the store holds a request open until there is a change
    Milliseconds pause { 0 }; // between an answer and the next request
};

// Follows the changes of one table by long polling: reads the table once, then requests changes, and reads it
// again if the store has dropped the change history. Stops when it is destroyed.
class TableFollower {
public:
    struct Update {
        bool isComplete = false; // `rows` are all rows of the followed parts rather than changes
        std::vector<Row> rows;
        TimePoint knownAt {}; // every write before this time is contained in this update or an earlier one
        StoreClock answeredAt = 0; // when the store answered
        bool isAfterFailure = false; // the store has not answered a request since the previous update
    };
    using Callback = std::function<void(Update)>;
    using Clock = std::function<TimePoint()>;

    // The initial read covers these parts. Changes to other parts of the table are reported too.
    TableFollower(net::EventLoop&, RowStore&, std::string table, std::vector<std::string> parts, FollowTiming,
        Clock, Callback);
    ~TableFollower();
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    // Whether the last request to the store was answered.
    bool isStoreReachable() const { return m_isStoreReachable; }

private:
    void sendRequest();
    void beginSnapshot();
    void readMissingParts();
    void onPartRead(const std::string& part, const TableSnapshot&, TimePoint sentAt);
    void addToSnapshot(const TableSnapshot& part, TimePoint sentAt);
    void finishSnapshot();
    void requestChanges();
    void sendRequestAfter(Milliseconds);

    RowStore& m_store;
    std::string m_table;
    std::vector<std::string> m_parts;
    std::size_t m_readsInFlight = 0;
    std::vector<std::string> m_missingParts; // parts that the snapshot in progress still has to be read from
    TableSnapshot m_snapshot; // rows of the parts read so far
    TimePoint m_snapshotKnownAt {}; // when the earliest of their reads was sent
    FollowTiming m_timing;
    Clock m_clock;
    Callback m_callback;
    net::Timer m_timer;
    RowVersion m_version = 0;
    TimePoint m_knownAt {};
    bool m_isFirstSnapshot = true;
    bool m_hasSnapshot = false;
    bool m_isStoreReachable = false;
    bool m_hasFailed = false; // since the latest update
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace anvilmoor::batch
