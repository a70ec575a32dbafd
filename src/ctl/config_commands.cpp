#include "configuration/configuration_document.h"
#include "ctl/command.h"
#include "ctl/declaration_files.h"

#include <chrono>
#include <fmt/format.h>
#include <fmt/ostream.h>

namespace anvilmoor::ctl {

namespace {

// Documented limit for a change to be in force at every host.
constexpr Milliseconds inForceTimeout { 3'000 };
constexpr Milliseconds inForcePollInterval { 50 };

struct InForceCount {
    std::size_t hosts = 0;
    std::size_t inForce = 0;
    std::string notYetInForce; // names of reachable hosts with an earlier version
    std::string unreachable;
};

InForceCount countInForce(const nlohmann::json& site, std::uint64_t version)
{
    InForceCount result;
    for (const nlohmann::json& host : site.value("hosts", nlohmann::json::array())) {
        ++result.hosts;
        const std::string name = " " + host.value("host", "-");
        if (!host.value("reachable", false))
            result.unreachable += name;
        else if (host.value("config_version", std::uint64_t { 0 }) >= version)
            ++result.inForce;
        else
            result.notYetInForce += name;
    }
    return result;
}

} // namespace

std::optional<nlohmann::json> Command::readDeclaration(const Words& files)
{
    ConfigurationProblems problems;
    const auto declaration = readDeclarationFiles(files);
    if (!declaration)
        problems = declaration.error();
    if (declaration) {
        const auto checked = readConfiguration(declaration->document);
        if (!checked)
            problems = checked.error();
        for (ConfigurationProblem& problem : problems)
            problem.file = declaration->originOf(problem.field);
        for (const ConfigurationProblem& warning : declaration->warnings)
            fmt::print(m_error, "warning: {}\n", warning.text());
    }
    if (problems.empty())
        return declaration->document;

    if (m_options.isJson) {
        nlohmann::json list = nlohmann::json::array();
        for (const ConfigurationProblem& problem : problems)
            list.push_back(
                { { "file", problem.file }, { "field", problem.field }, { "reason", problem.reason } });
        fmt::print(m_out, "{}\n", nlohmann::json { { "problems", std::move(list) } }.dump());
        return {};
    }
    for (const ConfigurationProblem& problem : problems)
        fmt::print(m_error, "error: {}\n", problem.text());
    return {};
}

ExitCode Command::configCheck(const Words& files)
{
    const std::optional<nlohmann::json> document = readDeclaration(files);
    if (!document)
        return ExitCode::Invalid;
    if (m_options.isJson)
        fmt::print(m_out, "{}\n", nlohmann::json { { "problems", nlohmann::json::array() } }.dump());
    else
        fmt::print(m_out, "ok: {} files, no problems\n", files.size());
    return ExitCode::Ok;
}

ExitCode Command::configShow()
{
    net::HttpRequest request;
    request.path = "/v1/config";
    const auto result = client().call(request, EntryClient::Repeatable::Yes);
    if (!result)
        return fail(result.error());
    fmt::print(m_out, "{}", m_options.isJson ? result->text : result->body.dump(2) + "\n");
    return ExitCode::Ok;
}

ExitCode Command::configApply(const Words& files)
{
    const std::optional<nlohmann::json> document = readDeclaration(files);
    if (!document)
        return ExitCode::Invalid;

    std::uint64_t base = 0;
    if (m_options.baseVersion >= 0) {
        base = static_cast<std::uint64_t>(m_options.baseVersion);
    } else {
        net::HttpRequest request;
        request.path = "/v1/config";
        const auto current = client().call(request, EntryClient::Repeatable::Yes);
        if (!current)
            return fail(current.error());
        base = current->body.value("version", std::uint64_t { 0 });
    }
    net::HttpRequest request;
    request.method = "PUT";
    request.path = "/v1/config";
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = nlohmann::json { { "expected_version", base }, { "document", *document } }.dump();
    // Not resent: if the first copy took effect, a second one would be refused as a conflict with it.
    const auto result = client().call(request, EntryClient::Repeatable::No);
    if (!result)
        return fail(result.error());
    return waitUntilInForce(result->body.value("version", std::uint64_t { 0 }));
}

ExitCode Command::waitUntilInForce(std::uint64_t version)
{
    const auto begin = std::chrono::steady_clock::now();
    InForceCount state;
    Milliseconds elapsed { 0 };
    while (true) {
        net::HttpRequest request;
        // Excludes endpoints: with those of 19,000 workers, the answer would be 1.5 MB.
        request.path = "/v1/site?endpoints=false";
        const auto site = client().call(request, EntryClient::Repeatable::Yes);
        elapsed = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin);
        if (site)
            state = countInForce(site->body, version);
        // Also waits for unreachable hosts, because they may become reachable within the limit.
        const bool isDone = site && state.inForce == state.hosts && state.hosts > 0;
        if (isDone || elapsed >= inForceTimeout)
            break;
        client().wait(inForcePollInterval);
    }
    if (m_options.isJson) {
        const nlohmann::json body { { "version", version }, { "hosts", state.hosts },
            { "in_force", state.inForce }, { "elapsed_ms", elapsed.count() } };
        fmt::print(m_out, "{}\n", body.dump());
    } else {
        fmt::print(m_out, "version {} accepted; in force at {} of {} hosts after {} ms\n", version,
            state.inForce, state.hosts, elapsed.count());
        if (!state.unreachable.empty())
            fmt::print(m_out, "unreachable:{}\n", state.unreachable);
        if (!state.notYetInForce.empty())
            fmt::print(m_out, "not in force yet:{}\n", state.notYetInForce);
    }
    return state.inForce == state.hosts && state.hosts > 0 ? ExitCode::Ok : ExitCode::NotInForce;
}

std::string Command::help()
{
    return R"(anvilmoorctl: operates anvilmoor and submits jobs and requests to it.

Usage: anvilmoorctl [flags] COMMAND

Commands:
  config check BASE [OVERLAY...]   check declarations; nothing is sent
  config apply BASE [OVERLAY...]   check, commit, and wait until in force at every host
  config show                      the configuration in force
  job submit                       needs --account --key --accelerators --run_time
  job status ID                    one job
  job cancel ID                    cancel a job, in any state
  job list                         all jobs, or those of --account
  endpoint drain ENDPOINT          no new calls to <service>@<worker>; --undo cancels the drain
  site status                      hosts, role holders, configuration versions, endpoints
  request send SERVICE OPERATION   needs --account; --key for non-idempotent operations
  request status ACCOUNT KEY       the outcome of an earlier request

Flags:
  --entry=IP:PORT[,IP:PORT...]     entry hosts, tried in order (or ANVILMOOR_ENTRY)
  --output=text|json               json prints one object on standard output
  --timeout_ms=N                   for each call; default 15000
  --base_version=N                 config apply: the version that the change is based on;
                                   default: the version now in force
  --account --key --caller --zone --body --class=guaranteed|borrowed --accelerators=N
  --adjacent=true|false --priority=0..9 --run_time=8h --undo
  --first_copy                     request send: states that no copy was sent before, so that a
                                   refusal can be reported as "not run" instead of "unknown"

Examples:
  anvilmoorctl config check config/drahtwerk/base.toml config/drahtwerk/*-*.toml
  anvilmoorctl --entry=127.0.0.1:7101 --account=huette-donau --key=night-17 --accelerators=32 \
      --class=guaranteed --zone=steyr-north --run_time=8h job submit
  anvilmoorctl --entry=127.0.0.1:7101 --output=json site status

Exit codes:
  0 done   1 refused as invalid   2 wrong usage   3 not found   4 conflict
  5 unavailable, nothing changed   6 unknown, it may have taken effect
  7 accepted, but not yet in force at every host
)";
}

} // namespace anvilmoor::ctl
