#include "deployment.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

const Clock::time_point programStart = Clock::now();

const std::vector<std::string> zones { "saginaw", "thumb", "maumee" };
constexpr const char* serviceName = "intake-scoring";

std::string freeAddress(const std::string& ip)
{
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address))
        throw std::runtime_error("no free port on " + ip);
    socklen_t size = sizeof address;
    getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
    close(probe);
    return ip + ":" + std::to_string(ntohs(address.sin_port));
}

// Each daemon has an address of its own, as the deploy file gives all of them the same port for metrics.
std::string nextLoopbackAddress()
{
    static std::atomic<int> last { 1 };
    const int process = static_cast<int>(getpid());
    return "127." + std::to_string(1 + process % 250) + "." + std::to_string(process / 250 % 250) + "."
        + std::to_string(++last);
}

std::vector<std::string> words(const std::string& text)
{
    std::istringstream stream(text);
    std::vector<std::string> result;
    for (std::string word; stream >> word;)
        result.push_back(word);
    return result;
}

} // namespace

double secondsSinceStart() { return std::chrono::duration<double>(Clock::now() - programStart).count(); }

double secondsOf(Clock::time_point time)
{
    return std::chrono::duration<double>(time - programStart).count();
}

void runScript(int argc, char** argv, const std::function<Verdict(const Arguments&)>& script)
{
    Verdict verdict = Verdict::CouldNotRun;
    try {
        if (argc != 5)
            throw std::runtime_error("usage: RUN_COMMAND FOLDER RECORD TROUBLE");
        verdict = script({ argv[1], argv[2], argv[3], std::string(argv[4]) != "0" });
    } catch (const std::exception& error) {
        std::cerr << error.what() << std::endl;
    }
    // The threads of the stand-ins still run, so nothing is destroyed.
    std::_Exit(static_cast<int>(verdict));
}

void sleepMs(int milliseconds) { std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds)); }

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
{
    if (!m_file)
        throw std::runtime_error("cannot write " + path);
}

Record::~Record() { std::fclose(m_file); }

void Record::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%9.3f  %s\n", secondsSinceStart(), text.c_str());
    std::fflush(m_file);
}

Daemon::Daemon(
    std::string name, std::string zone, std::string command, std::string folder, const std::string& store)
    : m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_command(std::move(command))
    , m_folder(std::move(folder))
    , m_ip(nextLoopbackAddress())
    , m_front(freeAddress(m_ip))
    , m_readiness(freeAddress(m_ip))
    , m_control(freeAddress(m_ip))
    , m_settingsPath(m_folder + "/" + m_name + ".toml")
{
    writeSettings(store);
}

void Daemon::stop()
{
    if (!m_pid)
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
}

// The figures are those of one of the users' small deployments.
void Daemon::writeSettings(const std::string& store) const
{
    std::ofstream file(m_settingsPath);
    file << "node = \"" << m_name << "\"\nrole = \"entry\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\n"
         << "ip = \"" << m_ip << "\"\nzone = \"" << m_zone << "\"\nregion = \"great-lakes\"\n"
         << "portRange = [7000,7015]\nseeds = []\nbootstrap = true\ninTolerance = false\n"
         << "discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\norders = \"call\"\n"
         << "contracts = "
            "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"tenants\",\"platform\"]\n"
         << "[listen]\nfront = \"" << m_front << "\"\nreadiness = \"" << m_readiness << "\"\ncontrol = \""
         << m_control << "\"\n"
         << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\n"
         << "diskMb = 0\n"
         << "[bounds]\nstableWindowMs = 3000\nackTimeoutMs = 4000\ndrainTimeoutMs = 2000\ngraceS = 6\n"
         << "lossSlackMs = 200\nconfigApplyMs = 2000\nstrictRevoke = true\nrevokeMs = 5000\nmaxHoldMs = "
            "10000\n"
         << "stopTimeoutMs = 900\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
         << "[platform]\naddress = \"" << store << "\"\nform = \"table\"\nwritesPerS = 600\n"
         << "readsPerS = 2000\ntxMs = 5.0\npartitionWritesS = 200\nrowBytes = 65536\nacross = false\n"
         << "historyS = 20\n";
}

void Daemon::start()
{
    const std::string log = m_folder + "/" + m_name + ".log";
    std::vector<std::string> arguments = words(m_command);
    std::vector<char*> pointers;
    for (std::string& argument : arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid)
        return;
    // Ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
        _exit(1);
    setenv("ANVILMOOR_SETTINGS", m_settingsPath.c_str(), 1);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execv(pointers.front(), pointers.data());
    _exit(1);
}

void Daemon::signal(int number) const { kill(m_pid, number); }

bool Daemon::waitForEnd(int timeoutMs)
{
    const auto until = Clock::now() + milliseconds(timeoutMs);
    while (waitpid(m_pid, nullptr, WNOHANG) != m_pid) {
        if (Clock::now() >= until)
            return false;
        sleepMs(5);
    }
    m_pid = 0;
    return true;
}

bool Daemon::isReady() const
{
    constexpr int probeTimeoutMs = 500;
    Connection probe(m_readiness);
    const auto answer = probe.call("GET", "/api/readiness", { "Host: probe" }, "", probeTimeoutMs);
    return answer && answer->status == 200;
}

