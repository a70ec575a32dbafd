#include "site.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr int frontPort = 8521;
constexpr int readinessPort = 8523;
constexpr int metricsPort = 9464; // as in the deploy file
constexpr const char* host = "nony24.example";
constexpr const char* service = "huvo11a";
// Of the two tenants.
constexpr std::array<const char*, 2> apiKeys { "d4a3hwrr6x73d3zji9n7", "8kq2mb5ctv61w0ylpx3s" };
constexpr int clientTimeoutMs = 3'000;
constexpr int clientRetries = 4;

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    if (!value || !*value)
        throw std::runtime_error(std::string(name) + " is not set");
    return value;
}

bool isFree(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(probe, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const bool isBound = bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(probe);
    return isBound;
}

// A loopback address on which the ports of a daemon are free.
std::string findAddress(int index)
{
    constexpr int attempts = 200;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const int number = (static_cast<int>(getpid()) + attempt) % 200;
        const std::string ip = "127." + std::to_string(40 + number % 40) + "." + std::to_string(number + 1)
            + "." + std::to_string(10 + index);
        if (isFree(ip, frontPort) && isFree(ip, readinessPort) && isFree(ip, metricsPort))
            return ip;
    }
    throw std::runtime_error("no loopback address has the daemons' ports free");
}

