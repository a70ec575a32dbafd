#include "support/process_driver.h"

#include "net/http_client.h"

#include <chrono>
#include <cppunit/TestAssert.h>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <utility>

extern "C" char** environ;

namespace anvilmoor::testing {

namespace {

using nlohmann::json;

constexpr Milliseconds waitTimeout { 60'000 };
constexpr Milliseconds pollInterval { 20 };
constexpr Milliseconds callTimeout { 30'000 };

std::string programPath(const std::string& name) { return std::string(ANVILMOOR_PROGRAM_DIR) + "/" + name; }

std::string loopback(std::uint16_t port) { return fmt::format("127.0.0.1:{}", port); }

std::string zoneOf(const std::string& daemon) { return daemon.substr(0, daemon.find('-')); }

std::string declaration(int workersPerRack, int quota)
{
    std::string text = fmt::format(R"(deployment = "process-test"
[worker]
cores = 8
memory_gb = 16
accelerators = 8
idle_db = 30.0
accelerator_db = 30.0
throttled_accelerator_db = 28.0
[room]
limit_db = 80.0
lesson_hours = []
[services.planning]
slots_per_endpoint = 8
connections_per_endpoint = 64
[services.planning.operations.quote]
idempotent = true
priority = 5
deadline = "20s"
[services.planning.operations.booking]
idempotent = false
priority = 5
deadline = "20s"
[accounts.mill]
share = 1.0
accelerator_quota = {}
)",
        quota);
    for (const char* zone : { "north", "south" })
        text += fmt::format(R"([zones.{0}]
region = "valley"
time_zone = "UTC"
racks = [{{ id = "{0}-r1", workers = {1} }}, {{ id = "{0}-r2", workers = {1} }}]
)",
            zone, workersPerRack);
    return text;
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, std::string logPath)
    : m_logPath(std::move(logPath))
{
    std::vector<char*> raw;
    raw.reserve(arguments.size() + 1);
    for (const std::string& argument : arguments)
        raw.push_back(const_cast<char*>(argument.c_str()));
    raw.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(
        &actions, 1, (m_logPath + ".out").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_addopen(&actions, 2, m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    const int result = posix_spawn(&m_id, raw[0], &actions, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0)
        throw std::runtime_error(fmt::format("cannot start {}: error {}", arguments[0], result));
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::signal(int number) const
{
    if (!m_exitCode)
        ::kill(m_id, number);
}

void ChildProcess::kill()
{
    if (exitCode())
        return;
    ::kill(m_id, SIGKILL);
    int status = 0;
    waitpid(m_id, &status, 0);
    m_exitCode = 128 + SIGKILL;
}

std::optional<int> ChildProcess::exitCode()
{
    int status = 0;
    if (!m_exitCode && waitpid(m_id, &status, WNOHANG) == m_id)
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return m_exitCode;
}

std::string ChildProcess::text() const
{
    std::ifstream file(m_logPath);
    return { std::istreambuf_iterator<char>(file), {} };
}

std::vector<json> ChildProcess::events() const
{
    std::vector<json> result;
    std::ifstream file(m_logPath);
    for (std::string line; std::getline(file, line) && !file.eof();) {
        json event = json::parse(line, nullptr, false);
        if (event.is_object())
            result.push_back(std::move(event));
    }
    return result;
}

Deployment::Deployment()
    : Deployment(Options {})
{
}

Deployment::Deployment(Options options)
    : m_options(std::move(options))
    // Every call opens a new connection: a stopping server can close an idle one just as a call starts on it.
    , m_client(net::makeHttpClient(m_loop, { .idlePerAddress = 0 }))
{
    std::string pattern = std::filesystem::temp_directory_path() / "anvilmoor-process-XXXXXX";
    CPPUNIT_ASSERT(mkdtemp(pattern.data()));
    m_directory = pattern;
    m_declaration = writeDeclaration(1'000);
    startStandins();
    for (const std::string& name : daemons()) {
        m_httpPorts[name] = std::make_unique<ReservedPort>();
        m_peerPorts[name] = std::make_unique<ReservedPort>();
    }
    for (const std::string& name : daemons())
        startDaemon(name);
    for (const std::string& name : daemons())
        waitForEvent(name, "process.started");
    waitUntil("the first configuration to be accepted", [this] {
        auto tool
            = startTool({ "--entry=" + loopback(portFor("north-1")), "config", "apply", m_declaration });
        const int code = waitForExit(*tool);
        return code == 0 || code == 7 || code == 4;
    });
    for (const std::string& name : daemons())
        waitUntil(name + " to be ready", [&] { return isReady(name); });
    for (const std::string& name : daemons()) {
        waitUntil(name + " to report the role holders of both zones",
            [&] { return !holderOf("north", name).empty() && !holderOf("south", name).empty(); });
    }
}

Deployment::~Deployment()
{
    m_processes.clear();
    m_relays.clear();
    if (std::uncaught_exceptions() > 0)
        std::cerr << "\nlogs of the failed test: " << m_directory << "\n";
    else
        std::filesystem::remove_all(m_directory);
}

const std::vector<std::string>& Deployment::daemons()
{
    static const std::vector<std::string> names { "north-1", "north-2", "south-1", "south-2" };
    return names;
}

std::string Deployment::writeDeclaration(int quota)
{
    std::string path = fmt::format("{}/declaration-{}.toml", m_directory, quota);
    std::ofstream(path) << declaration(m_options.workersPerRack, quota);
    return path;
}

void Deployment::start(const std::string& name, const std::vector<std::string>& arguments)
{
    m_processes.erase(name);
    m_processes[name] = std::make_unique<ChildProcess>(
        arguments, fmt::format("{}/{}.{}.log", m_directory, name, ++m_started));
}

void Deployment::startStandins()
{
    start("platform",
        { programPath("anvilmoor-standin-platform"), "--listen=127.0.0.1:0",
            "--configuration=" + m_declaration });
    for (const std::string zone : { "north", "south" })
        start(zone,
            { programPath("anvilmoor-standin-workers"), "--listen=127.0.0.1:0", "--zone=" + zone,
                "--configuration=" + m_declaration });
    for (const std::string name : { "platform", "north", "south" })
        m_standinPorts[name] = waitForPort(name);
}

std::uint16_t Deployment::waitForPort(const std::string& name)
{
    std::uint16_t port = 0;
    waitUntil(name + " to listen", [&] {
        for (const json& event : process(name).events()) {
            if (event.value("event", "") == "listening")
                port = event.at("port").get<std::uint16_t>();
        }
        return port != 0;
    });
    return port;
}

std::string Deployment::addressFor(const std::string& daemon, const std::string& target, std::uint16_t port)
{
    const std::string name = daemon + ">" + target;
    if (!m_options.relays.contains(name))
        return loopback(port);
    auto& relay = m_relays[name];
    if (!relay)
        relay = std::make_unique<FaultRelay>(port);
    return loopback(relay->port());
}

void Deployment::startDaemon(const std::string& name)
{
    std::string peers;
    for (const std::string& peer : daemons())
        peers += fmt::format("{}{}@{}={}", peers.empty() ? "" : ",", peer, zoneOf(peer),
            peer == name ? loopback(m_peerPorts[peer]->port())
                         : addressFor(name, peer, m_peerPorts[peer]->port()));
    const std::string workers = "north=" + addressFor(name, "north", m_standinPorts["north"])
        + ",south=" + addressFor(name, "south", m_standinPorts["south"]);
    start(name,
        { programPath("anvilmoor-entry"), "--host=" + name, "--zone=" + zoneOf(name),
            "--listen=" + loopback(m_httpPorts[name]->port()),
            "--peer_listen=" + loopback(m_peerPorts[name]->port()), "--peers=" + peers,
            "--platform=" + addressFor(name, "platform", m_standinPorts["platform"]),
            "--workers_address=" + workers, fmt::format("--seed={}", m_started + 1) });
}

std::unique_ptr<ChildProcess> Deployment::startTool(const std::vector<std::string>& arguments)
{
    std::vector<std::string> all { programPath("anvilmoorctl") };
    all.insert(all.end(), arguments.begin(), arguments.end());
    return std::make_unique<ChildProcess>(all, fmt::format("{}/tool.{}.log", m_directory, ++m_started));
}

void Deployment::waitUntil(const std::string& what, const Condition& condition)
{
    const TimePoint end = m_loop.now() + waitTimeout;
    while (!condition()) {
        if (m_loop.now() >= end)
            CPPUNIT_FAIL("timed out after 60 s waiting for " + what);
        runFor(pollInterval);
    }
}

void Deployment::runFor(Milliseconds duration)
{
    bool isOver = false;
    net::Timer timer(m_loop);
    timer.startOnce(duration, [&isOver] { isOver = true; });
    while (!isOver)
        m_loop.runOnce();
}

int Deployment::waitForExit(ChildProcess& child)
{
    waitUntil("a process to exit", [&] { return child.exitCode().has_value(); });
    return *child.exitCode();
}

std::vector<json> Deployment::eventsOf(const std::string& daemon, const std::string& event, std::size_t from)
{
    std::vector<json> found;
    const std::vector<json> events = process(daemon).events();
    for (std::size_t i = from; i < events.size(); ++i) {
        if (events[i].value("event", "") == event)
            found.push_back(events[i]);
    }
    return found;
}

json Deployment::waitForEvent(const std::string& daemon, const std::string& event, std::size_t from)
{
    std::vector<json> found;
    waitUntil(daemon + " to log " + event, [&] {
        found = eventsOf(daemon, event, from);
        return !found.empty();
    });
    return found.front();
}

std::uint16_t Deployment::portFor(const std::string& process)
{
    const auto daemon = m_httpPorts.find(process);
    return daemon != m_httpPorts.end() ? daemon->second->port() : m_standinPorts.at(process);
}

Deployment::Pending Deployment::begin(const std::string& process, net::HttpRequest request)
{
    auto pending = std::make_shared<std::optional<net::HttpResult>>();
    m_client->call({ "127.0.0.1", portFor(process) }, std::move(request), callTimeout,
        [pending](net::HttpResult result) { *pending = std::move(result); });
    return pending;
}

net::HttpResult Deployment::finish(const Pending& pending)
{
    while (!*pending)
        m_loop.runOnce();
    return **pending;
}

net::HttpResult Deployment::call(const std::string& process, net::HttpRequest request)
{
    return finish(begin(process, std::move(request)));
}

json Deployment::get(const std::string& process, const std::string& path)
{
    net::HttpRequest request;
    request.path = path;
    const net::HttpResult result = call(process, std::move(request));
    return result && result->status < 300 ? json::parse(result->body, nullptr, false) : json();
}

void Deployment::control(const std::string& standin, const json& change)
{
    net::HttpRequest request;
    request.method = "POST";
    request.path = "/control";
    request.body = change.dump();
    const net::HttpResult result = call(standin, std::move(request));
    CPPUNIT_ASSERT(result);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result->body, 200, result->status);
}

json Deployment::state(const std::string& standin, const std::string& part)
{
    return get(standin, "/control").at(part);
}

json Deployment::executionsIn(const std::string& zone) { return state(zone, "executions").at("by_identity"); }

bool Deployment::isReady(const std::string& daemon)
{
    net::HttpRequest request;
    request.path = "/readyz";
    const net::HttpResult result = call(daemon, std::move(request));
    return result && result->status == 200;
}

std::string Deployment::holderOf(const std::string& zone, const std::string& queriedDaemon)
{
    const json site = get(queriedDaemon, "/v1/site");
    std::string holder;
    std::uint64_t token = 0;
    for (const json& host : site.is_object() ? site.at("hosts") : json::array()) {
        if (host.at("zone") != zone || host.at("held_token").get<std::uint64_t>() <= token)
            continue;
        token = host.at("held_token").get<std::uint64_t>();
        holder = host.at("host").get<std::string>();
    }
    return holder;
}

std::string Deployment::otherDaemonInZone(const std::string& daemon)
{
    return zoneOf(daemon) + (daemon.ends_with("1") ? "-2" : "-1");
}

net::HttpResult Deployment::submit(
    const std::string& daemon, const std::string& key, int accelerators, int runMs, const std::string& zone)
{
    net::HttpRequest request;
    request.method = "POST";
    request.path = "/v1/jobs";
    request.body = json {
        { "account", "mill" }, { "key", key }, { "zone", zone }, { "accelerators", accelerators },
        { "run_ms", runMs }
    }.dump();
    return call(daemon, std::move(request));
}

std::string Deployment::submitAccepted(
    const std::string& daemon, const std::string& key, int accelerators, int runMs)
{
    const net::HttpResult result = submit(daemon, key, accelerators, runMs);
    CPPUNIT_ASSERT(result);
    CPPUNIT_ASSERT_MESSAGE(result->body, result->status < 300);
    return json::parse(result->body).at("id").get<std::string>();
}

json Deployment::job(const std::string& daemon, const std::string& id)
{
    return get(daemon, "/v1/jobs/" + id);
}

json Deployment::membersOf(const std::string& daemon, const std::string& id)
{
    return job(daemon, id).at("members");
}

void Deployment::waitForJob(const std::string& daemon, const std::string& id, const std::string& state)
{
    waitUntil("a job to be " + state, [&] {
        const json status = job(daemon, id);
        return status.is_object() && status.at("state") == state;
    });
}

std::vector<json> Deployment::attemptsOnWorkers(const std::string& id)
{
    std::vector<json> attempts;
    for (const json& item : state(id.substr(0, id.find('.')), "jobs")) {
        if (item.at("job") == id)
            attempts.push_back(item);
    }
    return attempts;
}

int Deployment::waitUntilGangRuns(const std::string& id, int accelerators)
{
    int attempt = 0;
    waitUntil("the workers to run all members of the gang in one attempt", [&] {
        const std::vector<json> attempts = attemptsOnWorkers(id);
        if (attempts.size() != 1 || attempts[0].at("running_accelerators") != accelerators)
            return false;
        attempt = attempts[0].at("attempt").get<int>();
        return true;
    });
    return attempt;
}

int Deployment::executions(const std::string& key)
{
    int count = 0;
    for (const std::string zone : { "north", "south" }) {
        for (const json& item : executionsIn(zone)) {
            if (item.at("key") == key)
                count += item.at("count").get<int>();
        }
    }
    return count;
}

void Deployment::checkNoViolations()
{
    for (const std::string zone : { "north", "south" })
        CPPUNIT_ASSERT_EQUAL(std::string("[]"), state(zone, "violations").dump());
}

net::HttpRequest serviceRequest(
    const std::string& operation, const std::string& key, int deadlineMs, Copy copy)
{
    net::HttpRequest request;
    request.method = "POST";
    request.path = "/v1/services/planning/" + operation;
    request.headers = { { "Anvilmoor-Account", "mill" }, { "Anvilmoor-Caller", "process-test" },
        { "Idempotency-Key", key }, { "Anvilmoor-Deadline-Ms", std::to_string(deadlineMs) } };
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    request.headers.push_back(
        { "Anvilmoor-Issued-At", std::to_string(std::chrono::duration_cast<Milliseconds>(now).count()) });
    if (copy == Copy::First)
        request.headers.push_back({ "Anvilmoor-First-Copy", "true" });
    request.body = "lot " + key;
    return request;
}

std::string outcomeOf(const net::HttpResult& result)
{
    if (result)
        return std::string(result->header("Anvilmoor-Outcome"));
    switch (result.error().kind) {
    case net::HttpErrorKind::NotSent:
        return "refused at connect";
    case net::HttpErrorKind::TimedOut:
        return "timed out";
    default:
        return "cut";
    }
}

} // namespace anvilmoor::testing
