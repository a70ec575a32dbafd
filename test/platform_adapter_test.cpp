#include "net/event_loop.h"
#include "platform/caller_codec.h"
#include "platform/record_reader.h"
#include "platform/settings.h"
#include "platform/store_client.h"
#include "platform/wire_json.h"
#include "platform/worker_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <unistd.h>
#include <vector>

namespace anvilmoor::adapter {

// Tests the translation between the platform's wire format and the project's own types. There is no network:
// the HTTP client records the calls, and the test answers them.
class PlatformAdapterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformAdapterTest);
    CPPUNIT_TEST(testSettingsAreRead);
    CPPUNIT_TEST(testBadSettingsNameFieldAndReason);
    CPPUNIT_TEST(testSubmissionIsDecoded);
    CPPUNIT_TEST(testMalformedJobBodyGivesErrorWithFieldAndReason);
    CPPUNIT_TEST(testOmittedFieldsHaveDefaults);
    CPPUNIT_TEST(testUnsupportedMethodIsNotDecoded);
    CPPUNIT_TEST(testAnswerKindGivesHttpStatusAndBody);
    CPPUNIT_TEST(testRefusalHasRetryAfterHeader);
    CPPUNIT_TEST(testConfigurationIsDecoded);
    CPPUNIT_TEST(testWorkerEntryIsDecoded);
    CPPUNIT_TEST(testMalformedWorkerEntryGivesError);
    CPPUNIT_TEST(testStartOrderCarriesLeaseTokenAndCheckpoint);
    CPPUNIT_TEST(testWorkerAnswerGivesOrderOutcome);
    CPPUNIT_TEST(testHoldAnswerListsActiveAndEndedRuns);
    CPPUNIT_TEST(testHoldAnswerWithFullListOfEndsMayHaveMore);
    CPPUNIT_TEST(testMalformedHoldAnswerGivesUnknownOutcome);
    CPPUNIT_TEST(testCommitAnswerOrFailureGivesOutcome);
    CPPUNIT_TEST(testReadFollowsPages);
    CPPUNIT_TEST(testFeedAnswerGivesOutcome);
    CPPUNIT_TEST_SUITE_END();

    class RecordingClient : public net::HttpClient {
    public:
        net::HttpCallId call(const net::SocketAddress&, net::HttpRequest request, Milliseconds,
            net::HttpCallback callback) override
        {
            requests.push_back(std::move(request));
            callbacks.push_back(std::move(callback));
            return callbacks.size();
        }
        void cancel(net::HttpCallId) override { }

        // The callback is copied first, because it may make the next call and so change the list.
        void answer(int status, std::string body)
        {
            const net::HttpCallback callback = callbacks.back();
            callback({ { status, {}, std::move(body) } });
        }
        void fail(net::HttpErrorKind kind)
        {
            callbacks.back()(tl::unexpected(net::HttpError { kind, "test" }));
        }

        std::vector<net::HttpRequest> requests;
        std::vector<net::HttpCallback> callbacks;
    };

    RecordingClient m_client;
    telemetry::EventLog m_log { {}, telemetry::LogLevel::Error,
        { [] { return WallTime(); }, [] { return TimePoint(); } }, [](std::string_view) {} };
    const batch::WorkerLifetime m_worker { WorkerId("i-7f"), 170 };

    static std::string goodSettings()
    {
        return "node = \"edge-1\"\nzone = \"north\"\norders = \"call\"\nheartbeatMs = 1500\nunknown = 1\n"
               "[listen]\nfront = \"10.0.0.1:1\"\nreadiness = \"10.0.0.1:2\"\n"
               "[limits]\ncpuShare = 0.25\ncores = 2\nlinkMbps = 200.0\n"
               "[bounds]\nrevokeMs = 5000\nstrictRevoke = true\nmaxHoldMs = 6000\nstopTimeoutMs = 200\n"
               "graceS = 6\n[platform]\naddress = \"10.0.0.9:7\"\n";
    }

    static tl::expected<Settings, SettingsError> settingsFrom(const std::string& text)
    {
        std::string path = "/tmp/anvilmoor-settings-XXXXXX";
        const int file = mkstemp(path.data());
        CPPUNIT_ASSERT(file >= 0);
        close(file);
        std::ofstream(path) << text;
        auto settings = readSettings(path);
        std::remove(path.c_str());
        return settings;
    }

    static std::string without(std::string text, const std::string& part)
    {
        text.erase(text.find(part), part.size());
        return text;
    }

    static net::HttpRequest post(std::string body)
    {
        return { "POST", "/lohu/5c0e7a21d94b36f8?x=1",
            { { "Host", "nony24.example:80" }, { "Authorization", "Bearer key" }, { "Timeout-Ms", "2500" } },
            std::move(body) };
    }

    static batch::Row rowOf(const char* key, std::string value)
    {
        return { { "servers", "", key }, std::move(value), 3 };
    }

    static std::string problemOf(const std::string& body) { return decodeRequest(post(body))->problem; }

    static bool contains(const std::string& text, const std::string& part)
    {
        return text.find(part) != std::string::npos;
    }

