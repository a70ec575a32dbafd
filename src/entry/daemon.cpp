#include "entry/daemon.h"

#include "entry/wire_answer.h"
#include "entry/wire_codec.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <chrono>
#include <unistd.h>
#include <utility>
#include <uv.h>

namespace anvilmoor::entry {

namespace {

constexpr Milliseconds hostListInterval { 1'000 };
// Maximum time after StopProcess to send answers to their callers.
constexpr Milliseconds flushTimeout { 2'000 };
constexpr Milliseconds flushCheckInterval { 5 };
const std::string stoppingReason = "this host is stopping; try again, another host will answer";

WallTime wallTimeNow() { return std::chrono::floor<Milliseconds>(std::chrono::system_clock::now()); }

net::HttpResponse textResponse(int status, std::string body)
{
    net::HttpResponse response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4; charset=utf-8" });
    response.body = std::move(body);
    return response;
}

double seconds(const uv_timeval_t& time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

} // namespace

Daemon::Daemon(net::EventLoop& loop, DaemonOptions options, std::unique_ptr<DecisionEngine> engine)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_engine(std::move(engine))
    , m_random(m_options.seed)
    , m_log({ m_options.settings.host.value(), m_options.settings.zone.value(), getpid() },
          m_options.logLevel, { wallTimeNow, [&loop] { return loop.now(); } })
    , m_addresses(m_options.workers)
    , m_events(loop, [this](EventPayload payload) { consume(std::move(payload)); })
    , m_callers([this](CallerHandle caller) { m_events.push(CallerGone { caller }); })
    , m_tickTimer(loop)
    , m_hostListTimer(loop)
    , m_stopTimer(loop)
{
}

Daemon::~Daemon()
{
    // The server is destroyed first: it answers the open exchanges, and no callback can then use a partly
    // destroyed daemon.
    m_server.reset();
    m_executor.reset();
}

tl::expected<std::unique_ptr<Daemon>, net::NetError> Daemon::open(net::EventLoop& loop,
    peer::KjUvEventPort& port, DaemonOptions options, std::unique_ptr<DecisionEngine> engine)
{
    std::unique_ptr<Daemon> daemon(new Daemon(loop, std::move(options), std::move(engine)));
    if (auto started = daemon->start(port); !started)
        return tl::unexpected(started.error());
    return daemon;
}

tl::expected<void, net::NetError> Daemon::start(peer::KjUvEventPort& port)
{
    m_client = net::makeHttpClient(m_loop);
    m_table = clients::makeTableClient(*m_client, m_options.platform);
    m_objects = clients::makeObjectClient(*m_client, m_options.platform);
    m_hostList = clients::makeHostListClient(*m_client, m_options.platform);
    m_workers = clients::makeWorkerClient(*m_client);
    m_endpoints = clients::makeEndpointClient(*m_client);

    peer::PeerNetworkOptions peerOptions;
    peerOptions.host = m_options.settings.host;
    peerOptions.listen = m_options.peerListen;
    peerOptions.seed = m_random();
    auto peers = peer::RpcPeerNetwork::open(m_loop, port, std::move(peerOptions),
        { [this](const HostId& from, PeerMessage message) {
             m_events.pushUnlessFull(PeerMessageReceived { from, std::move(message) });
         },
            [this](const HostId& lost) { m_events.push(PeerLost { lost }); } });
    if (!peers)
        return tl::unexpected(peers.error());
    m_peers = std::move(*peers);

    auto server = net::makeHttpServer(m_loop, m_options.listen,
        [this](std::shared_ptr<net::HttpExchange> exchange) { serve(std::move(exchange)); });
    if (!server)
        return tl::unexpected(server.error());
    m_server = std::move(*server);

    m_executor.emplace(executorDependencies());
    m_log.log(telemetry::LogLevel::Info, "process.started", {});
    m_peers->connect(m_options.peers);
    m_events.push(Started {});
    m_tickTimer.startRepeating(tickInterval, [this] {
        // Queues at most one tick, so that ticks do not accumulate in a daemon that falls behind.
        if (!std::exchange(m_isTickQueued, true))
            m_events.push(Tick {});
    });
    m_hostListTimer.startRepeating(hostListInterval, [this] { pollHosts(); });
    pollHosts();
    return {};
}

ExecutorDependencies Daemon::executorDependencies()
{
    return { *m_table, *m_objects, *m_workers, *m_endpoints, *m_peers, m_events, m_callers, m_addresses,
        m_log, m_metrics, [this] { return m_loop.now(); }, [this](bool isReady) { m_isReady = isReady; },
        [this] { adoptConfiguration(); }, [this] { stop(); } };
}

void Daemon::requestShutdown() { m_events.push(ShutdownRequested {}); }

void Daemon::consume(EventPayload payload)
{
    if (m_isStopping) {
        rejectUnapplied(payload);
        return;
    }
    Event event;
    event.now = m_loop.now();
    event.wallTime = wallTimeNow();
    event.localTime = m_localTime.secondOfWeek(event.wallTime);
    event.random = m_random();
    event.payload = std::move(payload);
    if (std::holds_alternative<Tick>(event.payload))
        m_isTickQueued = false;
    m_effects.clear();
    m_engine->apply(event, m_effects);
    ++m_eventsApplied;
    m_effectsExecuted += m_effects.size();
    for (const Effect& effect : m_effects)
        m_executor->execute(effect);
}

// Answers the caller of an event that was queued when the daemon stopped. The reducer never received the
// event, so nothing has run on this host.
void Daemon::rejectUnapplied(const EventPayload& payload)
{
    const std::optional<CallerHandle> caller = std::visit(
        [](const auto& event) -> std::optional<CallerHandle> {
            if constexpr (requires { event.caller; })
                return event.caller;
            return {};
        },
        payload);
    if (!caller)
        return;
    if (const std::optional<WaitingCallers::Entry> entry = m_callers.take(*caller))
        reject(payload, *entry, stoppingReason);
}

void Daemon::reject(const EventPayload& event, const WaitingCallers::Entry& entry, const std::string& reason)
{
    const auto* request = std::get_if<RequestReceived>(&event);
    entry.exchange->respond(request ? encodeAnswer(rejectionAnswer(*request, reason), entry.identity)
                                    : encodeError({ 503, reason, {} }));
}

void Daemon::serve(std::shared_ptr<net::HttpExchange> exchange)
{
    if (servePage(exchange->request(), *exchange))
        return;
    const CallerHandle caller = m_callers.nextHandle();
    auto event = decodeCall(exchange->request(), caller);
    if (!event) {
        m_metrics.counter("anvilmoor_bad_requests_total", "HTTP requests that were refused as malformed.")
            .add();
        exchange->respond(encodeError(event.error()));
        return;
    }
    admit(std::move(*event), caller, std::move(exchange));
}

bool Daemon::servePage(const net::HttpRequest& request, net::HttpExchange& exchange)
{
    const std::string path = request.path.substr(0, request.path.find('?'));
    if (path != "/metrics" && path != "/healthz" && path != "/readyz")
        return false;
    if (request.method != "GET" && request.method != "HEAD")
        exchange.respond(encodeError({ 405, "this path allows GET", "GET" }));
    else if (path == "/metrics")
        exchange.respond(textResponse(200, metricsPage()));
    else if (path == "/healthz")
        exchange.respond(textResponse(200, "ok\n"));
    else
        exchange.respond(
            m_isReady && !m_isStopping ? textResponse(200, "ready\n") : textResponse(503, "not ready\n"));
    return true;
}

void Daemon::admit(EventPayload event, CallerHandle caller, std::shared_ptr<net::HttpExchange> exchange)
{
    WaitingCallers::Entry entry;
    entry.exchange = std::move(exchange);
    entry.since = m_loop.now();
    entry.bytes = entry.exchange->request().body.size();
    if (const auto* request = std::get_if<RequestReceived>(&event)) {
        entry.isRequest = true;
        entry.identity = request->identity;
    } else if (const auto* query = std::get_if<RequestQueried>(&event)) {
        entry.isRequest = true;
        entry.identity = query->identity;
    }
    if (m_isStopping || m_callers.isFull()) {
        const std::string reason
            = m_isStopping ? stoppingReason : "too many requests are waiting at this host; try again later";
        reject(event, entry, reason);
        return;
    }
    m_callers.add(caller, std::move(entry));
    m_events.push(std::move(event));
}

void Daemon::updateTraffic(const std::string& kind, const net::Traffic& traffic)
{
    const auto raise = [&](const char* name, const char* help, const char* direction, std::uint64_t total) {
        m_metrics.counter(name, help, { { "kind", kind }, { "direction", direction } }).raiseTo(total);
    };
    const char* messages = "anvilmoor_messages_total";
    const char* messagesHelp = "Messages to and from other systems, by kind.";
    raise(messages, messagesHelp, "sent", traffic.messagesSent);
    raise(messages, messagesHelp, "received", traffic.messagesReceived);
    const char* bytes = "anvilmoor_message_bytes_total";
    const char* bytesHelp = "Bytes of these messages, with their headers but without those of TCP.";
    raise(bytes, bytesHelp, "sent", traffic.bytesSent);
    raise(bytes, bytesHelp, "received", traffic.bytesReceived);
}

std::string Daemon::metricsPage()
{
    for (const auto& [kind, traffic] : m_client->traffic())
        updateTraffic(std::string(kind), traffic);
    updateTraffic("peer", m_peers->traffic());
    m_metrics.counter("anvilmoor_events_applied_total", "Events given to the reducer.")
        .raiseTo(m_eventsApplied);
    m_metrics.counter("anvilmoor_effects_executed_total", "Effects carried out.").raiseTo(m_effectsExecuted);
    m_metrics
        .counter("anvilmoor_events_dropped_total", "Peer messages dropped because too many events waited.")
        .raiseTo(m_events.dropped());
    m_metrics.counter("anvilmoor_peer_messages_dropped_total", "Messages to peers that were not connected.")
        .raiseTo(m_peers->messagesDropped());
    m_metrics.counter("anvilmoor_peer_connections_lost_total", "Connections to peers that were lost.")
        .raiseTo(m_peers->connectionsLost());
    m_metrics.gauge("anvilmoor_peers_connected", "Peers to which a connection is open.")
        .set(static_cast<double>(m_peers->connectedPeers()));
    m_metrics.gauge("anvilmoor_waiting_callers", "HTTP calls that wait for an answer.")
        .set(static_cast<double>(m_callers.size()));
    m_metrics.gauge("anvilmoor_waiting_events", "Events that wait for the reducer.")
        .set(static_cast<double>(m_events.size()));
    m_metrics.gauge("anvilmoor_ready", "1 if this daemon is ready.").set(m_isReady ? 1 : 0);
    const Configuration* configuration = m_engine->configuration();
    m_metrics.gauge("anvilmoor_configuration_version", "Version of the configuration in force.")
        .set(configuration ? static_cast<double>(configuration->version) : 0);
    uv_rusage_t usage {};
    if (uv_getrusage(&usage) == 0)
        m_metrics.gauge("process_cpu_seconds_total", "Processor time of the process.")
            .set(seconds(usage.ru_utime) + seconds(usage.ru_stime));
    std::size_t resident = 0;
    if (uv_resident_set_memory(&resident) == 0)
        m_metrics.gauge("process_resident_memory_bytes", "Resident memory of the process.")
            .set(static_cast<double>(resident));
    return m_metrics.page();
}

void Daemon::pollHosts()
{
    if (std::exchange(m_isPollingHosts, true))
        return;
    m_hostList->fetch([this](clients::HostListResult result) {
        m_isPollingHosts = false;
        if (result)
            m_events.push(HostListReceived { std::move(*result) });
        else
            m_events.push(HostListFailed {});
    });
}

void Daemon::adoptConfiguration()
{
    const Configuration* configuration = m_engine->configuration();
    if (!configuration)
        return;
    m_addresses.adopt(*configuration);
    const auto* zone = configuration->findZone(m_options.settings.zone);
    if (!zone)
        m_log.log(telemetry::LogLevel::Warning, "configuration.zone_missing",
            { { "detail", "the configuration does not contain this daemon's zone" } });
    else if (!m_localTime.setTimeZone(zone->timeZone))
        m_log.log(telemetry::LogLevel::Error, "configuration.time_zone_unknown",
            { { "time_zone", zone->timeZone },
                { "detail", "lesson hours still use the previous time zone" } });
}

void Daemon::stop()
{
    if (std::exchange(m_isStopping, true))
        return;
    m_isReady = false;
    m_tickTimer.stop();
    m_hostListTimer.stop();
    m_stopDeadline = m_loop.now() + flushTimeout;
    m_server->stopAccepting();
    // The effects after StopProcess may include answers, so the remaining callers are answered later, from
    // the event loop.
    m_stopTimer.startRepeating(flushCheckInterval, [this] { finishStop(); });
}

void Daemon::answerRemainingCallers()
{
    // The reducer did not answer these callers, and the daemon does not know whether their requests ran.
    while (auto caller = m_callers.takeAny()) {
        RequestAnswer answer;
        answer.reason = "this host stopped before the outcome was known";
        caller->exchange->respond(caller->isRequest
                ? encodeAnswer(answer, caller->identity)
                : encodeOperatorAnswer({ 0, Refusal { RefusalKind::Unknown, { answer.reason } } }));
    }
}

void Daemon::finishStop()
{
    // While events are queued, consume() answers their callers: those requests are known not to have run
    // here.
    if (m_events.size() == 0)
        answerRemainingCallers();
    const bool isServing = m_server->exchangesInFlight() > 0 || m_server->openConnections() > 0;
    if (isServing && m_loop.now() < m_stopDeadline)
        return;
    m_stopTimer.stop();
    m_log.log(telemetry::LogLevel::Info, "process.stopped",
        { { "exchanges_cut", std::to_string(m_server->exchangesInFlight()) } });
    m_loop.stop();
}

} // namespace anvilmoor::entry
