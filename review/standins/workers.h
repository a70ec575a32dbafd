#pragma once

#include "http.h"
#include "record.h"
#include "store.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct WorkerShape {
    std::int64_t cpu = 128'000;
    std::int64_t memMb = 524'288;
    std::int64_t gpu = 8;
};

// What a stand-in worker needs to know of a subtask that a client's job describes. Workers are told only the
// subtask's name and the job's `spec`, so the client registers its jobs here.
struct SubtaskShape {
    WorkerShape need;
    std::int64_t workMs = 0;
    bool savesCheckpoints = false;
    std::string dataRack {}; // on any other rack, the work takes farFactor times as long; empty: on none
    int unevenPercent = 0; // by how much the work of single subtasks is more or less
};

// All subtasks that run, over all workers. Sees when one subtask runs twice at the same time.
class RunLedger {
public:
    explicit RunLedger(Record& record)
        : m_record(record)
    {
    }

    // Registers a step of a job; `job` is its id.
    void describe(const std::string& job, int step, SubtaskShape);
    std::optional<SubtaskShape> find(const std::string& task) const;

    void started(const std::string& task, int run, const std::string& worker);
    void ended(const std::string& task, int run, const std::string& worker, const std::string& how);

    // Subtasks of the job that run now.
    int runningOf(const std::string& job) const;
    // Subtasks of the job that have ever been started.
    int startedOf(const std::string& job) const;
    // Jobs with a started subtask whose ids are from `first` up to, but not including, `end`.
    int startedBetween(const std::string& first, const std::string& end) const;
    int doneOf(const std::string& job) const;
    int running() const;
    // Each describes two runs of one subtask at the same time.
    std::vector<std::string> doubleRuns() const;
    // Lines about single subtasks go into the record only for these jobs.
    void recordRunsOf(const std::string& job);

private:
    Record& m_record;
    mutable std::mutex m_mutex;
    std::map<std::string, SubtaskShape> m_shapes; // by "job.step"
    std::map<std::string, std::map<int, std::string>> m_active; // worker by subtask and run
    std::map<std::string, int> m_started; // by job
    std::map<std::string, int> m_done; // by job
    std::map<std::string, bool> m_isRecorded; // by job
    std::vector<std::string> m_doubleRuns;
    int m_running = 0;
};

struct WorkerLimits {
    std::int64_t maxHoldMs = 6'000;
    std::int64_t stopMs = 100; // below stopTimeoutMs
    std::int64_t checkpointMs = 2'000; // work between two checkpoints
    std::int64_t restoreMs = 600; // before a run that resumes works again
    std::int64_t farFactor = 3;
    std::int64_t heartbeatMs = 1'500;
};

// One worker: runs subtasks under a lease, and registers itself in the store.
class Worker {
public:
    Worker(std::string id, int rack, std::string service, WorkerShape, WorkerLimits, Store&, RunLedger&);
    ~Worker();

    const std::string& id() const { return m_id; }
    // Writes the entry in the registry.
    void beat();
    // Share of the resource of which most is in use.
    double shareInUse() const;
    // Ends what is due: runs, stops and the lease.
    void tick();

private:
    struct Run {
        int run = 0;
        std::int64_t startedMs = 0; // on the worker's clock
        std::int64_t restoredWorkMs = 0; // work of earlier runs that the checkpoint holds
        std::string restoredCheckpoint; // empty: none
        SubtaskShape shape;
        std::optional<std::int64_t> stopsAtMs;
    };
    struct End {
        std::int64_t number = 0;
        std::string task;
        int run = 0;
        std::string how;
        std::string checkpoint;
    };

    std::int64_t clock() const { return steadyMs() - m_startMs + 1; }
    HttpMessage handle(const HttpMessage&);
    HttpMessage start(const Json&);
    HttpMessage stop(const Json&);
    HttpMessage hold(const Json&, std::unique_lock<std::mutex>&);
    bool takeToken(const Json&);
    void extendLease(const Json&);
    void end(const std::string& task, const std::string& how);
    std::int64_t workOf(const Run&) const;
    int percentOf(const Run&) const;
    std::string checkpointOf(const std::string& task, const Run&) const;
    HttpMessage refuse(const char* reason) const;

    std::string m_id;
    std::string m_rack;
    std::string m_service;
    WorkerShape m_shape;
    WorkerLimits m_limits;
    Store& m_store;
    RunLedger& m_ledger;
    std::int64_t m_startMs = steadyMs();
    std::int64_t m_bornMs = unixMs();
    mutable std::mutex m_mutex;
    std::condition_variable m_hasEnd;
    bool m_isStopping = false;
    std::uint64_t m_token = 0;
    std::int64_t m_deadlineMs = 0;
    WorkerShape m_free;
    std::map<std::string, Run> m_runs;
    std::map<std::string, int> m_lastEnded; // highest run stopped or ended, by subtask
    std::vector<End> m_ends; // not acknowledged yet
    std::int64_t m_lastEnd = 0;
    std::int64_t m_sequence = 0;
    std::unique_ptr<HttpServer> m_server;
};

// The workers of one service, and the threads that drive them.
class WorkerFleet {
public:
    // `perRack` workers share a rack.
    WorkerFleet(
        int count, int perRack, const std::string& service, WorkerShape, WorkerLimits, Store&, RunLedger&);
    ~WorkerFleet();

    std::vector<std::unique_ptr<Worker>>& workers() { return m_workers; }
    // Mean over all workers.
    double shareInUse() const;

private:
    void drive(std::int64_t heartbeatMs);

    std::vector<std::unique_ptr<Worker>> m_workers;
    std::atomic<bool> m_isStopping { false };
    std::thread m_driver;
};

} // namespace review
