#include "entry/daemon.h"
#include "net/http_client.h"
#include "support/loop_support.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilmoor::entry {

namespace {

// Records all events and runs a script for each of them.
class ScriptedEngine final : public DecisionEngine {
public:
    using Script = std::function<void(const Event&, std::vector<Effect>&)>;

    struct EngineState {
        std::vector<Event> events;
        bool isRunning = false;
        Configuration configuration;
        Script script;

        template <typename Payload> std::size_t count() const
        {
            return static_cast<std::size_t>(std::ranges::count_if(
                events, [](const Event& event) { return std::holds_alternative<Payload>(event.payload); }));
        }
    };

    explicit ScriptedEngine(std::shared_ptr<EngineState> state)
        : m_engineState(std::move(state))
    {
    }

    void apply(const Event& event, std::vector<Effect>& effects) override
    {
        CPPUNIT_ASSERT_MESSAGE("nested call of the engine", !m_engineState->isRunning);
        m_engineState->isRunning = true;
        m_engineState->events.push_back(event);
        if (m_engineState->script)
            m_engineState->script(event, effects);
        m_engineState->isRunning = false;
    }

    const Configuration* configuration() const override { return &m_engineState->configuration; }

private:
    std::shared_ptr<EngineState> m_engineState;
};

} // namespace

class DaemonTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonTest);
    CPPUNIT_TEST(testRequestIsAnsweredOnceByEngine);
    CPPUNIT_TEST(testEffectWithUnreachableTargetFailsExactlyOnce);
    CPPUNIT_TEST(testCallerThatClosesIsReportedAndItsAnswerIsDropped);
    CPPUNIT_TEST(testShutdownSendsAnAnswerToEveryCaller);
    CPPUNIT_TEST(testCallsQueuedBehindStopAreNotRunExceptLaterCopies);
    CPPUNIT_TEST(testReadinessAndMetricsPagesShowReadiness);
    CPPUNIT_TEST(testMalformedCallDoesNotReachEngine);
    CPPUNIT_TEST(testDaemonDestroyedWithWorkInFlightRunsNoCallbacks);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_engineState = std::make_shared<ScriptedEngine::EngineState>();
        m_loop = std::make_unique<net::EventLoop>();
        m_kj = std::make_unique<peer::KjUvEventPort>(m_loop->handle());
        m_client = net::makeHttpClient(*m_loop);
        DaemonOptions options;
        options.settings.host = HostId("e1");
        options.settings.zone = AvailabilityZoneId("z1");
        options.listen = options.peerListen = { "127.0.0.1", 0 };
        options.platform = { "127.0.0.1", 1 }; // nothing listens there
        options.workers[AvailabilityZoneId("z1")] = { "127.0.0.1", 1 };
        options.seed = 1;
        options.logLevel = telemetry::LogLevel::Error;
        auto daemon = Daemon::open(*m_loop, *m_kj, options, std::make_unique<ScriptedEngine>(m_engineState));
        CPPUNIT_ASSERT(daemon.has_value());
        m_daemon = std::move(*daemon);
    }

    void tearDown() override
    {
        m_daemon.reset();
        m_client.reset();
        m_kj.reset();
        m_loop.reset();
        m_responses.clear();
    }

    void testRequestIsAnsweredOnceByEngine()
    {
        answerRequestsWith([](const RequestReceived& request, std::vector<Effect>& effects) {
            effects.emplace_back(AnswerRequest { request.caller, { RequestOutcome::Done, request.body } });
            effects.emplace_back(AnswerRequest { request.caller, { RequestOutcome::Done, "again" } });
        });
        call("a", "POST", "/v1/services/s/o", "one");
        call("b", "POST", "/v1/services/s/o", "two");
        run([&] { return m_responses.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::string("one"), m_responses["a"].body);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), m_responses["b"].body);
        CPPUNIT_ASSERT(m_responses["a"].header("Anvilmoor-Outcome") == "done");
        CPPUNIT_ASSERT(std::holds_alternative<Started>(m_engineState->events[0].payload));
        CPPUNIT_ASSERT(m_engineState->events[0].random != m_engineState->events[1].random);
    }

    // Guards against an operation that never gets a reply, and against a reply that is applied inside a call
    // of the engine.
    void testEffectWithUnreachableTargetFailsExactlyOnce()
    {
        m_engineState->configuration.zones.push_back({ AvailabilityZoneId("z1"), "r", "Europe/Vienna", {},
            { { RackId("known"), { { WorkerId("known"), RackId("known") } } } } });
        m_engineState->script = [](const Event& event, std::vector<Effect>& effects) {
            if (!std::holds_alternative<Started>(event.payload))
                return;
            const OperationId operation { ModuleId::Jobs, 1 };
            effects.emplace_back(ConfigurationAdopted { 1 });
            effects.emplace_back(ReadTable { operation, {} });
            effects.emplace_back(ExecuteTransaction { operation, {} });
            effects.emplace_back(GetObject { operation, "k" });
            effects.emplace_back(PutObject { operation, "k", "v" });
            effects.emplace_back(DeleteObject { operation, "k" });
            for (const char* name : { "known", "unknown" }) {
                effects.emplace_back(SyncRack { RackId(name) });
                effects.emplace_back(SendWorkerCommand { operation, WorkerId(name), {} });
                effects.emplace_back(CallEndpoint { 1, EndpointId(std::string("s@") + name),
                    { ClientAccountId("a"), "k" }, "o", "", Milliseconds(1'000) });
            }
            effects.emplace_back(CallEndpoint { 2, EndpointId("no-separator") });
            effects.emplace_back(CancelEndpointCall { 77 });
            effects.emplace_back(SendToPeer { HostId("nobody"), JobNotice {} });
        };
        run([&] {
            return m_engineState->count<TableReplied>() == 2 && m_engineState->count<ObjectReplied>() == 3
                && m_engineState->count<RackSyncFailed>() == 2 && m_engineState->count<WorkerReplied>() == 2
                && m_engineState->count<EndpointFailed>() == 3 && m_engineState->count<HostListFailed>() > 0;
        });
        for (const Event& event : m_engineState->events) {
            if (const auto* failed = std::get_if<EndpointFailed>(&event.payload))
                CPPUNIT_ASSERT(failed->failure == EndpointFailure::NotSent);
            if (const auto* reply = std::get_if<TableReplied>(&event.payload))
                CPPUNIT_ASSERT(reply->reply.status == TableStatus::Unavailable);
        }
    }

    void testCallerThatClosesIsReportedAndItsAnswerIsDropped()
    {
        std::optional<CallerHandle> open;
        m_engineState->script = [&](const Event& event, std::vector<Effect>& effects) {
            if (const auto* request = std::get_if<RequestReceived>(&event.payload))
                open = request->caller;
            if (const auto* gone = std::get_if<CallerGone>(&event.payload))
                effects.emplace_back(AnswerRequest { gone->caller, { RequestOutcome::Done, "late" } });
        };
        const net::HttpCallId id = call("a", "POST", "/v1/services/s/o", "");
        run([&] { return open.has_value(); });
        m_client->cancel(id);
        run([&] { return m_engineState->count<CallerGone>() == 1; });
        call("b", "GET", "/healthz", "");
        run([&] { return m_responses.contains("b"); });
        CPPUNIT_ASSERT(!m_responses.contains("a"));
    }

    void testShutdownSendsAnAnswerToEveryCaller()
    {
        std::vector<CallerHandle> waiting;
        m_engineState->script = [&](const Event& event, std::vector<Effect>& effects) {
            if (const auto* request = std::get_if<RequestReceived>(&event.payload))
                waiting.push_back(request->caller);
            if (!std::holds_alternative<ShutdownRequested>(event.payload))
                return;
            effects.emplace_back(StopProcess {});
            effects.emplace_back(
                AnswerRequest { waiting[0], { RequestOutcome::Done, std::string(1'000'000, 'x') } });
        };
        call("first", "POST", "/v1/services/s/o", "");
        run([&] { return waiting.size() == 1; });
        call("second", "POST", "/v1/services/s/o", "");
        run([&] { return waiting.size() == 2; });
        m_daemon->requestShutdown();
        m_loop->run(); // until the daemon stops it
        run([&] { return m_responses.size() == 2; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1'000'000), m_responses["first"].body.size());
        CPPUNIT_ASSERT(m_responses["second"].header("Anvilmoor-Outcome") == "unknown");
        CPPUNIT_ASSERT_EQUAL(504, m_responses["second"].status);
        const std::size_t events = m_engineState->events.size();
        m_daemon->requestShutdown();
        call("late", "GET", "/healthz", "");
        run([&] { return m_failed.contains("late"); });
        CPPUNIT_ASSERT_EQUAL(events, m_engineState->events.size());
    }

    // Guards against the outcome "unknown" for calls that were queued when the daemon stopped and never
    // reached the reducer.
    void testCallsQueuedBehindStopAreNotRunExceptLaterCopies()
    {
        m_engineState->script = [](const Event& event, std::vector<Effect>& effects) {
            const auto* request = std::get_if<RequestReceived>(&event.payload);
            if (!request)
                return;
            effects.emplace_back(AnswerRequest { request->caller, { RequestOutcome::Done, "" } });
            effects.emplace_back(StopProcess {});
        };
        for (int number = 0; number < 8; ++number) {
            call(fmt::format("first {}", number), "POST", "/v1/services/s/o", "",
                { { "Idempotency-Key", "k" }, { "Anvilmoor-First-Copy", "true" } });
            call(fmt::format("copy {}", number), "POST", "/v1/services/s/o", "",
                { { "Idempotency-Key", "k" } });
            call(fmt::format("job {}", number), "GET", "/v1/jobs", "");
        }
        m_loop->run(); // until the daemon stops it
        run([&] { return m_responses.size() + m_failed.size() == 24; });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_engineState->count<RequestReceived>());
        std::size_t rejected = 0;
        for (const auto& [name, response] : m_responses) {
            const std::string outcome(response.header("Anvilmoor-Outcome"));
            if (outcome == "done")
                continue;
            ++rejected;
            const std::string expected = name.starts_with("first") ? "not_run"
                : name.starts_with("copy")                         ? "unknown"
                                                                   : "";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name + ": " + response.body, expected, outcome);
            CPPUNIT_ASSERT(name.starts_with("copy") || response.status == 503);
        }
        CPPUNIT_ASSERT(rejected > 0);
    }

    void testReadinessAndMetricsPagesShowReadiness()
    {
        m_engineState->script = [](const Event& event, std::vector<Effect>& effects) {
            if (std::holds_alternative<SiteQueried>(event.payload)) {
                effects.emplace_back(SetReadiness { true });
                effects.emplace_back(RecordEvent { "job.running", { { "job", "j" } } });
                effects.emplace_back(
                    AnswerOperator { std::get<SiteQueried>(event.payload).caller, SiteAnswer {} });
            }
        };
        call("before", "GET", "/readyz", "");
        run([&] { return m_responses.contains("before"); });
        call("site", "GET", "/v1/site", "");
        run([&] { return m_responses.contains("site"); });
        call("after", "GET", "/readyz", "");
        call("metrics", "GET", "/metrics", "");
        run([&] { return m_responses.contains("after") && m_responses.contains("metrics"); });
        CPPUNIT_ASSERT(m_responses["before"].status == 503 && m_responses["after"].status == 200);
        const std::string& page = m_responses["metrics"].body;
        for (const char* line : { "anvilmoor_ready 1\n", "# TYPE anvilmoor_events_applied_total counter\n",
                 "anvilmoor_recorded_events_total{event=\"job.running\"} 1\n" })
            CPPUNIT_ASSERT_MESSAGE(page, page.find(line) != std::string::npos);
    }

    void testMalformedCallDoesNotReachEngine()
    {
        call("a", "POST", "/v1/jobs", "{");
        call("b", "GET", "/nowhere", "");
        call("c", "POST", "/metrics", "");
        run([&] { return m_responses.size() == 3; });
        CPPUNIT_ASSERT_EQUAL(400, m_responses["a"].status);
        CPPUNIT_ASSERT_EQUAL(404, m_responses["b"].status);
        CPPUNIT_ASSERT_EQUAL(405, m_responses["c"].status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_engineState->count<JobSubmitted>());
    }

    // Guards against callbacks that use the daemon after its destruction; the sanitizers detect them.
    void testDaemonDestroyedWithWorkInFlightRunsNoCallbacks()
    {
        m_engineState->script = [](const Event& event, std::vector<Effect>& effects) {
            if (std::holds_alternative<RequestReceived>(event.payload)) {
                effects.emplace_back(ReadTable { { ModuleId::Jobs, 1 }, {} });
                effects.emplace_back(SyncRack { RackId("unknown") });
            }
        };
        call("a", "POST", "/v1/services/s/o", "");
        run([&] { return m_engineState->count<RequestReceived>() == 1; });
        m_daemon.reset();
        run([&] { return m_responses.contains("a") || m_failed.contains("a"); });
    }

private:
    void run(const std::function<bool()>& condition)
    {
        CPPUNIT_ASSERT(testing::runUntil(*m_loop, condition));
    }

    void answerRequestsWith(std::function<void(const RequestReceived&, std::vector<Effect>&)> answer)
    {
        m_engineState->script
            = [answer = std::move(answer)](const Event& event, std::vector<Effect>& effects) {
                  if (const auto* request = std::get_if<RequestReceived>(&event.payload))
                      answer(*request, effects);
              };
    }

    net::HttpCallId call(const std::string& name, const std::string& method, const std::string& path,
        const std::string& body, const std::vector<net::HttpHeader>& headers = {})
    {
        net::HttpRequest request { method, path, { { "Anvilmoor-Account", "acc" } }, body };
        request.headers.insert(request.headers.end(), headers.begin(), headers.end());
        return m_client->call({ "127.0.0.1", m_daemon->port() }, std::move(request), Milliseconds(5'000),
            [this, name](net::HttpResult result) {
                if (result)
                    m_responses[name] = std::move(*result);
                else
                    m_failed[name] = result.error().detail;
            });
    }

    std::shared_ptr<ScriptedEngine::EngineState> m_engineState;
    std::unique_ptr<net::EventLoop> m_loop;
    std::unique_ptr<peer::KjUvEventPort> m_kj;
    std::unique_ptr<net::HttpClient> m_client;
    std::unique_ptr<Daemon> m_daemon;
    std::map<std::string, net::HttpResponse> m_responses;
    std::map<std::string, std::string> m_failed;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonTest);

} // namespace anvilmoor::entry
