#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "support/loop_support.h"
#include "support/raw_peer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <optional>
#include <thread>

namespace anvilmoor::net {

using testing::RawClient;
using testing::RawServer;
using testing::runUntil;

constexpr Milliseconds longTimeout { 60'000 }; // never reached: runUntil() fails the test before
constexpr Milliseconds shortTimeout { 30 };
// Long enough to connect and send on a busy machine, so that only a missing answer makes a call time out.
constexpr Milliseconds answerTimeout { 500 };

class HttpTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpTest);
    CPPUNIT_TEST(testConcurrentCallsEachGetTheirOwnAnswer);
    CPPUNIT_TEST(testCallIsNotSentWhenConnectionIsRefused);
    CPPUNIT_TEST(testCallIsNotSentWhenQueueIsFull);
    CPPUNIT_TEST(testCallThatTimesOutInQueueIsNotSent);
    CPPUNIT_TEST(testCallToSilentServerTimesOutAndConnectionIsNotReused);
    CPPUNIT_TEST(testTimeoutClosesIdleConnectionsToTheSameAddress);
    CPPUNIT_TEST(testAnswerThatArrivedWhileTheLoopWasBusyIsRead);
    CPPUNIT_TEST(testCallIsLostAndNotResentWhenConnectionClosesBeforeResponse);
    CPPUNIT_TEST(testInvalidResponsesAreErrors);
    CPPUNIT_TEST(testChunkedResponseIsRead);
    CPPUNIT_TEST(testConnectionClosedWhileIdleIsNotUsed);
    CPPUNIT_TEST(testOversizedRequestBodyIsRefused);
    CPPUNIT_TEST(testBodyOfMaximumSizeIsSentAndReceived);
    CPPUNIT_TEST(testCancelledCallRunsNoCallbackAndClosesConnection);
    CPPUNIT_TEST(testGracefulStopFinishesTheExchangeInFlight);
    CPPUNIT_TEST(testGracefulStopAnswersPartiallyReceivedRequest);
    CPPUNIT_TEST(testGracefulStopAnswersRequestsSentDuringStop);
    CPPUNIT_TEST(testSilentClientIsDisconnected);
    CPPUNIT_TEST(testClientThatDoesNotReadResponseIsDisconnected);
    CPPUNIT_TEST(testHeadIsAnsweredWithoutBody);
    CPPUNIT_TEST(testDroppedExchangeIsAnsweredWithAnError);
    CPPUNIT_TEST(testDestroyedServerAnswersOpenExchangesWithUnknownOutcome);
    CPPUNIT_TEST(testConnectionAboveTheLimitWaitsForAnotherToClose);
    CPPUNIT_TEST(testAddressInUseIsReported);
    CPPUNIT_TEST(testHeaderInjectionIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<EventLoop>();
        m_client = makeHttpClient(*m_loop);
    }

    void tearDown() override
    {
        m_held.clear();
        m_client.reset();
        m_server.reset();
        m_loop.reset();
    }

