#include "batch/intake/row_writer.h"
#include "support/batch_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace anvilmoor::batch {

class RowWriterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RowWriterTest);
    CPPUNIT_TEST(testFirstRowIsSentAtOnce);
    CPPUNIT_TEST(testRowsThatComeMeanwhileGoTogether);
    CPPUNIT_TEST(testPartsDoNotWaitForEachOther);
    CPPUNIT_TEST(testRowThatIsThereAlreadyCountsAsStored);
    CPPUNIT_TEST(testUnansweredRowsAreSentAgain);
    CPPUNIT_TEST(testRefusingStoreIsAskedAtGrowingIntervals);
    CPPUNIT_TEST(testForgottenRowIsNotSent);
    CPPUNIT_TEST(testForgottenRowInFlightIsNotSentAgain);
    CPPUNIT_TEST(testRowIsNotSentAfterItsTime);
    CPPUNIT_TEST(testSlowStoreTakesAllRowsOfABurst);
    CPPUNIT_TEST(testRowThatTheStoreNeverTakesHoldsUpNoOther);
    CPPUNIT_TEST(testRowThatMayBeStoredIsNotRejected);
    CPPUNIT_TEST(testTransactionStaysWithinTheStoresLimitOfBytes);
    CPPUNIT_TEST_SUITE_END();

    RowWriter m_writer;
    std::vector<Effect> m_effects;
    TimePoint m_now { Seconds(10) };
    std::uint64_t m_random = 0;

    Step step()
    {
        m_effects.clear();
        return { Event { m_now, {}, m_random++, Tick {} }, m_effects };
    }

    static Row rowOf(const char* part, int number)
    {
        return { { "t", part, "k" + std::to_string(number) }, "v" };
    }

    void write(const char* part, int number)
    {
        Step now = step();
        m_writer.write(
            static_cast<RowWriter::Ticket>(number), rowOf(part, number), true, TimePoint::max(), now);
    }

    const Commit& lastCommit() const { return std::get<Commit>(m_effects.back()); }

    RowWriter::Result resultOf(OperationId operation, CommitReply reply)
    {
        Step now = step();
        return m_writer.answered({ operation, std::move(reply) }, now);
    }

    // Returns the rows that are stored. None may be rejected.
    std::vector<RowWriter::Ticket> answer(OperationId operation, CommitReply reply)
    {
        RowWriter::Result result = resultOf(operation, std::move(reply));
        CPPUNIT_ASSERT(result.rejected.empty());
        return std::move(result.stored);
    }

    // Answers the next commit, which may be sent only after a delay.
    RowWriter::Result answerNext(CommitOutcome outcome)
    {
        if (m_effects.empty()) {
            m_now += Milliseconds(1'000);
            tick();
        }
        return resultOf(lastCommit().operation, { outcome });
    }

    void tick()
    {
        Step now = step();
        m_writer.tick(now);
    }

public:
    void testFirstRowIsSentAtOnce()
    {
        write("p", 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, lastCommit().transaction.writes.size());
        CPPUNIT_ASSERT_EQUAL(RowVersion { 0 }, lastCommit().transaction.expected.front().version);
        const auto stored = answer(lastCommit().operation, { CommitOutcome::Applied });
        CPPUNIT_ASSERT(stored == std::vector<RowWriter::Ticket> { 1 });
    }

    // Guards against congestion collapse, as seen on the day store-and-leader: one transaction per caller
    // filled the queue of a slow store, and retries kept it full long after the store had recovered.
    void testRowsThatComeMeanwhileGoTogether()
    {
        write("p", 1);
        const OperationId first = lastCommit().operation;
        for (int number = 2; number <= 5; ++number) {
            write("p", number);
            CPPUNIT_ASSERT(m_effects.empty());
        }
        answer(first, { CommitOutcome::Applied });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, lastCommit().transaction.writes.size());
    }

    void testPartsDoNotWaitForEachOther()
    {
        write("p", 1);
        write("q", 2);
        CPPUNIT_ASSERT_EQUAL(std::string("q"), lastCommit().transaction.writes.front().key.part);
    }

    void testRowThatIsThereAlreadyCountsAsStored()
    {
        write("p", 1);
        const OperationId first = lastCommit().operation;
        write("p", 2);
        write("p", 3);
        answer(first, { CommitOutcome::Applied });
        Row present = rowOf("p", 2);
        present.version = 9;
        const auto stored
            = answer(lastCommit().operation, { CommitOutcome::Conflict, 0, { present, rowOf("p", 3) } });
        CPPUNIT_ASSERT(stored == std::vector<RowWriter::Ticket> { 2 });
        // The other row is sent again immediately, on its own.
        CPPUNIT_ASSERT_EQUAL(std::string("k3"), lastCommit().transaction.writes.front().key.key);
    }

    void testUnansweredRowsAreSentAgain()
    {
        write("p", 1);
        CPPUNIT_ASSERT(answer(lastCommit().operation, { CommitOutcome::Unknown }).empty());
        m_now += Milliseconds(40);
        tick();
        CPPUNIT_ASSERT_EQUAL(std::string("k1"), lastCommit().transaction.writes.front().key.key);
    }

    void testRefusingStoreIsAskedAtGrowingIntervals()
    {
        write("p", 1);
        int commits = 1;
        OperationId operation = lastCommit().operation;
        answer(operation, { CommitOutcome::Refused });
        for (int passed = 0; passed < 3'000; passed += 20) {
            m_now += Milliseconds(20);
            tick();
            if (m_effects.empty())
                continue;
            ++commits;
            operation = lastCommit().operation;
            answer(operation, { CommitOutcome::Refused });
        }
        CPPUNIT_ASSERT(commits >= 5);
        CPPUNIT_ASSERT(commits <= 15);
    }

    void testForgottenRowIsNotSent()
    {
        write("p", 1);
        const OperationId first = lastCommit().operation;
        write("p", 2);
        m_writer.forget(2);
        answer(first, { CommitOutcome::Applied });
        CPPUNIT_ASSERT(m_effects.empty());
    }

    // Guards against a job that is stored long after its caller was told that the outcome is unknown
    // (review/7).
    void testForgottenRowInFlightIsNotSentAgain()
    {
        for (const CommitOutcome outcome :
            { CommitOutcome::Unknown, CommitOutcome::Refused, CommitOutcome::Invalid }) {
            write("p", 1);
            const OperationId first = lastCommit().operation;
            m_writer.forget(1);
            CPPUNIT_ASSERT(answer(first, { outcome }).empty());
            m_now += Milliseconds(5'000);
            tick();
            CPPUNIT_ASSERT(m_effects.empty());
        }
    }

    // Guards against the same after the process was suspended.
    void testRowIsNotSentAfterItsTime()
    {
        Step now = step();
        m_writer.write(1, rowOf("p", 1), true, m_now + Milliseconds(3'000), now);
        const OperationId first = lastCommit().operation;
        m_now += Milliseconds(60'000);
        CPPUNIT_ASSERT(answer(first, { CommitOutcome::Refused }).empty());
        m_now += Milliseconds(1'000);
        tick();
        CPPUNIT_ASSERT(m_effects.empty());
    }

    // Guards against a submission that is too large and is sent again with those of other callers until its
    // caller's time is up.
    void testRowThatTheStoreNeverTakesHoldsUpNoOther()
    {
        write("p", 1);
        const OperationId first = lastCommit().operation;
        for (const int number : { 2, 3, 4 })
            write("p", number);
        answer(first, { CommitOutcome::Applied });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, lastCommit().transaction.writes.size());
        CPPUNIT_ASSERT(answer(lastCommit().operation, { CommitOutcome::Invalid }).empty());
        CPPUNIT_ASSERT(answerNext(CommitOutcome::Applied).stored == std::vector<RowWriter::Ticket> { 2 });
        CPPUNIT_ASSERT(answerNext(CommitOutcome::Invalid).rejected == std::vector<RowWriter::Ticket> { 3 });
        CPPUNIT_ASSERT(answerNext(CommitOutcome::Applied).stored == std::vector<RowWriter::Ticket> { 4 });
    }

    // Guards against telling a caller that its job was not accepted although an earlier copy is stored.
    void testRowThatMayBeStoredIsNotRejected()
    {
        write("p", 1);
        CPPUNIT_ASSERT(answer(lastCommit().operation, { CommitOutcome::Unknown }).empty());
        CPPUNIT_ASSERT(answerNext(CommitOutcome::Invalid).rejected.empty());
        CPPUNIT_ASSERT(answerNext(CommitOutcome::Applied).stored == std::vector<RowWriter::Ticket> { 1 });
    }

    void testTransactionStaysWithinTheStoresLimitOfBytes()
    {
        write("p", 1);
        const OperationId first = lastCommit().operation;
        const std::string largest(StoreLimits {}.rowBytes, 'v');
        for (RowWriter::Ticket ticket = 2; ticket < 32; ++ticket) {
            Step now = step();
            const Row row { { "t", "p", "k" + std::to_string(ticket) }, largest };
            m_writer.write(ticket, row, true, TimePoint::max(), now);
        }
        testing::FakeStore store;
        answer(first, { CommitOutcome::Applied });
        std::size_t stored = 0;
        while (!m_effects.empty()) {
            const CommitReply reply = store.commit(lastCommit().transaction);
            CPPUNIT_ASSERT(reply.outcome == CommitOutcome::Applied);
            stored += answer(lastCommit().operation, reply).size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 30 }, stored);
    }

    // 60 callers within 1.2 s, and a store that takes 400 ms per transaction.
    void testSlowStoreTakesAllRowsOfABurst()
    {
        std::size_t stored = 0;
        std::optional<std::pair<TimePoint, OperationId>> inFlight;
        const TimePoint begin = m_now;
        for (int passed = 0; passed < 2'000; passed += 20) {
            m_now = begin + Milliseconds(passed);
            if (inFlight && m_now >= inFlight->first) {
                const OperationId operation = inFlight->second;
                inFlight.reset();
                stored += answer(operation, { CommitOutcome::Applied }).size();
                if (!m_effects.empty())
                    inFlight.emplace(m_now + Milliseconds(400), lastCommit().operation);
            }
            if (passed >= 1'200)
                continue;
            write("p", passed);
            if (!m_effects.empty())
                inFlight.emplace(m_now + Milliseconds(400), lastCommit().operation);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 60 }, stored);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowWriterTest);

} // namespace anvilmoor::batch
