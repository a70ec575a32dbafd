#pragma once

#include "net/http.h"

#include <memory>
#include <string>

namespace anvilmoor::standin {

inline void answerJson(net::HttpExchange& exchange, std::string body, int status = 200)
{
    exchange.respond({ status, { { "Content-Type", "application/json" } }, std::move(body) });
}

inline void answerError(net::HttpExchange& exchange, int status, const std::string& detail)
{
    exchange.respond({ status, { { "Content-Type", "text/plain" } }, detail });
}

// Never answers. Keeps the exchange open until the client closes the connection.
inline void leaveUnanswered(const std::shared_ptr<net::HttpExchange>& exchange)
{
    exchange->onClientGone([exchange] {});
}

} // namespace anvilmoor::standin
