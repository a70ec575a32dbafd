#include "platform/caller_codec.h"
#include "platform/store_client.h"
#include "platform/wire_json.h"
#include "platform/worker_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace anvilmoor::adapter {

// Tests that no message of a worker, of the store or of a caller ends the daemon: each is decoded or
// rejected. The messages are mutations of valid ones, with fixed seeds; run under the sanitizers as well.
class PlatformFuzzTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformFuzzTest);
    CPPUNIT_TEST(testMutatedHoldAnswersAreDecodedOrRejected);
    CPPUNIT_TEST(testHoldAnswerWithNumberOutOfRangeIsRejected);
    CPPUNIT_TEST(testMutatedStoreAnswersAreDecodedOrRejected);
    CPPUNIT_TEST(testMutatedRequestsAreDecodedOrRejected);
    CPPUNIT_TEST(testAnswerWithInvalidUtf8InItsDetailIsEncoded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int rounds = 4'000;

    // Answers each call at once with the given response.
    class AnsweringClient : public net::HttpClient {
    public:
        net::HttpCallId call(
            const net::SocketAddress&, net::HttpRequest, Milliseconds, net::HttpCallback callback) override
        {
            callback({ { status, {}, body } });
            return 1;
        }
        void cancel(net::HttpCallId) override { }

        int status = 200;
        std::string body;
    };

    AnsweringClient m_client;
    std::mt19937_64 m_random { 7 };
    telemetry::EventLog m_log { {}, telemetry::LogLevel::Error,
        { [] { return WallTime(); }, [] { return TimePoint(); } }, [](std::string_view) {} };
    const batch::WorkerLifetime m_worker { WorkerId("i-7f"), 170 };

    std::size_t below(std::size_t limit) { return static_cast<std::size_t>(m_random() % limit); }

    // Replaces, removes or inserts a few bytes or tokens.
    std::string mutate(std::string text)
    {
        static constexpr std::string_view tokens[] { "-1", "1e308", "18446744073709551615", "null", "[]",
            "{}", "\"\"", "true", "\xff", "\\ud800", "[[[[[[[[", "0.5", "9223372036854775807", "," };
        for (std::size_t change = 1 + below(4); change; --change) {
            const std::size_t at = below(text.size() + 1);
            const std::size_t length = std::min(below(6), text.size() - at);
            const std::string_view token = tokens[below(std::size(tokens))];
            text.replace(at, length, below(3) ? token : std::string_view());
        }
        return text;
    }

    batch::HoldAnswered hold(std::string body)
    {
        const auto workers = makeWorkerClient(m_client, m_log);
        batch::HoldAnswered answer;
        m_client.body = std::move(body);
        workers->hold(
            { m_worker, "10.0.0.1:80", 7 }, [&](batch::HoldAnswered held) { answer = std::move(held); });
        return answer;
    }

    void answerAllStoreCalls(int status, const std::string& body)
    {
        const auto store = makeStoreClient(m_client, { "10.0.0.9", 7 }, m_log);
        m_client.status = status;
        m_client.body = body;
        int answers = 0;
        store->commit({}, [&](const batch::CommitReply&) { ++answers; });
        store->feed("t", 4, Milliseconds(0), [&](const batch::FeedReply&) { ++answers; });
        CPPUNIT_ASSERT_EQUAL(2, answers);
    }

public:
    void testMutatedHoldAnswersAreDecodedOrRejected()
    {
        const std::string valid = R"({"clockMs":482113,"born":170,"active":[["5c0e.0.1.17",2,"c",41,9.5]],)"
                                  R"("ended":[[58,"5c0e.0.1.9",1,"lapsed",""]]})";
        CPPUNIT_ASSERT(hold(valid).outcome == batch::OrderOutcome::Accepted);
        for (int round = 0; round < rounds; ++round) {
            const batch::HoldAnswered answer = hold(mutate(valid));
            for (const batch::ActiveRun& run : answer.status.active)
                CPPUNIT_ASSERT(run.percent >= 0 && run.percent <= 100 && run.run.run >= 1);
        }
    }

    void testHoldAnswerWithNumberOutOfRangeIsRejected()
    {
        for (const char* body : { R"({"clockMs":9223372036854775807})", R"({"clockMs":1,"born":-1})",
                 R"({"clockMs":1,"active":[["5c.0.0.0",4294967297,"",0]]})",
                 R"({"clockMs":1,"active":[["5c.0.0.0",1.5,"",0]]})",
                 R"({"clockMs":1,"ended":[[18446744073709551615,"5c.0.0.0",1,"done",""]]})",
                 R"({"clockMs":1,"ended":[[1,"5c.0.0.0",-1,"done",""]]})" })
            CPPUNIT_ASSERT_MESSAGE(body, hold(body).outcome == batch::OrderOutcome::Unknown);
    }

    void testMutatedStoreAnswersAreDecodedOrRejected()
    {
        const std::string valid
            = R"({"rowVersion":12,"nowMs":99,"rows":[{"table":"t","part":"p","key":"k","value":"AHY=",)"
              R"("rowVersion":11},{"table":"t","part":"","key":"l","rowVersion":12,"deleted":true}]})";
        for (int round = 0; round < rounds; ++round) {
            for (const int status : { 200, 412 })
                answerAllStoreCalls(status, mutate(valid));
        }
    }

    void testMutatedRequestsAreDecodedOrRejected()
    {
        const std::string valid
            = R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900},)"
              R"({"count":20,"cpu":2000,"memMb":1024,"after":[0],"checkpointing":true}]})";
        for (int round = 0; round < rounds; ++round) {
            const net::HttpRequest http { "POST", mutate("/lohu930/5c0e7a21d94b36f8"),
                { { "Host", mutate("nony24.example:80") }, { "Authorization", mutate("Bearer key") },
                    { "Timeout-Ms", mutate("3000") } },
                mutate(valid) };
            const auto request = decodeRequest(http);
            CPPUNIT_ASSERT(request);
            CPPUNIT_ASSERT(!request->problem.empty() || !request->specification.steps.empty());
        }
    }

    void testAnswerWithInvalidUtf8InItsDetailIsEncoded()
    {
        batch::AnswerCaller answer { 1, batch::AnswerKind::Malformed };
        answer.detail = "no such field: \xff";
        CPPUNIT_ASSERT_EQUAL(400, encodeAnswer(answer).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformFuzzTest);

} // namespace anvilmoor::adapter