public:
    void testSettingsAreRead()
    {
        const auto settings = settingsFrom(goodSettings());
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("edge-1"), settings->host);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 7 }, settings->storeAddress.port);
        CPPUNIT_ASSERT_EQUAL(0.5, settings->cpuShare);
        CPPUNIT_ASSERT_EQUAL(200.0, settings->linkMbps);
        CPPUNIT_ASSERT(settings->shutdownGrace == Milliseconds(6'000));
        CPPUNIT_ASSERT(settings->maxWorkerLease == Milliseconds(6'000));
        CPPUNIT_ASSERT(settings->heartbeatInterval == Milliseconds(1'500));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, settings->storeRowBytes);
        const auto limited = settingsFrom(goodSettings() + "rowBytes = 16384\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 16'384 }, limited->storeRowBytes);
        CPPUNIT_ASSERT(!settingsFrom(goodSettings() + "rowBytes = -1\n").has_value());
    }

    void testBadSettingsNameFieldAndReason()
    {
        const auto missing = settingsFrom(without(goodSettings(), "maxHoldMs = 6000\n"));
        CPPUNIT_ASSERT(!missing);
        CPPUNIT_ASSERT(contains(missing.error().detail, "\"maxHoldMs\" is missing"));
        const auto address = settingsFrom(without(goodSettings(), "10.0.0.9"));
        CPPUNIT_ASSERT(contains(address.error().detail, "\"address\" is not a socket address"));
        const auto orders = settingsFrom(without(goodSettings(), "orders = \"call\"\n"));
        CPPUNIT_ASSERT(contains(orders.error().detail, "\"orders\" is missing"));
        const auto heartbeat
            = settingsFrom("orders = \"heartbeat\"\n" + without(goodSettings(), "orders = \"call\"\n"));
        CPPUNIT_ASSERT(contains(heartbeat.error().detail, "\"orders\" is not \"call\""));
        CPPUNIT_ASSERT(!settingsFrom("no [ toml"));
        CPPUNIT_ASSERT(!readSettings("/no/such/file"));
    }

    void testSubmissionIsDecoded()
    {
        const auto request = decodeRequest(post(
            R"({"spec":"s","steps":[{"count":4,"cpu":500,"memMb":256,"gpu":2,"estimateMs":900,"affinity":"r1-3"},)"
            R"({"count":2,"after":[0],"checkpointing":true,"gang":true,"sameRack":true,"antiAffinity":1}],)"
            R"("startAtMs":1000,"intervalMs":50,"repeats":3})"));
        CPPUNIT_ASSERT(request->action == batch::CallerAction::Submit);
        CPPUNIT_ASSERT_EQUAL(std::string("nony24.example"), request->host);
        CPPUNIT_ASSERT_EQUAL(std::string("/lohu/5c0e7a21d94b36f8"), request->path);
        CPPUNIT_ASSERT_EQUAL(std::string("key"), request->apiKey);
        CPPUNIT_ASSERT(request->timeout == Milliseconds(2'500));
        CPPUNIT_ASSERT(request->problem.empty());
        const batch::JobSpecification& job = request->specification;
        CPPUNIT_ASSERT(job.steps[0].perTask == (batch::Resources { 500, 256, 2 }));
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), job.steps[0].dataRack);
        CPPUNIT_ASSERT(job.steps[1].isGang && job.steps[1].needsOneRack && job.steps[1].savesCheckpoints);
        CPPUNIT_ASSERT(job.steps[1].dependsOn == std::vector<int> { 0 });
        CPPUNIT_ASSERT_EQUAL(1, job.steps[1].maxTasksPerWorker);
        CPPUNIT_ASSERT_EQUAL(3, job.schedule.occurrences);
    }

    void testMalformedJobBodyGivesErrorWithFieldAndReason()
    {
        CPPUNIT_ASSERT(contains(problemOf("nothing"), "no JSON"));
        CPPUNIT_ASSERT(contains(problemOf("{}"), "\"steps\" is missing"));
        CPPUNIT_ASSERT(contains(problemOf(R"({"steps":[{"count":-1}]})"), "\"count\""));
        CPPUNIT_ASSERT(contains(problemOf(R"({"steps":[{"cpu":"x"}]})"), "\"cpu\" is no whole number"));
        CPPUNIT_ASSERT(contains(problemOf(R"({"steps":[{"after":[0]}]})"), "\"after\""));
        CPPUNIT_ASSERT(contains(problemOf(R"({"steps":[{"gpu":-1}]})"), "negative"));
    }

    void testOmittedFieldsHaveDefaults()
    {
        const auto request = decodeRequest(post(R"({"steps":[{}]})"));
        CPPUNIT_ASSERT(request->problem.empty());
        const batch::StepSpecification& step = request->specification.steps.front();
        CPPUNIT_ASSERT_EQUAL(1, step.taskCount);
        CPPUNIT_ASSERT(!step.isGang && !step.usesSpareCpu && step.requiredLabel.empty());
        CPPUNIT_ASSERT_EQUAL(0, request->specification.schedule.occurrences);
    }

    void testUnsupportedMethodIsNotDecoded()
    {
        CPPUNIT_ASSERT(!decodeRequest({ "PUT", "/x" }));
        CPPUNIT_ASSERT(decodeRequest({ "GET", "/x" })->action == batch::CallerAction::Query);
        CPPUNIT_ASSERT(decodeRequest({ "DELETE", "/x" })->action == batch::CallerAction::Cancel);
    }

    void testAnswerKindGivesHttpStatusAndBody()
    {
        using batch::AnswerKind;
        const std::vector<std::pair<AnswerKind, int>> expected { { AnswerKind::Accepted, 200 },
            { AnswerKind::NoSuchJob, 410 }, { AnswerKind::NoSuchQueue, 404 }, { AnswerKind::UnknownKey, 401 },
            { AnswerKind::Malformed, 400 }, { AnswerKind::TooLarge, 413 }, { AnswerKind::NotAccepted, 429 },
            { AnswerKind::OutcomeUnknown, 504 }, { AnswerKind::NoConfiguration, 503 },
            { AnswerKind::ShuttingDown, 503 }, { AnswerKind::TooManyCancels, 503 },
            { AnswerKind::CountUnknown, 503 } };
        for (const auto& [kind, status] : expected)
            CPPUNIT_ASSERT_EQUAL(status, encodeAnswer({ 1, kind }).status);
        const auto state = encodeAnswer({ 1, AnswerKind::State, batch::JobState::Completed });
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"completed"})"), state.body);
        batch::AnswerCaller count { 1, AnswerKind::Count };
        count.count = 12;
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"queuedCount":12})"), encodeAnswer(count).body);
    }

    void testRefusalHasRetryAfterHeader()
    {
        batch::AnswerCaller refusal { 1, batch::AnswerKind::NotAccepted };
        refusal.retryAfter = Milliseconds(2'100);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), std::string(encodeAnswer(refusal).header("Retry-After")));
    }

    void testConfigurationIsDecoded()
    {
        const auto reader = makeRecordReader();
        const auto decoded = reader->configuration(rowOf("config",
            R"({"version":7,"routes":[{"name":"r-3","host":"h","pathPrefix":"/p/","targetLatencyMs":250,)"
            R"("priority":0,"service":"huvo","maxAttempts":4,"stretch":1.5,"public":false}],)"
            R"("limits":{"maxBodyBytes":1000},"tenants":[{"name":"kaje","apiKeys":["a","b"],)"
            R"("guaranteed":{"gpu":120}}]})"));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, decoded->version);
        CPPUNIT_ASSERT_EQUAL(4, decoded->queues.front().maxAttempts);
        CPPUNIT_ASSERT(decoded->queues.front().latencyTarget == Milliseconds(250));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 120 }, decoded->accounts.front().guaranteedAccelerators);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, decoded->accounts.front().apiKeys.size());
        CPPUNIT_ASSERT(!reader->configuration(rowOf("config", "{}")));
    }

    static std::string goodEntry()
    {
        return R"({"service":"huvo","address":"10.128.0.9:8080","zone":"north","state":"draining",)"
               R"("capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1-3"],"born":1700,"seq":4,)"
               R"("clockMs":482113,"remainingMs":4000})";
    }

    void testWorkerEntryIsDecoded()
    {
        const auto worker = makeRecordReader()->worker(rowOf("i-7f", goodEntry()));
        CPPUNIT_ASSERT(worker.has_value());
        CPPUNIT_ASSERT(worker->lifetime == (batch::WorkerLifetime { WorkerId("i-7f"), 1700 }));
        CPPUNIT_ASSERT(worker->isDraining);
        CPPUNIT_ASSERT(worker->remaining == Milliseconds(4'000));
        CPPUNIT_ASSERT_EQUAL(batch::WorkerClock { 482'113 }, worker->writtenAt);
        CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), worker->rack.value());
        CPPUNIT_ASSERT(worker->capacity == (batch::Resources { 16000, 32768, 8 }));
    }

    void testMalformedWorkerEntryGivesError()
    {
        const auto reader = makeRecordReader();
        const std::vector<std::string> broken { "\xff", "[]", without(goodEntry(), R"("born":1700,)"),
            without(goodEntry(), "10.128.0.9"), without(goodEntry(), "drain"),
            without(goodEntry(), R"("capacity":{"cpu":16000,"memMb":32768,"gpu":8},)") };
        for (const std::string& entry : broken) {
            const auto worker = reader->worker(rowOf("i-7f", entry));
            CPPUNIT_ASSERT_MESSAGE(entry, !worker);
            CPPUNIT_ASSERT(!worker.error().empty());
        }
    }

    void testStartOrderCarriesLeaseTokenAndCheckpoint()
    {
        const auto workers = makeWorkerClient(m_client, m_log);
        batch::StartRun order { m_worker, "10.0.0.1:80", { { JobId("5c0e"), 0, 1, 17 }, 2 }, "payload", "c1",
            486'000, 7 };
        workers->start(order, [](const batch::StartAnswered&) {});
        const Json body = parseObject(m_client.requests.back().body);
        CPPUNIT_ASSERT_EQUAL(std::string("/api/run-start"), m_client.requests.back().path);
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e.0.1.17"), body.at("task").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(486'000, body.at("deadlineMs").get<int>());
        CPPUNIT_ASSERT_EQUAL(7, body.at("fencingToken").get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string("c1"), body.at("lastCheckpoint").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(
            std::string("i-7f"), std::string(m_client.requests.back().header("Target-Instance")));
        order.checkpoint.clear();
        workers->start(order, [](const batch::StartAnswered&) {});
        CPPUNIT_ASSERT(!parseObject(m_client.requests.back().body).contains("lastCheckpoint"));
    }

    void testWorkerAnswerGivesOrderOutcome()
    {
        using batch::OrderOutcome;
        const auto workers = makeWorkerClient(m_client, m_log);
        const auto outcomeOf = [&](int status, const char* body) {
            OrderOutcome outcome = OrderOutcome::Unknown;
            workers->stop({ m_worker, "10.0.0.1:80", { { JobId("5c0e"), 0, 0, 0 }, 1 }, 7 },
                [&](const batch::StopAnswered& answer) { outcome = answer.outcome; });
            m_client.answer(status, body);
            return outcome;
        };
        CPPUNIT_ASSERT(outcomeOf(200, R"({"clockMs":5})") == OrderOutcome::Accepted);
        CPPUNIT_ASSERT(
            outcomeOf(409, R"({"clockMs":5,"reason":"room"})") == OrderOutcome::InsufficientCapacity);
        CPPUNIT_ASSERT(outcomeOf(409, R"({"clockMs":5,"reason":"fence"})") == OrderOutcome::Outdated);
        CPPUNIT_ASSERT(outcomeOf(409, R"({"clockMs":5,"reason":"ticket"})") == OrderOutcome::Rejected);
        CPPUNIT_ASSERT(outcomeOf(421, "{}") == OrderOutcome::OtherLifetime);
        CPPUNIT_ASSERT(outcomeOf(503, "") == OrderOutcome::Rejected);
        CPPUNIT_ASSERT(outcomeOf(400, "{}") == OrderOutcome::Rejected);
        for (const int status : { 500, 502, 504, 302 })
            CPPUNIT_ASSERT(outcomeOf(status, "{}") == OrderOutcome::Unknown);
        CPPUNIT_ASSERT(outcomeOf(200, "broken") == OrderOutcome::Unknown);
        const auto outcomeOfFailure = [&](net::HttpErrorKind kind) {
            OrderOutcome outcome = OrderOutcome::Accepted;
            workers->stop({ m_worker, "10.0.0.1:80", { { JobId("5c0e"), 0, 0, 0 }, 1 }, 7 },
                [&](const batch::StopAnswered& answer) { outcome = answer.outcome; });
            m_client.fail(kind);
            return outcome;
        };
        for (const auto kind :
            { net::HttpErrorKind::TimedOut, net::HttpErrorKind::Lost, net::HttpErrorKind::Malformed })
            CPPUNIT_ASSERT(outcomeOfFailure(kind) == OrderOutcome::Unknown);
        CPPUNIT_ASSERT(outcomeOfFailure(net::HttpErrorKind::NotSent) == OrderOutcome::NotSent);
    }

    void testHoldAnswerListsActiveAndEndedRuns()
    {
        const auto workers = makeWorkerClient(m_client, m_log);
        batch::HoldAnswered answer;
        workers->hold({ m_worker, "10.0.0.1:80", 7, 57, 486'000, Milliseconds(500) },
            [&](batch::HoldAnswered held) { answer = std::move(held); });
        const Json body = parseObject(m_client.requests.back().body);
        CPPUNIT_ASSERT_EQUAL(57, body.at("ackCursor").get<int>());
        CPPUNIT_ASSERT_EQUAL(500, body.at("waitMs").get<int>());
        m_client.answer(200,
            R"({"clockMs":482113,"born":170,"active":[["5c0e.0.1.17",2,"c",41,9.5]],)"
            R"("ended":[[58,"5c0e.0.1.9",1,"lapsed",""]]})");
        CPPUNIT_ASSERT(answer.outcome == batch::OrderOutcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 170 }, answer.status.startedAtMs);
        CPPUNIT_ASSERT_EQUAL(17, answer.status.active.front().run.task.index);
        CPPUNIT_ASSERT_EQUAL(41, answer.status.active.front().percent);
        CPPUNIT_ASSERT(answer.status.ended.front().end == batch::RunEnd::LeaseExpired);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 58 }, answer.status.ended.front().sequence);
    }

    void testHoldAnswerWithFullListOfEndsMayHaveMore()
    {
        const auto workers = makeWorkerClient(m_client, m_log);
        for (const int ends : { 1, 499, 500 }) {
            Json body { { "clockMs", 1 }, { "ended", Json::array() } };
            for (int i = 1; i <= ends; ++i)
                body["ended"].push_back(Json::array({ i, "5c.0.0.0", i, "failed", "" }));
            batch::HoldAnswered answer;
            workers->hold(
                { m_worker, "10.0.0.1:80", 7 }, [&](batch::HoldAnswered held) { answer = std::move(held); });
            m_client.answer(200, body.dump());
            CPPUNIT_ASSERT_EQUAL(ends, static_cast<int>(answer.status.ended.size()));
            CPPUNIT_ASSERT_EQUAL(ends == 500, answer.status.mayHaveMoreEnds);
        }
    }

    void testMalformedHoldAnswerGivesUnknownOutcome()
    {
        const auto workers = makeWorkerClient(m_client, m_log);
        for (const char* body :
            { R"({"clockMs":1,"active":[["x",1,"",0]]})",
                R"({"clockMs":1,"ended":[[1,"5c.0.0.0",1,"lost",""]]})", R"({"clockMs":1,"active":[[]]})" }) {
            batch::OrderOutcome outcome = batch::OrderOutcome::Accepted;
            workers->hold({ m_worker, "10.0.0.1:80", 7 },
                [&](const batch::HoldAnswered& held) { outcome = held.outcome; });
            m_client.answer(200, body);
            CPPUNIT_ASSERT_MESSAGE(body, outcome == batch::OrderOutcome::Unknown);
        }
    }

    void testCommitAnswerOrFailureGivesOutcome()
    {
        using batch::CommitOutcome;
        const auto store = makeStoreClient(m_client, { "10.0.0.9", 7 }, m_log);
        batch::Transaction transaction;
        transaction.expected.push_back({ { "t", "p", "k" }, 4 });
        transaction.writes.push_back({ { "t", "p", "k" }, std::string("\0v", 2) });
        batch::CommitReply reply;
        const auto commit
            = [&] { store->commit(transaction, [&](batch::CommitReply each) { reply = std::move(each); }); };
        commit();
        const Json body = parseObject(m_client.requests.back().body);
        CPPUNIT_ASSERT_EQUAL(4, body.at("expectedRev").at(0).at("rowVersion").get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string("AHY="), body.at("writes").at(0).at("value").get<std::string>());
        m_client.answer(200, R"({"rowVersion":412,"nowMs":1})");
        CPPUNIT_ASSERT(reply.outcome == CommitOutcome::Applied && reply.version == 412);
        CPPUNIT_ASSERT_EQUAL(batch::StoreClock { 1 }, reply.answeredAt);
        commit();
        m_client.answer(
            412, R"({"rows":[{"table":"t","part":"p","key":"k","value":"AHY=","rowVersion":9}]})");
        CPPUNIT_ASSERT(reply.outcome == CommitOutcome::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("\0v", 2), reply.current.front().value);
        commit();
        m_client.answer(429, "");
        CPPUNIT_ASSERT(reply.outcome == CommitOutcome::Refused);
        for (const int status : { 403, 404, 503 }) {
            commit();
            m_client.answer(status, "{}");
            CPPUNIT_ASSERT(reply.outcome == CommitOutcome::Refused);
        }
        for (const int status : { 400, 413, 422 }) {
            commit();
            m_client.answer(status, "{}");
            CPPUNIT_ASSERT(reply.outcome == CommitOutcome::Invalid);
        }
        for (const int status : { 500, 502, 504 }) {
            commit();
            m_client.answer(status, "{}");
            CPPUNIT_ASSERT(reply.outcome == CommitOutcome::Unknown);
        }
        commit();
        m_client.fail(net::HttpErrorKind::NotSent);
        CPPUNIT_ASSERT(reply.outcome == CommitOutcome::Refused);
        commit();
        m_client.fail(net::HttpErrorKind::Lost);
        CPPUNIT_ASSERT(reply.outcome == CommitOutcome::Unknown);
    }

    void testReadFollowsPages()
    {
        const auto store = makeStoreClient(m_client, { "10.0.0.9", 7 }, m_log);
        batch::TableSnapshot snapshot;
        store->read({ "t", "p", "" }, {}, [&](batch::TableSnapshot each) { snapshot = std::move(each); });
        m_client.answer(200,
            R"({"rows":[{"table":"t","part":"p","key":"a","value":"AHY=","rowVersion":9}],"hasMore":true,"rowVersion":20})");
        CPPUNIT_ASSERT(contains(m_client.requests.back().path, "from=a%01"));
        m_client.answer(200,
            R"({"rows":[{"table":"t","part":"p","key":"b","value":"AHY=","rowVersion":9}],"rowVersion":30})");
        CPPUNIT_ASSERT(snapshot.isOk);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, snapshot.rows.size());
        // The snapshot may lack changes made after its first page, so it has the version of that page.
        CPPUNIT_ASSERT_EQUAL(batch::RowVersion { 20 }, snapshot.version);
    }

    void testFeedAnswerGivesOutcome()
    {
        const auto store = makeStoreClient(m_client, { "10.0.0.9", 7 }, m_log);
        batch::FeedReply reply;
        const auto feed = [&] {
            store->feed("t", 5, Milliseconds(100), [&](batch::FeedReply each) { reply = std::move(each); });
        };
        feed();
        m_client.answer(
            200, R"({"rows":[{"table":"t","key":"a","rowVersion":6,"deleted":true}],"rowVersion":6})");
        CPPUNIT_ASSERT(reply.outcome == batch::FeedOutcome::Ok && reply.rows.front().isDeleted);
        feed();
        m_client.answer(410, "");
        CPPUNIT_ASSERT(reply.outcome == batch::FeedOutcome::HistoryLost);
        feed();
        m_client.fail(net::HttpErrorKind::TooLarge);
        CPPUNIT_ASSERT(reply.outcome == batch::FeedOutcome::HistoryLost);
        feed();
        m_client.answer(503, "");
        CPPUNIT_ASSERT(reply.outcome == batch::FeedOutcome::Failed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformAdapterTest);

} // namespace anvilmoor::adapter