    void testConcurrentCallsEachGetTheirOwnAnswer()
    {
        // The answers are sent in reverse order of the requests, so that matching them by order would fail.
        serveHeld();
        constexpr std::size_t count = 200;
        std::vector<HttpResult> results(count);
        std::size_t answered = 0;
        for (std::size_t i = 0; i < count; ++i) {
            HttpRequest request { "POST", "/echo", {}, fmt::format("body {}", i) };
            m_client->call(server(), request, longTimeout, [&, i](HttpResult result) {
                results[i] = std::move(result);
                ++answered;
            });
        }
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_held.size() == count; }));
        for (auto exchange = m_held.rbegin(); exchange != m_held.rend(); ++exchange)
            (*exchange)->respond({ 200, {}, (*exchange)->request().body });
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return answered == count; }));
        for (std::size_t i = 0; i < count; ++i) {
            CPPUNIT_ASSERT(results[i].has_value());
            CPPUNIT_ASSERT_EQUAL(fmt::format("body {}", i), results[i]->body);
        }
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_server->exchangesInFlight() == 0; }));
    }

    void testCallIsNotSentWhenConnectionIsRefused()
    {
        serveHeld();
        const SocketAddress address = server();
        m_server.reset();
        m_loop->runOnce();
        CPPUNIT_ASSERT(HttpErrorKind::NotSent == errorOf(call(address)));
        CPPUNIT_ASSERT(HttpErrorKind::NotSent == errorOf(call({ "not-an-address", 80 })));
    }

    void testCallIsNotSentWhenQueueIsFull()
    {
        serveHeld();
        m_client = makeHttpClient(*m_loop, { 1, 0 });
        m_client->call(server(), {}, longTimeout, [](const HttpResult&) {});
        CPPUNIT_ASSERT(HttpErrorKind::NotSent == errorOf(call(server())));
    }

    void testCallThatTimesOutInQueueIsNotSent()
    {
        serveHeld();
        m_client = makeHttpClient(*m_loop, { 1, 8 });
        m_client->call(server(), {}, longTimeout, [](const HttpResult&) {});
        CPPUNIT_ASSERT(HttpErrorKind::NotSent == errorOf(call(server(), {}, shortTimeout)));
        // The queue must still start calls after a queued call has timed out.
        std::optional<HttpResult> third;
        m_client->call(server(), {}, longTimeout, [&](HttpResult result) { third = std::move(result); });
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_held.size() == 1; }));
        m_held[0]->respond({});
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_held.size() == 2; }));
        m_held[1]->respond({});
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return third.has_value(); }));
        CPPUNIT_ASSERT(third->has_value());
    }

    void testCallToSilentServerTimesOutAndConnectionIsNotReused()
    {
        RawServer silent(*m_loop, {});
        CPPUNIT_ASSERT(HttpErrorKind::TimedOut == errorOf(call(addressOf(silent), {}, answerTimeout)));
        CPPUNIT_ASSERT(HttpErrorKind::TimedOut == errorOf(call(addressOf(silent), {}, answerTimeout)));
        CPPUNIT_ASSERT_EQUAL(2, silent.connections());
    }

    // Guards against one timeout for each connection that was kept, after all of them went silent at once
    // (review/9).
    void testTimeoutClosesIdleConnectionsToTheSameAddress()
    {
        constexpr std::size_t connections = 4;
        std::size_t answered = 0;
        serveHeld();
        for (std::size_t i = 0; i < connections; ++i)
            m_client->call(server(), {}, longTimeout, [&](const HttpResult&) { ++answered; });
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_held.size() == connections; }));
        for (const auto& exchange : m_held)
            exchange->respond({});
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return answered == connections; }));
        CPPUNIT_ASSERT_EQUAL(connections, m_server->openConnections());
        // The server answers no more.
        const TimePoint begin = m_loop->now();
        CPPUNIT_ASSERT(HttpErrorKind::TimedOut == errorOf(call(server(), {}, answerTimeout)));
        m_held.clear();
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return !m_server->openConnections(); }));
        CPPUNIT_ASSERT(m_loop->now() - begin < HttpClientLimits {}.idleTimeout);
    }

    // A daemon that was busy or suspended must not take a host that has answered for silent.
    void testAnswerThatArrivedWhileTheLoopWasBusyIsRead()
    {
        serve([](const std::shared_ptr<HttpExchange>& exchange) {
            exchange->respond({ 200, {}, "in time" });
            // The response is sent by now or in this iteration of the loop. The next one begins after the
            // call's timeout.
            std::this_thread::sleep_for(2 * answerTimeout);
        });
        const HttpResult result = call(server(), {}, answerTimeout);
        CPPUNIT_ASSERT(result);
        CPPUNIT_ASSERT_EQUAL(std::string("in time"), result->body);
    }

    void testCallIsLostAndNotResentWhenConnectionClosesBeforeResponse()
    {
        RawServer closing(*m_loop, { "", true });
        CPPUNIT_ASSERT(HttpErrorKind::Lost == errorOf(call(addressOf(closing))));
        CPPUNIT_ASSERT_EQUAL(1, closing.connections());
    }

    void testInvalidResponsesAreErrors()
    {
        const std::vector<std::pair<std::string, HttpErrorKind>> cases {
            { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", HttpErrorKind::Malformed },
            { "HTTP/1.1 200 OK\r\n\r\nends with the connection", HttpErrorKind::Malformed },
            { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
                HttpErrorKind::Malformed },
            { "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", HttpErrorKind::Malformed },
            { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\n",
                HttpErrorKind::Malformed },
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", HttpErrorKind::Malformed },
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n",
                HttpErrorKind::Malformed },
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
                HttpErrorKind::Malformed },
            { "HTTP/1.1 999 No\r\n\r\n", HttpErrorKind::Malformed },
            { "no http at all\r\n\r\n", HttpErrorKind::Malformed },
            { "HTTP/1.1 200 OK\r\nContent-Length: 8388609\r\n\r\n", HttpErrorKind::TooLarge },
            { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n", HttpErrorKind::TooLarge },
        };
        for (const auto& [answer, expected] : cases) {
            RawServer broken(*m_loop, { answer, true });
            CPPUNIT_ASSERT_MESSAGE(answer, expected == errorOf(call(addressOf(broken))));
        }
    }

    void testChunkedResponseIsRead()
    {
        RawServer chunking(*m_loop,
            { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX: y\r\n\r\n" });
        const HttpResult result = call(addressOf(chunking));
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), result->body);
    }

    void testConnectionClosedWhileIdleIsNotUsed()
    {
        RawServer keeping(*m_loop, { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" });
        CPPUNIT_ASSERT(call(addressOf(keeping)).has_value());
        CPPUNIT_ASSERT(call(addressOf(keeping)).has_value());
        CPPUNIT_ASSERT_EQUAL(1, keeping.connections());
        keeping.closeConnections();
        // At this point, the loop has not reported the close yet.
        CPPUNIT_ASSERT(call(addressOf(keeping)).has_value());
        CPPUNIT_ASSERT_EQUAL(2, keeping.connections());
    }

    void testOversizedRequestBodyIsRefused()
    {
        serveHeld();
        const HttpRequest request { "POST", "/", {}, std::string(maxBodyBytes + 1, 'x') };
        CPPUNIT_ASSERT(HttpErrorKind::NotSent == errorOf(call(server(), request)));
        RawClient raw(
            *m_loop, server().port, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8388609\r\n\r\n");
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return raw.received().starts_with("HTTP/1.1 413"); }));
        CPPUNIT_ASSERT(m_held.empty());
    }

    void testBodyOfMaximumSizeIsSentAndReceived()
    {
        serve([](const std::shared_ptr<HttpExchange>& exchange) {
            exchange->respond({ 200, {}, exchange->request().body });
        });
        const HttpRequest request { "POST", "/", {}, std::string(maxBodyBytes, 'x') };
        const HttpResult result = call(server(), request);
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT(request.body == result->body);
    }

    void testCancelledCallRunsNoCallbackAndClosesConnection()
    {
        serveHeld();
        bool isCalledBack = false;
        bool isClientGone = false;
        const HttpCallId id
            = m_client->call(server(), {}, longTimeout, [&](const HttpResult&) { isCalledBack = true; });
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_held.size() == 1; }));
        m_held[0]->onClientGone([&] { isClientGone = true; });
        m_client->cancel(id);
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return isClientGone; }));
        m_held[0]->respond({});
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_server->exchangesInFlight() == 0; }));
        CPPUNIT_ASSERT(!isCalledBack);
    }

    void testGracefulStopFinishesTheExchangeInFlight()
    {
        serveHeld();
        const SocketAddress address = server();
        RawClient idle(*m_loop, address.port, "");
        std::optional<HttpResult> result;
        m_client->call(address, {}, longTimeout, [&](HttpResult answer) { result = std::move(answer); });
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_held.size() == 1; }));
        m_server->stopAccepting();
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return idle.isClosed(); }));
        CPPUNIT_ASSERT(HttpErrorKind::NotSent == errorOf(call(address)));
        m_held[0]->respond({ 200, { { "X-Kept", "yes" } }, "finished" });
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return result.has_value(); }));
        CPPUNIT_ASSERT(result->has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("finished"), (*result)->body);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), std::string((*result)->header("Connection")));
        CPPUNIT_ASSERT_EQUAL(std::string("yes"), std::string((*result)->header("x-kept")));
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_server->exchangesInFlight() == 0; }));
    }

    void testGracefulStopAnswersPartiallyReceivedRequest()
    {
        serveHeld();
        const SocketAddress address = server();
        // The answer to the first request shows that the server has also read the partial request after it.
        RawClient partial(
            *m_loop, address.port, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHo");
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_held.size() == 1; }));
        m_held[0]->respond({ 200, {}, "first" });
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return partial.received().ends_with("first"); }));
        m_server->stopAccepting();
        CPPUNIT_ASSERT(HttpErrorKind::NotSent == errorOf(call(address)));
        CPPUNIT_ASSERT(!partial.isClosed());
        partial.send("st: a\r\n\r\n");
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_held.size() == 2; }));
        m_held[1]->respond({ 200, {}, "second" });
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return partial.isClosed(); }));
        CPPUNIT_ASSERT(partial.received().ends_with("second"));
    }

    // Guards against connection resets for clients that connect or send their next request while the server
    // stops.
    void testGracefulStopAnswersRequestsSentDuringStop()
    {
        serve([](const std::shared_ptr<HttpExchange>& exchange) {
            exchange->respond({ 200, {}, exchange->request().path });
        });
        RawClient kept(*m_loop, server().port, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return kept.received().ends_with("/first"); }));
        RawClient waiting(*m_loop, server().port, "GET /waiting HTTP/1.1\r\nHost: a\r\n\r\n");
        m_server->stopAccepting();
        kept.send("GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return kept.isClosed() && waiting.isClosed(); }));
        CPPUNIT_ASSERT(kept.received().ends_with("/second"));
        CPPUNIT_ASSERT(waiting.received().ends_with("/waiting"));
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_server->openConnections() == 0; }));
    }

    void testSilentClientIsDisconnected()
    {
        HttpServerLimits limits;
        limits.requestReadTimeout = shortTimeout;
        serve([](const std::shared_ptr<HttpExchange>&) {}, limits);
        RawClient silent(*m_loop, server().port, "");
        RawClient slowHeader(*m_loop, server().port, "POST / HTTP/1.1\r\nHo");
        RawClient slowBody(
            *m_loop, server().port, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab");
        CPPUNIT_ASSERT(runUntil(
            *m_loop, [&] { return silent.isClosed() && slowHeader.isClosed() && slowBody.isClosed(); }));
    }

    void testClientThatDoesNotReadResponseIsDisconnected()
    {
        // The response is larger than the buffers of both sockets, so it cannot be sent until the client
        // reads.
        HttpServerLimits limits;
        limits.responseWriteTimeout = shortTimeout;
        bool isAnswered = false;
        serve(
            [&](const std::shared_ptr<HttpExchange>& exchange) {
                exchange->respond({ 200, {}, std::string(32 * maxBodyBytes, 'x') });
                isAnswered = true;
            },
            limits);
        RawClient nonReading(*m_loop, server().port, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false);
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return isAnswered; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_server->exchangesInFlight());
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_server->exchangesInFlight() == 0; }));
    }

    void testHeadIsAnsweredWithoutBody()
    {
        // A client would take a body after HEAD for the next response on the connection.
        serve([](const std::shared_ptr<HttpExchange>& exchange) { exchange->respond({ 200, {}, "body" }); });
        for (int i = 0; i < 2; ++i) {
            const HttpResult result = call(server(), { "HEAD", "/", {}, "" });
            CPPUNIT_ASSERT(result.has_value() && result->body.empty());
            CPPUNIT_ASSERT_EQUAL(std::string("4"), std::string(result->header("Content-Length")));
        }
        CPPUNIT_ASSERT_EQUAL(std::string("body"), call(server())->body);
    }

    void testDroppedExchangeIsAnsweredWithAnError()
    {
        serve([](const std::shared_ptr<HttpExchange>&) {});
        const HttpResult result = call(server());
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT_EQUAL(500, result->status);
    }

    // Guards against telling a caller that its request has no effect although the handler is at work on it.
    void testDestroyedServerAnswersOpenExchangesWithUnknownOutcome()
    {
        serveHeld();
        std::optional<HttpResult> result;
        m_client->call(server(), {}, longTimeout, [&](HttpResult answer) { result = std::move(answer); });
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return m_held.size() == 1; }));
        m_server.reset();
        m_held[0]->respond({ 200, {}, "too late" });
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return result.has_value(); }));
        CPPUNIT_ASSERT(result->has_value());
        CPPUNIT_ASSERT_EQUAL(504, (*result)->status);
    }

    void testConnectionAboveTheLimitWaitsForAnotherToClose()
    {
        HttpServerLimits limits;
        limits.connections = 1;
        serve(
            [](const std::shared_ptr<HttpExchange>& exchange) {
                exchange->respond({ 200, {}, "answer" });
            },
            limits);
        auto first = std::make_unique<RawClient>(*m_loop, server().port, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return first->received().ends_with("answer"); }));
        const RawClient second(*m_loop, server().port, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(HttpErrorKind::TimedOut == errorOf(call(server(), {}, answerTimeout)));
        CPPUNIT_ASSERT(second.received().empty());
        first.reset();
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return second.received().ends_with("answer"); }));
    }

    void testAddressInUseIsReported()
    {
        serveHeld();
        const auto second = makeHttpServer(*m_loop, server(), [](const std::shared_ptr<HttpExchange>&) {});
        CPPUNIT_ASSERT(!second.has_value());
        CPPUNIT_ASSERT(NetErrorKind::AddressInUse == second.error().kind);
        const auto invalid = makeHttpServer(*m_loop, { "localhost", 0 }, nullptr);
        CPPUNIT_ASSERT(NetErrorKind::InvalidAddress == invalid.error().kind);
    }

    void testHeaderInjectionIsRefused()
    {
        serveHeld();
        const HttpRequest request { "GET", "/", { { "Idempotency-Key", "a\r\nX-Other: b" } }, "" };
        CPPUNIT_ASSERT(HttpErrorKind::NotSent == errorOf(call(server(), request)));
        const HttpRequest path { "GET", "/a b", {}, "" };
        CPPUNIT_ASSERT(HttpErrorKind::NotSent == errorOf(call(server(), path)));
    }

