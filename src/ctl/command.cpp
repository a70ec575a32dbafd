#include "ctl/command.h"

#include "configuration/duration.h"
#include "net/url_path.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ostream.h>
#include <map>

namespace anvilmoor::ctl {

namespace {

std::string jobLine(const nlohmann::json& job)
{
    const auto text = [&job](const char* key) {
        const auto found = job.find(key);
        if (found == job.end())
            return std::string("-");
        return found->is_string() ? found->get<std::string>() : found->dump();
    };
    std::string line = fmt::format("{}  {:<9}  {:<10}  {:>3} accelerators  account {}  attempt {}",
        text("id"), text("state"), text("class"), text("accelerators"), text("account"), text("attempt"));
    if (text("reason") != "-" && !text("reason").empty())
        line += "  (" + text("reason") + ")";
    return line;
}

std::string memberLines(const nlohmann::json& job)
{
    std::string lines;
    if (!job.contains("members") || !job["members"].is_array())
        return lines;
    for (const nlohmann::json& member : job["members"]) {
        if (member.is_object())
            lines += fmt::format("  {}: {}\n", member.value("worker", "-"), member.value("accelerators", 0));
    }
    return lines;
}

net::HttpRequest makeRequest(std::string method, std::string path, std::string body = {})
{
    net::HttpRequest request;
    request.method = std::move(method);
    request.path = std::move(path);
    if (!body.empty())
        request.headers.push_back({ "Content-Type", "application/json" });
    request.body = std::move(body);
    return request;
}

} // namespace

Command::Command(const Options& options, std::ostream& out, std::ostream& error)
    : m_options(options)
    , m_out(out)
    , m_error(error)
{
}

EntryClient& Command::client()
{
    if (!m_client)
        m_client = std::make_unique<EntryClient>(m_options.entries, m_options.timeout);
    return *m_client;
}

ExitCode Command::usageError(const std::string& text)
{
    fmt::print(m_error, "anvilmoorctl: {}\nRun 'anvilmoorctl --help' for the commands.\n", text);
    return ExitCode::Usage;
}

ExitCode Command::fail(const CallError& error)
{
    if (m_options.isJson) {
        const nlohmann::json body { { "exit_code", static_cast<int>(error.code) },
            { "reasons", error.reasons } };
        fmt::print(m_out, "{}\n", body.dump());
        return error.code;
    }
    for (const std::string& reason : error.reasons)
        fmt::print(m_error, "anvilmoorctl: {}\n", reason);
    if (error.code == ExitCode::Unavailable)
        fmt::print(m_error, "Nothing was changed. It is safe to try again.\n");
    if (error.code == ExitCode::Unknown)
        fmt::print(m_error, "The call may have taken effect. Check the state before trying again.\n");
    return error.code;
}

ExitCode Command::run(const std::vector<std::string>& words)
{
    if (words.empty())
        return usageError("no command was given");
    const std::string name = words.size() > 1 ? words[0] + " " + words[1] : words[0];
    const Words operands(words.begin() + std::min<std::ptrdiff_t>(2, std::ssize(words)), words.end());

    struct Entry {
        std::function<ExitCode()> run;
        std::size_t minOperands;
        std::size_t maxOperands;
        bool needsEntry;
    };
    constexpr std::size_t maxFiles = 1'000;
    const std::map<std::string, Entry> commands {
        { "config check", { [&] { return configCheck(operands); }, 1, maxFiles, false } },
        { "config apply", { [&] { return configApply(operands); }, 1, maxFiles, true } },
        { "config show", { [&] { return configShow(); }, 0, 0, true } },
        { "job submit", { [&] { return jobSubmit(); }, 0, 0, true } },
        { "job status", { [&] { return jobStatus(operands); }, 1, 1, true } },
        { "job cancel", { [&] { return jobCancel(operands); }, 1, 1, true } },
        { "job list", { [&] { return jobList(); }, 0, 0, true } },
        { "endpoint drain", { [&] { return endpointDrain(operands); }, 1, 1, true } },
        { "site status", { [&] { return siteStatus(); }, 0, 0, true } },
        { "request send", { [&] { return requestSend(operands); }, 2, 2, true } },
        { "request status", { [&] { return requestStatus(operands); }, 2, 2, true } },
    };
    const auto found = commands.find(name);
    if (found == commands.end())
        return usageError(fmt::format("there is no command \"{}\"", name));
    const Entry& entry = found->second;
    if (operands.size() < entry.minOperands || operands.size() > entry.maxOperands)
        return usageError(fmt::format("\"{}\" got {} operands", name, operands.size()));
    if (entry.needsEntry && m_options.entries.empty())
        return usageError("no entry host was given; set --entry=IP:PORT or ANVILMOOR_ENTRY");
    return entry.run();
}

// --- jobs

ExitCode Command::printJob(const tl::expected<CallResult, CallError>& result)
{
    if (!result)
        return fail(result.error());
    if (m_options.isJson)
        fmt::print(m_out, "{}", result->text);
    else if (result->body.is_object())
        fmt::print(m_out, "{}\n{}", jobLine(result->body), memberLines(result->body));
    return ExitCode::Ok;
}

ExitCode Command::jobSubmit()
{
    if (m_options.account.empty() || m_options.key.empty() || m_options.accelerators <= 0)
        return usageError("job submit needs --account, --key and --accelerators");
    nlohmann::json job { { "account", m_options.account }, { "key", m_options.key },
        { "class", m_options.jobClass }, { "accelerators", m_options.accelerators },
        { "adjacent", m_options.isAdjacent }, { "priority", m_options.priority } };
    if (!m_options.zone.empty())
        job["zone"] = m_options.zone;
    const std::optional<Milliseconds> runTime = parseDuration(m_options.runTime);
    if (!runTime || runTime->count() == 0)
        return usageError("job submit needs --run_time with a unit, such as 90s, 30m or 8h");
    job["run_ms"] = runTime->count();
    // Safe to resend: the idempotency key prevents a second job.
    return printJob(client().call(makeRequest("POST", "/v1/jobs", job.dump()), EntryClient::Repeatable::Yes));
}

ExitCode Command::jobStatus(const Words& ids)
{
    return printJob(client().call(
        makeRequest("GET", "/v1/jobs/" + net::encodePathSegment(ids.front())), EntryClient::Repeatable::Yes));
}

ExitCode Command::jobCancel(const Words& ids)
{
    return printJob(client().call(makeRequest("DELETE", "/v1/jobs/" + net::encodePathSegment(ids.front())),
        EntryClient::Repeatable::Yes));
}

ExitCode Command::jobList()
{
    std::string path = "/v1/jobs";
    if (!m_options.account.empty())
        path += "?account=" + net::encodePathSegment(m_options.account);
    const auto result = client().call(makeRequest("GET", path), EntryClient::Repeatable::Yes);
    if (!result)
        return fail(result.error());
    if (m_options.isJson) {
        fmt::print(m_out, "{}", result->text);
        return ExitCode::Ok;
    }
    for (const nlohmann::json& job : result->body.value("jobs", nlohmann::json::array()))
        fmt::print(m_out, "{}\n", jobLine(job));
    return ExitCode::Ok;
}

// --- endpoints and site

ExitCode Command::endpointDrain(const Words& endpoints)
{
    const std::string path = "/v1/endpoints/" + net::encodePathSegment(endpoints.front()) + "/drain";
    const auto result = client().call(
        makeRequest(m_options.isDrainCancelled ? "DELETE" : "POST", path), EntryClient::Repeatable::Yes);
    if (!result)
        return fail(result.error());
    if (m_options.isJson)
        fmt::print(m_out, "{}", result->text);
    else
        fmt::print(m_out, "{}: {}\n", endpoints.front(),
            m_options.isDrainCancelled ? "accepts calls again" : "is draining");
    return ExitCode::Ok;
}

ExitCode Command::siteStatus()
{
    const auto result = client().call(makeRequest("GET", "/v1/site"), EntryClient::Repeatable::Yes);
    if (!result)
        return fail(result.error());
    if (m_options.isJson) {
        fmt::print(m_out, "{}", result->text);
        return ExitCode::Ok;
    }
    const nlohmann::json& site = result->body;
    fmt::print(
        m_out, "{:<24} {:<16} {:<12} {:<8} {:>7}  role\n", "host", "zone", "reachable", "ready", "config");
    for (const nlohmann::json& host : site.value("hosts", nlohmann::json::array())) {
        const std::uint64_t token = host.value("held_token", std::uint64_t { 0 });
        std::string role = token ? fmt::format("holder, token {}", token) : "";
        if (host.contains("summary"))
            role += fmt::format(", {} free, largest shape {}, {} queued, {} running",
                host["summary"].value("free_accelerators", 0), host["summary"].value("largest_free_shape", 0),
                host["summary"].value("queued_jobs", 0), host["summary"].value("running_tasks", 0));
        fmt::print(m_out, "{:<24} {:<16} {:<12} {:<8} {:>7}  {}\n", host.value("host", "-"),
            host.value("zone", "-"), host.value("reachable", false) ? "yes" : "UNREACHABLE",
            host.value("ready", false) ? "yes" : "no", host.value("config_version", std::uint64_t { 0 }),
            role);
    }
    std::map<std::string, int> states;
    for (const nlohmann::json& endpoint : site.value("endpoints", nlohmann::json::array()))
        ++states[endpoint.value("state", "-")];
    fmt::print(m_out, "endpoints:");
    for (const auto& [state, count] : states)
        fmt::print(m_out, " {} {}", count, state);
    fmt::print(m_out, "\n");
    if (site.value("noise_limit_db", 0.0) > 0)
        fmt::print(m_out, "noise: {:.1f} dB, limit {:.1f} dB\n", site.value("noise_db", 0.0),
            site.value("noise_limit_db", 0.0));
    return ExitCode::Ok;
}

// --- requests

ExitCode Command::requestSend(const Words& operands)
{
    if (m_options.account.empty())
        return usageError("request send needs --account");
    net::HttpRequest request = makeRequest("POST",
        fmt::format(
            "/v1/services/{}/{}", net::encodePathSegment(operands[0]), net::encodePathSegment(operands[1])),
        m_options.body);
    request.headers.push_back({ "Anvilmoor-Account", m_options.account });
    if (!m_options.caller.empty())
        request.headers.push_back({ "Anvilmoor-Caller", m_options.caller });
    if (!m_options.key.empty())
        request.headers.push_back({ "Idempotency-Key", m_options.key });
    if (m_options.isFirstCopy)
        request.headers.push_back({ "Anvilmoor-First-Copy", "true" });
    const auto now = std::chrono::floor<Milliseconds>(std::chrono::system_clock::now());
    request.headers.push_back({ "Anvilmoor-Issued-At", std::to_string(now.time_since_epoch().count()) });

    const auto result = client().call(request, EntryClient::Repeatable::No);
    if (!result)
        return fail(result.error());
    fmt::print(m_out, "{}\n", result->text);
    if (!m_options.isJson)
        fmt::print(m_error, "outcome: {}{}\n", result->outcome,
            result->isFromRecord ? ", from the record of an earlier copy" : "");
    return ExitCode::Ok;
}

ExitCode Command::requestStatus(const Words& operands)
{
    const std::string path = fmt::format(
        "/v1/requests/{}/{}", net::encodePathSegment(operands[0]), net::encodePathSegment(operands[1]));
    const auto result = client().call(makeRequest("GET", path), EntryClient::Repeatable::Yes);
    if (!result)
        return fail(result.error());
    fmt::print(m_out, "{}\n", result->text);
    return ExitCode::Ok;
}

} // namespace anvilmoor::ctl
