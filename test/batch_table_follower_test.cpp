#include "batch/daemon/table_follower.h"
#include "support/loop_support.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <memory>

namespace anvilmoor::batch {

// Answers reads with an empty table, and feed requests with prepared replies. Further feed requests get no
// answer.
class PreparedStore : public RowStore {
public:
    explicit PreparedStore(net::EventLoop& loop)
        : m_loop(loop)
    {
    }

    void commit(Transaction, std::function<void(CommitReply)>) override { }
    void read(RowKey, std::string, std::function<void(TableSnapshot)> callback) override
    {
        m_loop.post([callback] { callback({ true, {}, 1 }); });
    }
    void feed(
        const std::string&, RowVersion after, Milliseconds, std::function<void(FeedReply)> callback) override
    {
        requestedAfter.push_back(after);
        if (replies.empty())
            return;
        m_loop.post([callback, reply = replies.front()] { callback(reply); });
        replies.pop_front();
    }

    std::deque<FeedReply> replies;
    std::vector<RowVersion> requestedAfter;

private:
    net::EventLoop& m_loop;
};

// Tests that a follower that gets changes in several answers neither falls behind nor claims to know more
// than it has read.
class BatchTableFollowerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchTableFollowerTest);
    CPPUNIT_TEST(testFollowerThatIsBehindRequestsTheRestWithoutPause);
    CPPUNIT_TEST(testTableIsNotKnownUpToARequestWhoseAnswerIsIncomplete);
    CPPUNIT_TEST(testUpdateAfterAnUnansweredRequestSaysSo);
    CPPUNIT_TEST_SUITE_END();

    net::EventLoop m_loop;
    PreparedStore m_store { m_loop };
    std::int64_t m_requests = 0;
    std::vector<TableFollower::Update> m_updates;
    std::unique_ptr<TableFollower> m_follower;

    // The follower's clock advances by 1 ms with each request, starting with the initial read.
    void follow(Milliseconds pause)
    {
        m_follower = std::make_unique<TableFollower>(
            m_loop, m_store, "workers", std::vector<std::string> { {} },
            FollowTiming { Milliseconds(100), pause },
            [this] { return TimePoint(Milliseconds(++m_requests)); },
            [this](TableFollower::Update update) { m_updates.push_back(std::move(update)); });
    }

    static FeedReply replyAt(RowVersion version, bool mayHaveMore)
    {
        FeedReply reply { FeedOutcome::Ok, {}, version };
        reply.mayHaveMore = mayHaveMore;
        return reply;
    }

public:
    void tearDown() override { m_follower.reset(); }

    void testFollowerThatIsBehindRequestsTheRestWithoutPause()
    {
        // With a pause before each request, the answers would take longer than runUntil() waits.
        constexpr RowVersion replies = 12;
        follow(Milliseconds(1'000));
        for (RowVersion version = 2; version < 2 + replies; ++version)
            m_store.replies.push_back(replyAt(version, true));
        CPPUNIT_ASSERT(testing::runUntil(m_loop, [this] { return m_updates.size() == 1 + replies; }));
        CPPUNIT_ASSERT_EQUAL(replies, m_store.requestedAfter.back() - 1);
    }

    void testTableIsNotKnownUpToARequestWhoseAnswerIsIncomplete()
    {
        follow(Milliseconds(0));
        m_store.replies = { replyAt(5, true), replyAt(9, false) };
        CPPUNIT_ASSERT(testing::runUntil(m_loop, [this] { return m_updates.size() == 3; }));
        CPPUNIT_ASSERT(m_updates[1].knownAt == m_updates[0].knownAt);
        CPPUNIT_ASSERT(m_updates[2].knownAt > m_updates[1].knownAt);
    }

    void testUpdateAfterAnUnansweredRequestSaysSo()
    {
        follow(Milliseconds(0));
        m_store.replies
            = { replyAt(5, false), { FeedOutcome::Failed }, replyAt(6, false), replyAt(7, false) };
        CPPUNIT_ASSERT(testing::runUntil(m_loop, [this] { return m_updates.size() == 4; }));
        CPPUNIT_ASSERT(!m_updates[1].isAfterFailure);
        CPPUNIT_ASSERT(m_updates[2].isAfterFailure);
        CPPUNIT_ASSERT(!m_updates[3].isAfterFailure);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchTableFollowerTest);

} // namespace anvilmoor::batch
