#pragma once

#include "relay.h"
#include "store.h"
#include "worker.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

// Times of a script are counted from the start of its program.
double secondsSinceStart();
double secondsOf(std::chrono::steady_clock::time_point);
void sleepMs(int milliseconds);

enum class Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

// How a script is started: with the run command of the deploy file, a folder for settings and logs, the path
// of its record, and whether the disruption takes place.
struct Arguments {
    std::string command;
    std::string folder;
    std::string recordPath;
    bool hasTrouble = true;
};

// The main function of a script. Ends the process with the verdict.
[[noreturn]] void runScript(int argc, char** argv, const std::function<Verdict(const Arguments&)>& script);

// What was sent, answered and run, one line each, with its time.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;

    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

// A process of the program under review on its own loopback address.
class Daemon {
public:
    // `command`: the run command of the deploy file. `store`: the address of the platform's store.
    Daemon(std::string name, std::string zone, std::string command, std::string folder,
        const std::string& store);
    void start();
    void stop();
    void signal(int number) const;
    // Returns false if the process has not ended by then.
    bool waitForEnd(int timeoutMs);
    bool isReady() const;
    bool waitUntilReady(int timeoutMs) const;

    const std::string& name() const { return m_name; }
    const std::string& front() const { return m_front; }

private:
    void writeSettings(const std::string& store) const;

    const std::string m_name;
    const std::string m_zone;
    const std::string m_command;
    const std::string m_folder;
    std::string m_ip;
    std::string m_front;
    std::string m_readiness;
    std::string m_control;
    std::string m_settingsPath;
    pid_t m_pid = 0;
};

// A small deployment: the store, workers of one service in three zones, and daemons. The threads of the store
// and the workers run until the program ends, so an object of this class is never destroyed.
class Deployment {
public:
    struct Options {
        std::string command;
        std::string folder; // for settings and logs
        int daemons = 3;
        int workers = 6;
        RunPlanner planner = [](const std::string&) { return RunPlan {}; };
    };

    explicit Deployment(const Options&);

    // Starts the daemons and waits until all are ready and a submitted job has completed. Returns false if
    // that takes too long.
    bool start(Record&);
    // Kills the daemons that still run.
    void stop();

    // The operator's next version has one more route of the service.
    void addRoute(const std::string& path);
    std::vector<RunRecord> runs();

    Store store;
    std::vector<std::unique_ptr<Relay>> relays; // from each daemon to the store
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Daemon>> daemons;

private:
    Json configuration() const;

    std::vector<std::string> m_paths;
    int m_version = 1;
};

constexpr const char* hostName = "scales.example";
constexpr const char* pathPrefix = "/tare/";
constexpr const char* apiKey = "key-of-the-growers";

// A new id of a job.
std::string newJobId();
// The body of a job with one small task.
std::string smallJob(const std::string& spec);
// The body of a job with this many small tasks that run until it is cancelled.
std::string servingJob(const std::string& spec, int tasks);
std::vector<std::string> callerHeaders();
// Waits until the job has the state, asking all daemons in turn.
bool waitForState(const Deployment&, const std::string& job, const std::string& state, int timeoutMs);

} // namespace review
