#include "batch/daemon/table_follower.h"
#include "support/loop_support.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// Answers reads with a row for each part, or as prepared, and feed requests with prepared replies. Further
// feed requests get no answer.
class PreparedStore : public RowStore {
public:
    explicit PreparedStore(net::EventLoop& loop)
        : m_loop(loop)
    {
    }

    void commit(Transaction, std::function<void(CommitReply)>) override { }
    void read(RowKey from, std::string, std::function<void(TableSnapshot)> callback) override
    {
        readParts.push_back(from.part);
        const bool isOk = !isReadFailing || !isReadFailing();
        const RowVersion version = firstVersion + readParts.size() - 1;
        TableSnapshot snapshot { isOk };
        if (isOk)
            snapshot = { true, { Row { std::move(from), "value", version } }, version };
        m_loop.post([callback, snapshot] { callback(snapshot); });
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

    static constexpr RowVersion firstVersion = 1; // of the first read; each read has the next version

    std::function<bool()> isReadFailing; // asked for each read
    std::vector<std::string> readParts;
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
    CPPUNIT_TEST(testPartsThatWereReadAreNotReadAgainWhenAnotherFails);
    CPPUNIT_TEST(testTableReadInSeveralAttemptsIsKnownUpToTheFirst);
    CPPUNIT_TEST(testTableIsReadSoonWhileStoreFailsHalfOfTheReads);
    CPPUNIT_TEST(testAllPartsAreReadAgainAfterLossOfHistory);
    CPPUNIT_TEST(testPartsReadAfterLossOfHistoryAreFromOneAttempt);
    CPPUNIT_TEST_SUITE_END();

    net::EventLoop m_loop;
    PreparedStore m_store { m_loop };
    std::int64_t m_requests = 0;
    std::vector<TableFollower::Update> m_updates;
    std::unique_ptr<TableFollower> m_follower;

    // The follower's clock advances by 1 ms with each request, starting with the initial read.
    void follow(Milliseconds pause, const std::vector<std::string>& parts = { {} })
    {
        m_follower = std::make_unique<TableFollower>(
            m_loop, m_store, "workers", parts, FollowTiming { Milliseconds(100), pause },
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

    void testPartsThatWereReadAreNotReadAgainWhenAnotherFails()
    {
        m_store.isReadFailing = [this] { return m_store.readParts.size() == 2; };
        follow(Milliseconds(0), { "a", "b", "c" });
        CPPUNIT_ASSERT(testing::runUntil(m_loop, [this] { return !m_updates.empty(); }));
        CPPUNIT_ASSERT((m_store.readParts == std::vector<std::string> { "a", "b", "c", "b" }));
        CPPUNIT_ASSERT(m_updates.front().isComplete);
        CPPUNIT_ASSERT(m_updates.front().isAfterFailure);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_updates.front().rows.size());
    }

    // Guards against missing what has changed in one part while another had to be read again.
    void testTableReadInSeveralAttemptsIsKnownUpToTheFirst()
    {
        m_store.isReadFailing = [this] { return m_store.readParts.size() == 2; };
        follow(Milliseconds(0), { "a", "b", "c" });
        CPPUNIT_ASSERT(testing::runUntil(m_loop, [this] { return !m_store.requestedAfter.empty(); }));
        CPPUNIT_ASSERT_EQUAL(PreparedStore::firstVersion, m_store.requestedAfter.front());
        CPPUNIT_ASSERT(m_updates.front().knownAt == TimePoint(Milliseconds(1)));
    }

    void testTableIsReadSoonWhileStoreFailsHalfOfTheReads()
    {
        std::mt19937_64 random(1);
        m_store.isReadFailing = [&random] { return random() % 2 == 0; };
        constexpr std::size_t maxReads = 40;
        follow(Milliseconds(0), { "a", "b", "c", "d", "e", "f", "g", "h" });
        CPPUNIT_ASSERT(testing::runUntil(
            m_loop, [this] { return !m_updates.empty() || m_store.readParts.size() > maxReads; }));
        CPPUNIT_ASSERT(!m_updates.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), m_updates.front().rows.size());
    }

    void testAllPartsAreReadAgainAfterLossOfHistory()
    {
        m_store.replies = { { FeedOutcome::HistoryLost } };
        follow(Milliseconds(0), { "a", "b" });
        CPPUNIT_ASSERT(testing::runUntil(m_loop, [this] { return m_updates.size() == 2; }));
        CPPUNIT_ASSERT((m_store.readParts == std::vector<std::string> { "a", "b", "a", "b" }));
        CPPUNIT_ASSERT(m_updates.back().isComplete);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_updates.back().rows.size());
    }

    // Guards against reporting rows to a leader that has removed them since.
    void testPartsReadAfterLossOfHistoryAreFromOneAttempt()
    {
        m_store.replies = { { FeedOutcome::HistoryLost } };
        m_store.isReadFailing = [this] { return m_store.readParts.size() == 4; };
        follow(Milliseconds(0), { "a", "b" });
        CPPUNIT_ASSERT(testing::runUntil(m_loop, [this] { return m_updates.size() == 2; }));
        CPPUNIT_ASSERT((m_store.readParts == std::vector<std::string> { "a", "b", "a", "b", "a", "b" }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_updates.back().rows.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchTableFollowerTest);

} // namespace anvilmoor::batch
