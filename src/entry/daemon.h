#pragma once

#include "clients/host_list_client.h"
#include "core/views.h"
#include "entry/address_book.h"
#include "entry/decision_engine.h"
#include "entry/effect_executor.h"
#include "entry/event_queue.h"
#include "entry/local_time.h"
#include "entry/waiting_callers.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "net/net_error.h"
#include "peer/rpc_peer_network.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace anvilmoor::entry {

struct DaemonOptions {
    DaemonSettings settings;
    net::SocketAddress listen; // for HTTP; port 0 selects any free port
    net::SocketAddress peerListen;
    std::vector<peer::PeerAddress> peers; // without this daemon
    net::SocketAddress platform;
    AddressBook::ZoneAddresses workers;
    std::uint64_t seed = 0; // of the random values in events
    telemetry::LogLevel logLevel = telemetry::LogLevel::Info;
};

// An entry daemon on an event loop. Passes events to the engine, executes the resulting effects and serves
// HTTP.
class Daemon {
public:
    // Opens the listening sockets and starts the daemon.
    static tl::expected<std::unique_ptr<Daemon>, net::NetError> open(
        net::EventLoop&, peer::KjUvEventPort&, DaemonOptions, std::unique_ptr<DecisionEngine>);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    std::uint16_t port() const { return m_server->port(); }
    std::uint16_t peerPort() const { return m_peers->port(); }
    // Starts the graceful shutdown, which stops the loop at its end.
    void requestShutdown();
    telemetry::EventLog& log() { return m_log; }

private:
    Daemon(net::EventLoop&, DaemonOptions, std::unique_ptr<DecisionEngine>);
    tl::expected<void, net::NetError> start(peer::KjUvEventPort&);
    ExecutorDependencies executorDependencies();

    void consume(EventPayload);
    void rejectUnapplied(const EventPayload&);
    static void reject(const EventPayload&, const WaitingCallers::Entry&, const std::string& reason);
    void serve(std::shared_ptr<net::HttpExchange>);
    bool servePage(const net::HttpRequest&, net::HttpExchange&);
    void admit(EventPayload, CallerHandle, std::shared_ptr<net::HttpExchange>);
    std::string metricsPage();
    void updateTraffic(const std::string& kind, const net::Traffic&);
    void pollHosts();
    void adoptConfiguration();
    void stop();
    void answerRemainingCallers();
    void finishStop();

    net::EventLoop& m_loop;
    DaemonOptions m_options;
    std::unique_ptr<DecisionEngine> m_engine;
    std::mt19937_64 m_random;
    LocalTime m_localTime;
    telemetry::EventLog m_log;
    telemetry::MetricsRegistry m_metrics;
    AddressBook m_addresses;
    EventQueue m_events;
    WaitingCallers m_callers;
    std::vector<Effect> m_effects; // of the current event; a member so that its memory is reused

    std::unique_ptr<net::HttpClient> m_client;
    std::unique_ptr<clients::TableClient> m_table;
    std::unique_ptr<clients::ObjectClient> m_objects;
    std::unique_ptr<clients::HostListClient> m_hostList;
    std::unique_ptr<clients::WorkerClient> m_workers;
    std::unique_ptr<clients::EndpointClient> m_endpoints;
    std::unique_ptr<peer::RpcPeerNetwork> m_peers;
    std::optional<EffectExecutor> m_executor;
    std::unique_ptr<net::HttpServer> m_server;

    net::Timer m_tickTimer;
    net::Timer m_hostListTimer;
    net::Timer m_stopTimer;
    TimePoint m_stopDeadline {};
    bool m_isPollingHosts = false;
    bool m_isTickQueued = false;
    bool m_isReady = false;
    bool m_isStopping = false;
    std::uint64_t m_eventsApplied = 0;
    std::uint64_t m_effectsExecuted = 0;
};

} // namespace anvilmoor::entry