Json configuration()
{
    const auto route = [](const char* name, const char* prefix, int priority, int target, double stretch) {
        return Json { { "name", name }, { "host", host }, { "pathPrefix", prefix },
            { "kind", "non_idempotent" }, { "timeoutMs", clientTimeoutMs }, { "targetLatencyMs", target },
            { "priority", priority }, { "service", service }, { "maxAttempts", 2 }, { "stretch", stretch },
            { "public", false } };
    };
    const auto tenant = [](const char* name, const char* key) {
        return Json { { "name", name }, { "apiKeys", Json::array({ key }) }, { "priority", 1 },
            { "guaranteed", { { "gpu", 120 } } } };
    };
    return { { "version", 7 },
        { "routes",
            Json::array({ route("r-quote", "/q0/", 0, 300, 1.5), route("r-coil", "/q1/", 1, 1'000, 3.0),
                route("r-pass", "/q2/", 2, 3'000, 3.0) }) },
        { "services",
            Json::array({ { { "name", service }, { "healthPath", "/health" }, { "maxConnections", 64 },
                { "protocol", "h1" }, { "tls", false }, { "rejectsOverload", true },
                { "headroom", false } } }) },
        { "limits",
            { { "maxHeaderBytes", 16'384 }, { "maxBodyBytes", 262'144 }, { "headerTimeoutMs", 3'000 },
                { "idleTimeoutMs", 15'000 } } },
        { "tenants", Json::array({ tenant("kaje80", apiKeys[0]), tenant("wubo41", apiKeys[1]) }) } };
}

// The value of a field in a log line, which is a JSON object.
std::string fieldOf(const std::string& line, const char* name)
{
    const Json parsed = Json::parse(line, nullptr, false);
    return parsed.is_object() && parsed.contains(name) && parsed[name].is_string()
        ? parsed[name].get<std::string>()
        : std::string();
}

std::string eventOf(const std::string& line)
{
    const std::string event = fieldOf(line, "event");
    return event.empty() ? fieldOf(line, "name") : event;
}

} // namespace

Daemons::Daemons(Record& record, std::string folder, std::vector<std::string> command, const Store& store,
    SiteBounds bounds, int count)
    : m_record(record)
    , m_folder(std::move(folder))
    , m_command(std::move(command))
    , m_store(store)
    , m_bounds(bounds)
{
    for (int i = 0; i < count; ++i) {
        Daemon daemon { findAddress(i), m_folder + "/node-" + std::to_string(i) + ".toml",
            m_folder + "/daemon-" + std::to_string(i) + ".log" };
        std::ofstream(daemon.settings) << settingsOf(daemon, i);
        m_daemons.push_back(std::move(daemon));
    }
    for (int i = 0; i < count; ++i)
        start(i);
}

Daemons::~Daemons()
{
    for (Daemon& daemon : m_daemons) {
        if (!daemon.process)
            continue;
        kill(daemon.process, SIGCONT);
        kill(daemon.process, SIGKILL);
        waitpid(daemon.process, nullptr, 0);
    }
}

std::string Daemons::settingsOf(const Daemon& daemon, int index) const
{
    const auto address = [&daemon](int port) { return "\"" + daemon.ip + ":" + std::to_string(port) + "\""; };
    const auto number = [](const char* name, std::int64_t value) {
        return std::string(name) + " = " + std::to_string(value) + "\n";
    };
    return "node = \"edge-steyr-north-" + std::to_string(index + 1) + "\"\nrole = \"entry\"\n"
        + "machineClass = \"edge\"\nserves = [\"edge\"]\nip = \"" + daemon.ip + "\"\n"
        + "zone = \"steyr-north\"\nregion = \"upper-austria\"\nportRange = [7000,7015]\nseeds = []\n"
        + "bootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\n"
        + number("heartbeatMs", m_bounds.heartbeatMs)
        + "contracts = "
          "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"platform\"]\n"
        + "orders = \"call\"\n[zones]\nsteyr-north = \"upper-austria\"\n[listen]\nfront = "
        + address(frontPort) + "\nreadiness = " + address(readinessPort)
        + "\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
        + number("linkMbps", m_bounds.linkMbps)
        + "diskMb = 0\n[bounds]\nstableWindowMs = 3000\nackTimeoutMs = 4000\n"
        + number("drainTimeoutMs", m_bounds.drainTimeoutMs)
        + "graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nstrictRevoke = true\nrevokeMs = 5000\n"
        + "recoveryS = 12\n" + number("maxHoldMs", m_bounds.maxHoldMs)
        + number("stopTimeoutMs", m_bounds.stopTimeoutMs)
        + "gangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
        + "early_ms = 250\nfinish_s = 14\nstatus_s = 120\nfarFactor = 3\ncheckpointS = 2\n"
        + "restoreMs = 100\n" + number("reclaimMs", m_bounds.reclaimMs) + "[platform]\naddress = \""
        + m_store.addressFor(index) + "\"\nform = \"table\"\nwritesPerS = 600\nreadsPerS = 2000\ntxMs = 5.0\n"
        + "partitionWritesS = 200\nrowBytes = 65536\nacross = false\nhistoryS = 20\n";
}

void Daemons::start(int index)
{
    Daemon& daemon = m_daemons[static_cast<std::size_t>(index)];
    const int log = open(daemon.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const std::string setting = "ANVILMOOR_SETTINGS=" + daemon.settings;
    const std::string path = "PATH=" + environment("PATH");
    std::vector<char*> arguments;
    for (std::string& word : m_command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    char* variables[] = { const_cast<char*>(setting.c_str()), const_cast<char*>(path.c_str()), nullptr };
    const pid_t parent = getpid();
    const pid_t process = fork();
    if (!process) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(127);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execve(arguments[0], arguments.data(), variables);
        _exit(127);
    }
    close(log);
    if (process < 0)
        throw std::runtime_error("cannot start a daemon");
    daemon.process = process;
    m_record.write("daemon " + std::to_string(index) + ": started on " + daemon.ip);
}

void Daemons::signal(int index, int number)
{
    Daemon& daemon = m_daemons[static_cast<std::size_t>(index)];
    m_record.write("daemon " + std::to_string(index) + ": signal " + strsignal(number));
    kill(daemon.process, number);
    if (number != SIGKILL)
        return;
    waitpid(daemon.process, nullptr, 0);
    daemon.process = 0;
}

bool Daemons::hasEndedByItself() const
{
    for (const Daemon& daemon : m_daemons) {
        siginfo_t state {};
        if (daemon.process
            && waitid(P_PID, static_cast<id_t>(daemon.process), &state, WEXITED | WNOHANG | WNOWAIT) == 0
            && state.si_pid)
            return true;
    }
    return false;
}

std::string Daemons::frontOf(int index) const
{
    return m_daemons[static_cast<std::size_t>(index)].ip + ":" + std::to_string(frontPort);
}

bool Daemons::isReady(int index) const
{
    const std::string address
        = m_daemons[static_cast<std::size_t>(index)].ip + ":" + std::to_string(readinessPort);
    return callOnce(address, { "GET", "/api/readiness", address, "", "", 500 }).status == 200;
}

std::vector<std::string> Daemons::logLines(int index) const
{
    std::ifstream log(m_daemons[static_cast<std::size_t>(index)].log);
    std::vector<std::string> lines;
    for (std::string line; std::getline(log, line);)
        lines.push_back(line);
    return lines;
}

int Daemons::leader() const
{
    int leader = -1;
    std::string loadedAt;
    for (int i = 0; i < count(); ++i) {
        bool leads = false;
        std::string at;
        for (const std::string& line : logLines(i)) {
            const std::string event = eventOf(line);
            if (event == "leader.loaded")
                at = fieldOf(line, "time");
            leads = event == "leader.loaded" || (leads && event != "leader.lost" && event != "daemon.start");
        }
        if (!leads || !m_daemons[static_cast<std::size_t>(i)].process || at < loadedAt)
            continue;
        leader = i;
        loadedAt = at;
    }
    return leader;
}

void Daemons::recordEvents(const std::vector<std::string>& names, std::size_t mostPerDaemon) const
{
    for (int i = 0; i < count(); ++i) {
        std::size_t written = 0;
        for (const std::string& line : logLines(i)) {
            const bool isWanted = std::find(names.begin(), names.end(), eventOf(line)) != names.end();
            if (isWanted && written++ < mostPerDaemon)
                m_record.write("log of daemon " + std::to_string(i) + ": " + line);
        }
    }
}

Site::Site(const Shape& shape)
    : m_shape(shape)
    , m_record(environment("CASE") + "/record.txt")
    , m_store(m_record, shape.store, shape.daemons)
    , m_ledger(m_record)
{
    m_store.put("op", "config", configuration());
    WorkerLimits limits;
    limits.maxHoldMs = shape.bounds.maxHoldMs;
    limits.heartbeatMs = shape.bounds.heartbeatMs;
    m_fleet = std::make_unique<WorkerFleet>(
        shape.workers, shape.workersPerRack, service, shape.worker, limits, m_store, m_ledger);
    std::vector<std::string> command;
    std::string word;
    for (const char c : environment("COMMAND") + " ") {
        if (c != ' ')
            word += c;
        else if (!word.empty())
            command.push_back(std::exchange(word, {}));
    }
    m_daemons = std::make_unique<Daemons>(
        m_record, environment("WORK"), command, m_store, shape.bounds, shape.daemons);
}

bool Site::awaitReady(int timeoutMs)
{
    return await(timeoutMs, [this] {
        for (int i = 0; i < m_daemons->count(); ++i) {
            if (!m_daemons->isReady(i))
                return false;
        }
        return m_daemons->leader() >= 0;
    });
}

std::string Site::pathOf(int priority, const std::string& job) const
{
    return "/q" + std::to_string(priority) + "/" + job;
}

int Site::submit(const std::string& job, const JobShape& shape, int daemon)
{
    const int priority = shape.priority;
    std::string spec = "plan " + job;
    spec.resize(std::max(spec.size(), shape.specBytes), '.');
    Json body { { "spec", spec }, { "steps", Json::array() } };
    int number = 0;
    for (const StepShape& step : shape.steps) {
        m_ledger.describe(job, number, step.subtask);
        Json entry { { "count", step.count }, { "cpu", step.subtask.need.cpu },
            { "memMb", step.subtask.need.memMb } };
        if (step.subtask.need.gpu)
            entry["gpu"] = step.subtask.need.gpu;
        if (step.estimateMs)
            entry["estimateMs"] = step.estimateMs;
        if (step.isGang)
            entry["gang"] = true;
        if (step.antiAffinity)
            entry["antiAffinity"] = step.antiAffinity;
        if (!step.subtask.dataRack.empty())
            entry["affinity"] = step.subtask.dataRack;
        if (step.subtask.savesCheckpoints)
            entry["checkpointing"] = true;
        if (number)
            entry["after"] = Json::array({ number - 1 });
        body["steps"].push_back(std::move(entry));
        ++number;
    }
    if (shape.repeats) {
        body["repeats"] = shape.repeats;
        body["startAtMs"] = unixMs();
        body["intervalMs"] = shape.intervalMs;
    }
    int status = 0;
    for (int attempt = 0; attempt <= clientRetries; ++attempt) {
        const int at = (daemon + attempt) % m_daemons->count();
        const std::string text = body.dump();
        m_record.write("client: POST " + pathOf(priority, job) + " to daemon " + std::to_string(at) + ", "
            + std::to_string(text.size()) + " bytes" + (text.size() <= 600 ? ": " + text : std::string()));
        status = callOnce(m_daemons->frontOf(at),
            { "POST", pathOf(priority, job), host, apiKeys[static_cast<std::size_t>(shape.tenant)], text,
                clientTimeoutMs })
                     .status;
        m_record.write("client: POST " + pathOf(priority, job) + " answered " + std::to_string(status));
        if (status && status != 502 && status != 504)
            break;
    }
    return status;
}

std::string Site::stateOf(const std::string& job, int priority, int daemon)
{
    const HttpMessage answer = callOnce(m_daemons->frontOf(daemon % m_daemons->count()),
        { "GET", pathOf(priority, job), host, apiKeys[0], "", clientTimeoutMs });
    const Json body = Json::parse(answer.body, nullptr, false);
    const std::string state
        = answer.status == 200 && body.is_object() ? body.value("state", std::string()) : std::string();
    m_record.write(
        "client: GET " + pathOf(priority, job) + " answered " + std::to_string(answer.status) + " " + state);
    return state;
}

int Site::queuedCountOf(int priority, int daemon)
{
    const std::string path = pathOf(priority, "");
    const HttpMessage answer
        = callOnce(m_daemons->frontOf(daemon), { "GET", path, host, apiKeys[0], "", clientTimeoutMs });
    const Json body = Json::parse(answer.body, nullptr, false);
    const int count = answer.status == 200 && body.is_object() ? body.value("queuedCount", 0) : -1;
    m_record.write("client: GET " + path + " at daemon " + std::to_string(daemon) + " answered "
        + std::to_string(answer.status) + " queuedCount " + std::to_string(count));
    return count;
}

bool Site::isOneLost(const std::vector<std::pair<std::string, int>>& jobsAndPriorities)
{
    constexpr std::int64_t windowMs = 3'000;
    std::vector<std::pair<std::string, int>> open;
    bool isLost = false;
    for (const auto& [job, priority] : jobsAndPriorities) {
        std::string state;
        for (int attempt = 0; attempt <= clientRetries && state.empty(); ++attempt)
            state = stateOf(job, priority, attempt);
        if (state.empty())
            m_record.write("LOST: job " + job + " gets no answer");
        isLost = isLost || state.empty();
        if (state == "pending" || state == "running")
            open.emplace_back(job, priority);
    }
    const std::int64_t until = steadyMs() + windowMs;
    double mostInUse = 0;
    while (steadyMs() < until) {
        for (auto job = open.begin(); job != open.end();)
            job = m_ledger.runningOf(job->first) ? open.erase(job) : job + 1;
        mostInUse = std::max(mostInUse, m_fleet->shareInUse());
        sleepMs(20);
    }
    m_record.write("share of the service's capacity in use: at most " + std::to_string(mostInUse)
        + "; jobs with nothing running for 3 s: " + std::to_string(open.size()));
    if (mostInUse >= 0.5)
        return isLost;
    for (const auto& [job, priority] : open) {
        const std::string state = stateOf(job, priority);
        if (state == "completed" || state == "failed")
            continue;
        m_record.write("LOST: job " + job + ", priority " + std::to_string(priority)
            + ", had nothing running for 3 s and has not ended");
        isLost = true;
    }
    return isLost;
}

bool Site::await(int timeoutMs, const std::function<bool()>& condition)
{
    const std::int64_t deadline = steadyMs() + timeoutMs;
    while (!condition()) {
        if (steadyMs() >= deadline)
            return false;
        sleepMs(50);
    }
    return true;
}

void Site::sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

int runCase(const std::function<int()>& run)
{
    try {
        return run();
    } catch (const std::exception& error) {
        std::cerr << "cannot run: " << error.what() << '\n';
        return exitCannotRun;
    }
}

} // namespace review
