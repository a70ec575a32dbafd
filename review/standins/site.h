#pragma once

#include "http.h"
#include "record.h"
#include "store.h"
#include "workers.h"

#include <csignal>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace review {

// Exit codes of a case's script.
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCannotRun = 2;

// Bounds that the settings state, as on the sheet of steyrtal-orders.
struct SiteBounds {
    std::int64_t maxHoldMs = 6'000;
    std::int64_t heartbeatMs = 1'500;
    std::int64_t drainTimeoutMs = 2'000;
    std::int64_t stopTimeoutMs = 200;
    std::int64_t finishMs = 14'000; // finish_s
    std::int64_t visibleMs = 3'000; // visible_ms
    int linkMbps = 1'000;
    std::int64_t reclaimMs = 2'700;
};

// The daemons of the deploy file, as processes on loopback addresses of their own.
class Daemons {
public:
    // `program` with `arguments` is the command of the deploy file.
    Daemons(
        Record&, std::string folder, std::vector<std::string> command, const Store&, SiteBounds, int count);
    ~Daemons();
    Daemons(const Daemons&) = delete;
    Daemons& operator=(const Daemons&) = delete;

    int count() const { return static_cast<int>(m_daemons.size()); }
    std::string frontOf(int daemon) const;
    bool isReady(int daemon) const;
    // Index of the daemon that has logged last that it leads, and hasn't logged the loss; -1: none.
    int leader() const;
    void signal(int daemon, int number);
    void start(int daemon);
    // Whether a daemon has ended that was not told to.
    bool hasEndedByItself() const;
    std::vector<std::string> logLines(int daemon) const;
    // Copies the daemons' log lines with one of these events into the record.
    void recordEvents(const std::vector<std::string>& names, std::size_t mostPerDaemon) const;

private:
    struct Daemon {
        std::string ip;
        std::string settings;
        std::string log;
        pid_t process = 0;
    };

    std::string settingsOf(const Daemon&, int index) const;

    Record& m_record;
    std::string m_folder;
    std::vector<std::string> m_command;
    const Store& m_store;
    SiteBounds m_bounds;
    std::vector<Daemon> m_daemons;
};

// One step of a job, as a client describes it and as the workers run it.
struct StepShape {
    int count = 1;
    SubtaskShape subtask;
    std::int64_t estimateMs = 0;
    bool isGang = false;
    int antiAffinity = 0;
};

// Each step comes after the one before.
struct JobShape {
    int priority = 0;
    std::vector<StepShape> steps;
    int repeats = 0;
    std::int64_t intervalMs = 0; // the first occurrence is due at once
    std::size_t specBytes = 0; // at least
    int tenant = 0; // 0 or 1
};

// A small deployment: the store, the workers of one service, the daemons, and clients of two tenants.
class Site {
public:
    struct Shape {
        int daemons = 3;
        int workers = 48;
        int workersPerRack = 8;
        WorkerShape worker;
        SiteBounds bounds;
        StoreLimits store;
    };

    // Reads the case's folder from CASE and the temporary folder from WORK; the working folder is the
    // repository.
    explicit Site(const Shape&);

    Record& record() { return m_record; }
    Store& store() { return m_store; }
    RunLedger& ledger() { return m_ledger; }
    WorkerFleet& fleet() { return *m_fleet; }
    Daemons& daemons() { return *m_daemons; }

    // Whether the daemons are ready and one leads within the time.
    bool awaitReady(int timeoutMs);
    // Queues by priority, 0 to 2.
    std::string pathOf(int priority, const std::string& job) const;
    // Submits a job. Retries like a client after no answer, 502 or 504, at the next daemon. Returns the last
    // status.
    int submit(const std::string& job, const JobShape&, int daemon = 0);
    // The state that a GET returns; empty if there was no answer with a state.
    std::string stateOf(const std::string& job, int priority, int daemon = 0);
    // The queue's `queuedCount` as a daemon states it; -1: no answer.
    int queuedCountOf(int priority, int daemon);
    // Whether the LOST rule is broken for one of the jobs, all of them accepted: it is not known or gets no
    // answer, or for 3 s it has nothing running, though it has not ended, its turn has come, there is room
    // for it twice over, and under half of the service's capacity is in use. To be called finish_s after the
    // end of the traffic.
    bool isOneLost(const std::vector<std::pair<std::string, int>>& jobsAndPriorities);
    // Waits until the condition holds; returns whether it does.
    static bool await(int timeoutMs, const std::function<bool()>& condition);
    static void sleepMs(std::int64_t);

private:
    Shape m_shape;
    Record m_record;
    Store m_store;
    RunLedger m_ledger;
    std::unique_ptr<WorkerFleet> m_fleet;
    std::unique_ptr<Daemons> m_daemons;
};

// Whether the case plays its disruption: TROUBLE is not 0.
bool hasTrouble();

// Runs a case and turns exceptions into exitCannotRun.
int runCase(const std::function<int()>&);

} // namespace review