private:
    void serve(HttpHandler handler, HttpServerLimits limits = {})
    {
        auto made = makeHttpServer(*m_loop, { "127.0.0.1", 0 }, std::move(handler), limits);
        CPPUNIT_ASSERT(made.has_value());
        m_server = std::move(*made);
    }

    // Starts a server that keeps its requests in m_held until the test answers them.
    void serveHeld()
    {
        serve([this](std::shared_ptr<HttpExchange> exchange) { m_held.push_back(std::move(exchange)); });
    }

    SocketAddress server() const { return { "127.0.0.1", m_server->port() }; }
    static SocketAddress addressOf(const RawServer& raw) { return { "127.0.0.1", raw.port() }; }

    HttpResult call(
        const SocketAddress& address, HttpRequest request = {}, Milliseconds timeout = longTimeout)
    {
        std::optional<HttpResult> result;
        m_client->call(
            address, std::move(request), timeout, [&](HttpResult answer) { result = std::move(answer); });
        CPPUNIT_ASSERT_MESSAGE("the callback was run inside call()", !result);
        CPPUNIT_ASSERT(runUntil(*m_loop, [&] { return result.has_value(); }));
        return *result;
    }

    static HttpErrorKind errorOf(const HttpResult& result)
    {
        CPPUNIT_ASSERT(!result.has_value());
        return result.error().kind;
    }

    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<HttpClient> m_client;
    std::vector<std::shared_ptr<HttpExchange>> m_held;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

} // namespace anvilmoor::net
