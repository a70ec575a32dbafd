#include "ctl/entry_client.h"

#include "net/http_client.h"

#include <fmt/format.h>
#include <optional>

namespace anvilmoor::ctl {

namespace {

ExitCode exitCodeOf(int status)
{
    switch (status) {
    case 404:
        return ExitCode::NotFound;
    case 409:
        return ExitCode::Conflict;
    case 503:
        return ExitCode::Unavailable;
    case 504:
        return ExitCode::Unknown;
    default:
        return status >= 500 ? ExitCode::Unknown : ExitCode::Invalid;
    }
}

std::vector<std::string> reasonsOf(const nlohmann::json& body, const std::string& text)
{
    std::vector<std::string> reasons;
    if (body.is_object() && body.contains("reasons") && body["reasons"].is_array()) {
        for (const nlohmann::json& reason : body["reasons"])
            reasons.push_back(reason.is_string() ? reason.get<std::string>() : reason.dump());
    } else if (body.is_object() && body.contains("reason") && body["reason"].is_string()) {
        reasons.push_back(body["reason"].get<std::string>());
    } else if (!text.empty()) {
        reasons.push_back(text);
    }
    return reasons;
}

} // namespace

EntryClient::EntryClient(std::vector<net::SocketAddress> entries, Milliseconds timeout)
    : m_entries(std::move(entries))
    , m_timeout(timeout)
    , m_client(net::makeHttpClient(m_loop))
{
}

EntryClient::~EntryClient() = default;

net::HttpResult EntryClient::callOne(const net::SocketAddress& address, const net::HttpRequest& request)
{
    std::optional<net::HttpResult> result;
    m_client->call(
        address, request, m_timeout, [&result](net::HttpResult answer) { result = std::move(answer); });
    while (!result)
        m_loop.runOnce();
    return std::move(*result);
}

void EntryClient::wait(Milliseconds duration)
{
    bool hasElapsed = false;
    net::Timer timer(m_loop);
    timer.startOnce(duration, [&hasElapsed] { hasElapsed = true; });
    while (!hasElapsed)
        m_loop.runOnce();
}

tl::expected<CallResult, CallError> EntryClient::call(const net::HttpRequest& request, Repeatable repeatable)
{
    CallError error;
    for (const net::SocketAddress& address : m_entries) {
        net::HttpResult result = callOne(address, request);
        if (!result) {
            const bool isNotSent = result.error().kind == net::HttpErrorKind::NotSent;
            error.code
                = isNotSent && error.code != ExitCode::Unknown ? ExitCode::Unavailable : ExitCode::Unknown;
            error.reasons.push_back(
                fmt::format("{}:{}: {}", address.ip, address.port, result.error().detail));
            if (isNotSent || repeatable == Repeatable::Yes)
                continue;
            return tl::unexpected(std::move(error));
        }
        CallResult answer;
        answer.status = result->status;
        answer.text = result->body;
        answer.outcome = std::string(result->header("Anvilmoor-Outcome"));
        answer.isFromRecord = result->header("Anvilmoor-From-Record") == "true";
        answer.body = nlohmann::json::parse(answer.text, nullptr, false);
        if (answer.status >= 200 && answer.status < 300)
            return answer;
        return tl::unexpected(CallError { exitCodeOf(answer.status), reasonsOf(answer.body, answer.text) });
    }
    return tl::unexpected(std::move(error));
}

} // namespace anvilmoor::ctl
