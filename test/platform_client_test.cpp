#include "clients/endpoint_client.h"
#include "clients/host_list_client.h"
#include "clients/object_client.h"
#include "clients/table_client.h"
#include "clients/worker_client.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/platform_service.h"
#include "support/loop_support.h"
#include "workers/worker_service.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace anvilmoor::clients {

using nlohmann::json;
using testing::runUntil;

constexpr Milliseconds shortTimeout { 50 };
constexpr Milliseconds longTimeout { 60'000 }; // never reached: runUntil() fails a hanging test earlier

class PlatformClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformClientTest);
    CPPUNIT_TEST(testWriteWithLostAnswerIsUnknownAndTookEffect);
    CPPUNIT_TEST(testTableThatIsDownIsUnavailable);
    CPPUNIT_TEST(testSlowWriteTakesEffectAfterItsTimeout);
    CPPUNIT_TEST(testConflictReturnsTheCurrentRows);
    CPPUNIT_TEST(testStoredObjectIsReturnedAndMissingObjectIsNotFound);
    CPPUNIT_TEST(testHostListLagsBehindTheHosts);
    CPPUNIT_TEST(testInvalidControlChangesNothing);
    CPPUNIT_TEST(testSyncWaitsForAChangeAndReportsOnlyThatChange);
    CPPUNIT_TEST(testSyncAndCommandWithOlderTokenAreRejectedAsStale);
    CPPUNIT_TEST(testUsageReportLagsBehindTheWorkers);
    CPPUNIT_TEST(testDeadAndSilentWorkersAreUnreachable);
    CPPUNIT_TEST(testHeldCallIsExecutedAndAnsweredOnRelease);
    CPPUNIT_TEST(testCallIsLostWhenItsWorkerDiesAndLaterCallIsRefused);
    CPPUNIT_TEST(testCallToEndpointWithoutFreeSlotIsRefusedBeforeExecution);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<net::EventLoop>();
        m_http = net::makeHttpClient(*m_loop);
        m_platform = std::make_unique<standin::PlatformService>(
            *m_loop, standin::HostDirectory(*standin::parseHosts("w1:z,w2:z"), Milliseconds(0)));
        m_workers = std::make_unique<standin::WorkerService>(
            *m_loop, *standin::parseLayout(R"({"service":"plan","slots":1,"racks":[
                {"id":"r1","workers":[{"id":"w1","accelerators":8},{"id":"w2","accelerators":8}]}]})"));
        m_platformServer = serve([this](const auto& exchange) { m_platform->handle(exchange); });
        m_workerServer = serve([this](const auto& exchange) { m_workers->handle(exchange); });
        m_table = makeTableClient(*m_http, addressOf(*m_platformServer), longTimeout);
        m_workerClient = makeWorkerClient(*m_http);
        m_endpoints = makeEndpointClient(*m_http);
    }

    void tearDown() override
    {
        m_http.reset();
        m_platformServer.reset();
        m_workerServer.reset();
        m_platform.reset();
        m_workers.reset();
        m_loop.reset();
    }

    // Guards against a write that is reported as not done because its answer was lost.
    void testWriteWithLostAnswerIsUnknownAndTookEffect()
    {
        control(*m_platformServer,
            R"({"table":{"mode":"lose_answers","count":1,"key_prefix":"job/","only":"writes"}})");
        const auto shortTimeoutTable = makeTableClient(*m_http, addressOf(*m_platformServer), shortTimeout);
        CPPUNIT_ASSERT(execute(*m_table, { {}, { { "other", "x" } } }).status == TableStatus::Ok);
        CPPUNIT_ASSERT(
            execute(*shortTimeoutTable, { {}, { { "job/1", "x" } } }).status == TableStatus::Unknown);
        CPPUNIT_ASSERT(execute(*m_table, { {}, { { "job/2", "x" } } }).status == TableStatus::Ok);
        const TableReply rows = read({ {}, { "job/" } });
        CPPUNIT_ASSERT(rows.rows.size() == 2 && rows.rows[0].key == "job/1");
        const json counters = state(*m_platformServer)["counters"];
        CPPUNIT_ASSERT(counters["answers_lost"] == 1 && counters["transactions"] == 3);
    }

    void testTableThatIsDownIsUnavailable()
    {
        control(*m_platformServer, R"({"table":"down"})");
        CPPUNIT_ASSERT(execute(*m_table, { {}, { { "a", "x" } } }).status == TableStatus::Unavailable);
        CPPUNIT_ASSERT(read({ { "a" }, {} }).status == TableStatus::Unavailable);
        control(*m_platformServer, R"({"table":"up"})");
        CPPUNIT_ASSERT(read({ { "a" }, {} }).rows.empty());
        const auto unreachableTable = makeTableClient(*m_http, { "127.0.0.1", 0 }, longTimeout);
        CPPUNIT_ASSERT(
            execute(*unreachableTable, { {}, { { "a", "x" } } }).status == TableStatus::Unavailable);
    }

    // Guards against a write that is reported as not done when it times out and takes effect later.
    void testSlowWriteTakesEffectAfterItsTimeout()
    {
        control(*m_platformServer, R"({"table":{"mode":"slow","delay_ms":150,"only":"writes"}})");
        const auto shortTimeoutTable = makeTableClient(*m_http, addressOf(*m_platformServer), shortTimeout);
        CPPUNIT_ASSERT(
            execute(*shortTimeoutTable, { {}, { { "a", "late" } } }).status == TableStatus::Unknown);
        TableReply reply;
        for (int tries = 0; tries < 100'000 && reply.rows.empty(); ++tries)
            reply = read({ { "a" }, {} });
        CPPUNIT_ASSERT(!reply.rows.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("late"), reply.rows[0].value);
    }

    void testConflictReturnsTheCurrentRows()
    {
        const TableReply created = execute(*m_table, { { { "a", 0 } }, { { "a", "first" } } });
        CPPUNIT_ASSERT(created.status == TableStatus::Ok && created.rows[0].version > 0);
        const TableReply conflict = execute(*m_table, { { { "a", 0 } }, { { "a", "second" } } });
        CPPUNIT_ASSERT(conflict.status == TableStatus::Conflict);
        CPPUNIT_ASSERT(conflict.rows[0].version == created.rows[0].version);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), conflict.rows[0].value);
    }

    void testStoredObjectIsReturnedAndMissingObjectIsNotFound()
    {
        const auto objects = makeObjectClient(*m_http, addressOf(*m_platformServer));
        const std::string value("\0\xff\r\n", 4);
        std::optional<ObjectResult> result;
        const auto storeResult = [&](ObjectResult answer) { result = std::move(answer); };
        objects->put("response/a b/ä", value, storeResult);
        wait([&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->has_value());
        result.reset();
        objects->get("response/a b/ä", storeResult);
        wait([&] { return result.has_value(); });
        CPPUNIT_ASSERT(**result == value);
        for (const bool isStored : { true, false }) {
            result.reset();
            objects->remove("response/a b/ä", storeResult);
            wait([&] { return result.has_value(); });
            CPPUNIT_ASSERT_EQUAL(isStored, result->has_value());
        }
        result.reset();
        objects->get("response/none", storeResult);
        wait([&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->error().kind == ObjectErrorKind::NotFound);
    }

    void testHostListLagsBehindTheHosts()
    {
        const auto hosts = makeHostListClient(*m_http, addressOf(*m_platformServer));
        const auto fetch = [&] {
            std::optional<HostListResult> result;
            hosts->fetch([&](HostListResult answer) { result = std::move(answer); });
            wait([&] { return result.has_value(); });
            return *result;
        };
        control(*m_platformServer,
            R"({"host_list_lag_ms":60000,"set_hosts":[{"id":"w1","state":"leaving"},{"id":"w2","state":"gone"}]})");
        CPPUNIT_ASSERT(fetch()->size() == 2 && fetch()->front().state == HostState::Live);
        // The platform does not send an unchanged list again: the client must keep it, and must not miss the
        // next change.
        CPPUNIT_ASSERT(fetch()->size() == 2 && fetch()->front().state == HostState::Live);
        control(*m_platformServer, R"({"host_list_lag_ms":0})");
        CPPUNIT_ASSERT(fetch()->size() == 1 && fetch()->front().state == HostState::Leaving);
        control(*m_platformServer, R"({"hosts":"down"})");
        CPPUNIT_ASSERT(!fetch().has_value());
    }

    // Guards against a control message that is applied in part before its error is found.
    void testInvalidControlChangesNothing()
    {
        CPPUNIT_ASSERT_EQUAL(400, post(*m_platformServer, "/control", R"({"table":"down","typo":1})").status);
        CPPUNIT_ASSERT_EQUAL(400,
            post(
                *m_platformServer, "/control", R"({"table":"down","set_hosts":[{"id":"no","state":"gone"}]})")
                .status);
        CPPUNIT_ASSERT(state(*m_platformServer)["table"]["mode"] == "up");
        CPPUNIT_ASSERT_EQUAL(400,
            post(*m_workerServer, "/control", R"({"hold":true,"workers":[{"id":"w1","state":"tired"}]})")
                .status);
        CPPUNIT_ASSERT(state(*m_workerServer)["endpoints"][0]["hold"] == false);
    }

    void testSyncWaitsForAChangeAndReportsOnlyThatChange()
    {
        const RackSynced complete = sync(1, 0);
        CPPUNIT_ASSERT(complete.isComplete && complete.workers.size() == 2);
        std::optional<RackSyncOutcome> outcome;
        m_workerClient->sync(addressOf(*m_workerServer),
            { RackId("r1"), 1, complete.sequence, longTimeout, {} },
            [&](RackSyncOutcome answer) { outcome = std::move(answer); });
        wait([&] { return state(*m_workerServer)["waiting_syncs"] == 1; });
        CPPUNIT_ASSERT(!outcome);
        CPPUNIT_ASSERT(command("w2", 1) == WorkerCommandResult::Ok);
        wait([&] { return outcome.has_value(); });
        const RackSynced& change = std::get<RackSynced>(*outcome);
        CPPUNIT_ASSERT(!change.isComplete && change.workers.size() == 1);
        CPPUNIT_ASSERT(change.workers[0].worker == WorkerId("w2") && change.workers[0].tasks.size() == 1);
        CPPUNIT_ASSERT(change.sequence > complete.sequence);
        // Sequence number 5 is from before the start of the rack, so the report is complete.
        CPPUNIT_ASSERT(sync(1, 5).isComplete);
    }

    // Guards against a former holder that still receives reports or commands workers after its replacement.
    void testSyncAndCommandWithOlderTokenAreRejectedAsStale()
    {
        const RackSynced first = sync(1, 0);
        std::optional<RackSyncOutcome> old;
        m_workerClient->sync(addressOf(*m_workerServer), { RackId("r1"), 1, first.sequence, longTimeout, {} },
            [&](RackSyncOutcome answer) { old = std::move(answer); });
        wait([&] { return state(*m_workerServer)["waiting_syncs"] == 1; });
        sync(2, 0);
        wait([&] { return old.has_value(); });
        CPPUNIT_ASSERT(std::get<RackSyncFailed>(*old).isStaleToken);
        CPPUNIT_ASSERT(command("w1", 1) == WorkerCommandResult::StaleToken);
        sync(0, 0); // token 0, which a caretaker uses, is never stale
    }

    void testUsageReportLagsBehindTheWorkers()
    {
        control(*m_workerServer, R"({"usage_report_lag_ms":60000})");
        CPPUNIT_ASSERT(command("w1", 1) == WorkerCommandResult::Ok);
        CPPUNIT_ASSERT(sync(1, 0).workers[0].tasks.empty());
        control(*m_workerServer, R"({"usage_report_lag_ms":0})");
        const RackSynced report = sync(1, 0);
        CPPUNIT_ASSERT(report.workers[0].tasks.size() == 1 && report.workers[0].tasks[0].accelerators == 4);
    }

    void testDeadAndSilentWorkersAreUnreachable()
    {
        CPPUNIT_ASSERT(command("w1", 1) == WorkerCommandResult::Ok);
        control(*m_workerServer, R"({"workers":[{"id":"w1","state":"dead"}]})");
        CPPUNIT_ASSERT(command("w1", 1) == WorkerCommandResult::Unreachable);
        const RackSynced report = sync(1, 0);
        CPPUNIT_ASSERT(!report.workers[0].isLive && report.workers[0].tasks.empty());
        control(*m_workerServer,
            R"({"workers":[{"id":"w1","state":"restart"}],"racks":[{"id":"r1","silent":true}]})");
        std::optional<EndpointOutcome> outcome;
        call("w1", "key", shortTimeout, outcome);
        wait([&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(std::get<EndpointFailed>(*outcome).failure == EndpointFailure::Lost);
        control(*m_workerServer, R"({"racks":[{"id":"r1","silent":false}]})");
        CPPUNIT_ASSERT(sync(1, 0).workers[0].isLive);
        CPPUNIT_ASSERT(state(*m_workerServer)["executions"]["total"] == 0);
    }

    void testHeldCallIsExecutedAndAnsweredOnRelease()
    {
        control(*m_workerServer, R"({"hold":true})");
        std::optional<EndpointOutcome> outcome;
        call("w1", "key", longTimeout, outcome);
        wait([&] { return state(*m_workerServer)["executions"]["total"] == 1; });
        CPPUNIT_ASSERT(!outcome);
        control(*m_workerServer, R"({"hold":false})");
        wait([&] { return outcome.has_value(); });
        const EndpointAnswered& answered = std::get<EndpointAnswered>(*outcome);
        CPPUNIT_ASSERT_EQUAL(
            standin::EndpointModel::answerTo(answered.identity, "quote", "body"), answered.body);
        CPPUNIT_ASSERT(state(*m_workerServer)["executions"]["by_identity"][0]["key"] == "key");
    }

    void testCallIsLostWhenItsWorkerDiesAndLaterCallIsRefused()
    {
        control(*m_workerServer, R"({"service_ms":60000})");
        std::optional<EndpointOutcome> first;
        call("w1", "a", Milliseconds(500), first);
        wait([&] { return state(*m_workerServer)["executions"]["total"] == 1; });
        control(*m_workerServer, R"({"workers":[{"id":"w1","state":"dead"}]})");
        std::optional<EndpointOutcome> second;
        call("w1", "b", longTimeout, second);
        wait([&] { return first && second; });
        CPPUNIT_ASSERT(std::get<EndpointFailed>(*first).failure == EndpointFailure::Lost);
        CPPUNIT_ASSERT(std::get<EndpointFailed>(*second).failure == EndpointFailure::RefusedBeforeExecution);
    }

    // Guards against a call that is refused for lack of a slot and executed nevertheless.
    void testCallToEndpointWithoutFreeSlotIsRefusedBeforeExecution()
    {
        control(*m_workerServer, R"({"hold":true})");
        std::optional<EndpointOutcome> held;
        call("w1", "a", longTimeout, held);
        wait([&] { return state(*m_workerServer)["executions"]["total"] == 1; });
        std::optional<EndpointOutcome> refused;
        call("w1", "b", longTimeout, refused);
        wait([&] { return refused.has_value(); });
        CPPUNIT_ASSERT(std::get<EndpointFailed>(*refused).failure == EndpointFailure::RefusedBeforeExecution);
        m_endpoints->cancel(m_lastCall - 1);
        control(*m_workerServer, R"({"hold":false})");
        wait([&] { return state(*m_workerServer)["endpoints"][0]["open_calls"] == 0; });
        CPPUNIT_ASSERT(!held);
        CPPUNIT_ASSERT(state(*m_workerServer)["executions"]["total"] == 1);
    }

private:
    std::unique_ptr<net::HttpServer> serve(net::HttpHandler handler)
    {
        auto server = net::makeHttpServer(*m_loop, { "127.0.0.1", 0 }, std::move(handler));
        CPPUNIT_ASSERT(server.has_value());
        return std::move(*server);
    }

    static net::SocketAddress addressOf(const net::HttpServer& server)
    {
        return { "127.0.0.1", server.port() };
    }

    void wait(const std::function<bool()>& condition) { CPPUNIT_ASSERT(runUntil(*m_loop, condition)); }

    net::HttpResponse request(const net::HttpServer& server, net::HttpRequest request)
    {
        std::optional<net::HttpResult> result;
        m_http->call(addressOf(server), std::move(request), longTimeout,
            [&](net::HttpResult answer) { result = std::move(answer); });
        wait([&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->has_value());
        return **result;
    }

    net::HttpResponse post(const net::HttpServer& server, const char* path, const std::string& body)
    {
        return request(server, { "POST", path, {}, body });
    }

    void control(const net::HttpServer& server, const std::string& change)
    {
        const net::HttpResponse response = post(server, "/control", change);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response.body, 200, response.status);
    }

    json state(const net::HttpServer& server)
    {
        return json::parse(request(server, { "GET", "/control", {}, {} }).body);
    }

    TableReply execute(TableClient& table, TableTransaction transaction)
    {
        std::optional<TableReply> reply;
        table.execute(std::move(transaction), [&](TableReply answer) { reply = std::move(answer); });
        wait([&] { return reply.has_value(); });
        return *reply;
    }

    TableReply read(TableRead read)
    {
        std::optional<TableReply> reply;
        m_table->read(std::move(read), [&](TableReply answer) { reply = std::move(answer); });
        wait([&] { return reply.has_value(); });
        return *reply;
    }

    RackSynced sync(FencingToken token, std::uint64_t since)
    {
        std::optional<RackSyncOutcome> outcome;
        m_workerClient->sync(addressOf(*m_workerServer), { RackId("r1"), token, since, Milliseconds(0), {} },
            [&](RackSyncOutcome answer) { outcome = std::move(answer); });
        wait([&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(std::holds_alternative<RackSynced>(*outcome));
        return std::get<RackSynced>(*outcome);
    }

    WorkerCommandResult command(const char* worker, FencingToken token)
    {
        std::optional<WorkerCommandResult> result;
        m_workerClient->command(addressOf(*m_workerServer), WorkerId(worker),
            { WorkerCommandKind::Reserve, token, JobId("z.1"), 1, 4, longTimeout, {}, false },
            [&](WorkerCommandResult answer) { result = answer; });
        wait([&] { return result.has_value(); });
        return *result;
    }

    void call(const std::string& worker, const std::string& key, Milliseconds timeout,
        std::optional<EndpointOutcome>& outcome)
    {
        m_endpoints->call(addressOf(*m_workerServer),
            { ++m_lastCall, EndpointId("plan@" + worker), { ClientAccountId("mill"), key }, "quote", "body",
                timeout },
            [&outcome](EndpointOutcome answer) { outcome = std::move(answer); });
    }

    CallId m_lastCall = 0;
    std::unique_ptr<net::EventLoop> m_loop;
    std::unique_ptr<net::HttpClient> m_http;
    std::unique_ptr<standin::PlatformService> m_platform;
    std::unique_ptr<standin::WorkerService> m_workers;
    std::unique_ptr<net::HttpServer> m_platformServer;
    std::unique_ptr<net::HttpServer> m_workerServer;
    std::unique_ptr<TableClient> m_table;
    std::unique_ptr<WorkerClient> m_workerClient;
    std::unique_ptr<EndpointClient> m_endpoints;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);

} // namespace anvilmoor::clients
