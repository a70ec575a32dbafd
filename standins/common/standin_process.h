#pragma once

#include "anvilmoor/time.h"
#include "common/log_line.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/socket_address.h"

#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace anvilmoor::standin {

// Exchanges that are still open this long after SIGTERM are answered with 503.
constexpr Milliseconds stopTimeout { 1'000 };
constexpr Milliseconds stopCheckInterval { 20 };

// Serves until SIGTERM or SIGINT. Returns the exit code of the process.
inline int serveUntilStopped(
    net::EventLoop& loop, std::string_view program, const std::string& listen, net::HttpHandler handler)
{
    const auto address = net::parseSocketAddress(listen);
    if (!address) {
        logLine("invalid_flag", { { "flag", "listen" }, { "detail", "must be IP:PORT, got " + listen } });
        return 2;
    }
    auto server = net::makeHttpServer(loop, *address, std::move(handler));
    if (!server) {
        logLine("listen_failed", { { "detail", server.error().detail } });
        return 1;
    }
    net::Timer stopCheck(loop);
    TimePoint stopBy {};
    const auto stop = [&] {
        (*server)->stopAccepting();
        stopBy = loop.now() + stopTimeout;
        stopCheck.startRepeating(stopCheckInterval, [&] {
            const bool isServing = (*server)->exchangesInFlight() || (*server)->openConnections();
            if (!isServing || loop.now() >= stopBy)
                loop.stop();
        });
    };
    const net::SignalWatcher terminated(loop, SIGTERM, stop);
    const net::SignalWatcher interrupted(loop, SIGINT, stop);
    logLine("listening", { { "program", program }, { "ip", address->ip }, { "port", (*server)->port() } });
    loop.run();
    logLine("stopped", { { "program", program } });
    return 0;
}

} // namespace anvilmoor::standin