bool Daemon::waitUntilReady(int timeoutMs) const
{
    const auto until = Clock::now() + milliseconds(timeoutMs);
    while (!isReady()) {
        if (Clock::now() >= until)
            return false;
        sleepMs(50);
    }
    return true;
}

Deployment::Deployment(const Options& options)
    : store("127.0.0.1")
    , m_paths({ pathPrefix })
{
    store.put("op", "config", configuration());
    for (int i = 0; i < options.workers; ++i) {
        const std::string& zone = zones[static_cast<std::size_t>(i) % zones.size()];
        workers.push_back(std::make_unique<Worker>(store, "127.0.0.1",
            Worker::Place { "i-" + std::to_string(1'000 + i), serviceName, zone, "r" + zone },
            options.planner));
    }
    for (int i = 0; i < options.daemons; ++i) {
        const std::string& zone = zones[static_cast<std::size_t>(i) % zones.size()];
        relays.push_back(std::make_unique<Relay>("127.0.0.1", store.address()));
        daemons.push_back(std::make_unique<Daemon>("edge-" + zone + "-" + std::to_string(i + 1), zone,
            options.command, options.folder, relays.back()->address()));
    }
}

void Deployment::addRoute(const std::string& path)
{
    m_paths.push_back(path);
    ++m_version;
    store.put("op", "config", configuration());
}

Json Deployment::configuration() const
{
    Json routes = Json::array();
    for (const std::string& path : m_paths)
        routes.push_back({ { "name", "r" + path }, { "host", hostName }, { "pathPrefix", path },
            { "kind", "non_idempotent" }, { "timeoutMs", 3'000 }, { "targetLatencyMs", 1'000 },
            { "priority", 1 }, { "service", serviceName }, { "maxAttempts", 3 }, { "stretch", 3.0 },
            { "public", false } });
    const Json service { { "name", serviceName }, { "healthPath", "/health" }, { "maxConnections", 64 },
        { "protocol", "h1" }, { "tls", false }, { "rejectsOverload", true }, { "headroom", false } };
    const Json tenant { { "name", "growers" }, { "apiKeys", { apiKey } }, { "priority", 1 },
        { "guaranteed", { { "gpu", 8 } } } };
    return { { "version", m_version }, { "routes", std::move(routes) }, { "services", { service } },
        { "limits",
            { { "maxHeaderBytes", 16'384 }, { "maxBodyBytes", 262'144 }, { "headerTimeoutMs", 3'000 },
                { "idleTimeoutMs", 15'000 } } },
        { "tenants", { tenant } } };
}

std::vector<RunRecord> Deployment::runs()
{
    std::vector<RunRecord> all;
    for (const auto& worker : workers) {
        const std::vector<RunRecord> runs = worker->runs();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    std::sort(all.begin(), all.end(),
        [](const RunRecord& a, const RunRecord& b) { return a.startedAt < b.startedAt; });
    return all;
}

void Deployment::stop()
{
    for (const auto& daemon : daemons)
        daemon->stop();
}

bool Deployment::start(Record& record)
{
    constexpr int startTimeoutMs = 15'000;
    for (const auto& daemon : daemons)
        daemon->start();
    for (const auto& daemon : daemons) {
        if (!daemon->waitUntilReady(startTimeoutMs)) {
            record.line(daemon->name() + " does not become ready");
            return false;
        }
    }
    const std::string job = newJobId();
    Connection connection(daemons.front()->front());
    const auto answer
        = connection.call("POST", pathPrefix + job, callerHeaders(), smallJob("first"), startTimeoutMs);
    if (!answer || answer->status != 200 || !waitForState(*this, job, "completed", startTimeoutMs)) {
        record.line("the first job is not accepted and completed");
        return false;
    }
    record.line("all daemons are ready, and a first job has completed");
    return true;
}

std::string newJobId()
{
    static std::mutex mutex;
    static std::mt19937_64 random { std::random_device {}() };
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

std::string smallJob(const std::string& spec)
{
    const Json step { { "count", 1 }, { "cpu", 500 }, { "memMb", 256 }, { "gpu", 1 }, { "estimateMs", 400 } };
    return Json { { "spec", spec }, { "steps", { step } } }.dump();
}

std::string servingJob(const std::string& spec, int tasks)
{
    const Json step { { "count", tasks }, { "cpu", 500 }, { "memMb", 256 }, { "gpu", 1 },
        { "estimateMs", 1'000 }, { "longRunning", true }, { "image", "site" }, { "targetMs", 100 } };
    return Json { { "spec", spec }, { "steps", { step } } }.dump();
}

std::vector<std::string> callerHeaders()
{
    return { std::string("Host: ") + hostName, "Content-Type: application/json",
        std::string("Authorization: Bearer ") + apiKey, "Timeout-Ms: 3000" };
}

bool waitForState(
    const Deployment& deployment, const std::string& job, const std::string& state, int timeoutMs)
{
    const auto until = Clock::now() + milliseconds(timeoutMs);
    std::size_t next = 0;
    while (Clock::now() < until) {
        constexpr int callTimeoutMs = 3'000;
        Connection connection(deployment.daemons[next++ % deployment.daemons.size()]->front());
        const auto answer = connection.call("GET", pathPrefix + job, callerHeaders(), "", callTimeoutMs);
        if (answer && answer->status == 200 && Json::parse(answer->body).value("state", "") == state)
            return true;
        sleepMs(50);
    }
    return false;
}

} // namespace review
