#pragma once

#include "net/event_loop.h"
#include "net/http.h"
#include "support/fault_relay.h"
#include "support/reserved_port.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace anvilmoor::testing {

// A child process whose standard error is written to a log file. The destructor kills it by its process id.
class ChildProcess {
public:
    // arguments[0] is the path of the program. Throws std::runtime_error if it cannot be started.
    ChildProcess(const std::vector<std::string>& arguments, std::string logPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const;
    void kill(); // sends SIGKILL and waits until the process has exited
    // The exit code, or 128 + signal number if a signal ended the process; empty while it runs.
    std::optional<int> exitCode();
    // The complete JSON lines in the log file so far, in order.
    std::vector<nlohmann::json> events() const;
    std::string text() const;

private:
    std::string m_logPath;
    pid_t m_id = 0;
    std::optional<int> m_exitCode;
};

using Condition = std::function<bool()>;

// Real processes on loopback: a platform stand-in, and the availability zones "north" and "south", each with
// two daemons ("north-1", ...) and two racks ("north-r1", ...). Every wait polls a condition and fails the
// test if the condition does not hold within 60 s.
class Deployment {
public:
    struct Options {
        int workersPerRack = 4;
        // Connections that pass through a FaultRelay: "DAEMON>platform", "DAEMON>ZONE" (the workers of the
        // zone), "DAEMON>DAEMON".
        std::set<std::string> relays {};
    };

    // Returns when all daemons are ready and each of them reports a role holder for both zones.
    Deployment();
    explicit Deployment(Options);
    ~Deployment();

    static const std::vector<std::string>& daemons();
    ChildProcess& process(const std::string& name) { return *m_processes.at(name); }
    FaultRelay& relay(const std::string& name) { return *m_relays.at(name); }
    void startDaemon(const std::string& name); // the first start, or a restart after it has ended
    std::unique_ptr<ChildProcess> startTool(const std::vector<std::string>& arguments);
    // Writes a configuration declaration with this accelerator quota and returns the path of the file.
    std::string writeDeclaration(int quota);

    void waitUntil(const std::string& what, const Condition&);
    // Runs the event loop for this time. To be used only to show that something no longer happens.
    void runFor(Milliseconds);
    int waitForExit(ChildProcess&);
    // Events of this name in the daemon's log, without the first `from` events.
    std::vector<nlohmann::json> eventsOf(
        const std::string& daemon, const std::string& event, std::size_t from = 0);
    nlohmann::json waitForEvent(const std::string& daemon, const std::string& event, std::size_t from = 0);
    std::size_t eventCount(const std::string& daemon) { return process(daemon).events().size(); }

    using Pending = std::shared_ptr<std::optional<net::HttpResult>>;
    Pending begin(const std::string& process, net::HttpRequest);
    net::HttpResult finish(const Pending&);
    net::HttpResult call(const std::string& process, net::HttpRequest);
    // The JSON body of an answer with a status below 300; null otherwise.
    nlohmann::json get(const std::string& process, const std::string& path);
    // Changes the behaviour of a stand-in. Fails the test if the stand-in refuses the change.
    void control(const std::string& standin, const nlohmann::json& change);

    std::uint16_t portFor(const std::string& process);
    // One field of the state that the stand-in reports at /control.
    nlohmann::json state(const std::string& standin, const std::string& part);
    nlohmann::json executionsIn(const std::string& zone);

    bool isReady(const std::string& daemon);
    std::string holderOf(const std::string& zone, const std::string& queriedDaemon);
    static std::string otherDaemonInZone(const std::string& daemon);

    net::HttpResult submit(const std::string& daemon, const std::string& key, int accelerators, int runMs,
        const std::string& zone = "north");
    std::string submitAccepted(
        const std::string& daemon, const std::string& key, int accelerators, int runMs);
    nlohmann::json job(const std::string& daemon, const std::string& id);
    nlohmann::json membersOf(const std::string& daemon, const std::string& id);
    void waitForJob(const std::string& daemon, const std::string& id, const std::string& state);
    // The job as the workers of its zone report it: one item for each attempt.
    std::vector<nlohmann::json> attemptsOnWorkers(const std::string& id);
    // Waits until the workers hold exactly one attempt and run it on all accelerators; returns the attempt.
    int waitUntilGangRuns(const std::string& id, int accelerators);
    int executions(const std::string& key); // at all endpoints
    // Fails if the worker stand-ins report an accelerator booked twice or two attempts of a job at once.
    void checkNoViolations();

    net::EventLoop& loop() { return m_loop; }

private:
    std::string addressFor(const std::string& daemon, const std::string& target, std::uint16_t port);
    void startStandins();
    void start(const std::string& name, const std::vector<std::string>& arguments);
    std::uint16_t waitForPort(const std::string& name);

    Options m_options;
    std::string m_directory;
    std::string m_declaration;
    net::EventLoop m_loop;
    std::unique_ptr<net::HttpClient> m_client;
    std::map<std::string, std::unique_ptr<ReservedPort>> m_httpPorts;
    std::map<std::string, std::unique_ptr<ReservedPort>> m_peerPorts;
    std::map<std::string, std::uint16_t> m_standinPorts;
    std::map<std::string, std::unique_ptr<FaultRelay>> m_relays;
    std::map<std::string, std::unique_ptr<ChildProcess>> m_processes;
    int m_started = 0;
};

// A request marked as the first copy may be answered not_run without a read of the record.
enum class Copy { First, Later };
net::HttpRequest serviceRequest(
    const std::string& operation, const std::string& key, int deadlineMs, Copy = Copy::Later);
// The header Anvilmoor-Outcome, or "cut", "refused at connect" or "timed out".
std::string outcomeOf(const net::HttpResult&);

} // namespace anvilmoor::testing
