#pragma once

#include "batch/daemon/ports.h"
#include "net/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace anvilmoor::batch {

struct FollowRhythm {
    Milliseconds wait { 800 }; // that the store holds an answer back for news
    Milliseconds pause { 0 }; // between an answer and the next question
};

// Keeps up with one table: reads it once, then asks for changes, and reads it anew when the store has dropped
// its history. Destroying it ends the following.
class TableFollower {
public:
    struct News {
        bool isComplete = false;
        std::vector<Row> rows;
        TimePoint knownAt {}; // when the question was sent
        StoreClock answeredAt = 0; // when the store answered it
    };
    using Callback = std::function<void(News)>;
    using Clock = std::function<TimePoint()>;

    // The first read covers these parts; changes of other parts of the table are reported too.
    TableFollower(net::EventLoop&, RowStore&, std::string table, std::vector<std::string> parts, FollowRhythm,
        Clock, Callback);
    ~TableFollower();
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    bool isInTouch() const { return m_isInTouch; }

private:
    void ask();
    void list();
    void listed(TableSnapshot, TimePoint sentAt);
    void feed();
    void later(Milliseconds);

    RowStore& m_store;
    std::string m_table;
    std::vector<std::string> m_parts;
    std::size_t m_unreadParts = 0; // of the read under way
    TableSnapshot m_snapshot; // of the parts read so far
    FollowRhythm m_rhythm;
    Clock m_clock;
    Callback m_callback;
    net::Timer m_timer;
    RowVersion m_version = 0;
    bool m_isListed = false;
    bool m_isInTouch = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace anvilmoor::batch
