#pragma once

#include "http.h"
#include "store.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

// How a run goes on: it works for some time and then ends.
struct RunPlan {
    std::chrono::milliseconds time { 400 };
    std::string end = "done";
    bool isServing = false; // it is at work, at 100 percent, soon after its start
};

using RunPlanner = std::function<RunPlan(const std::string& spec)>;

// What a worker has started, and how that ended.
struct RunRecord {
    std::string worker;
    std::string task;
    int run = 0;
    std::string spec;
    std::chrono::steady_clock::time_point startedAt;
    std::chrono::steady_clock::time_point endedAt {};
    std::string end; // empty while it runs
    RunPlan plan;
};

// One lifetime of a worker: keeps its registry entry, takes orders and runs tasks.
class Worker {
public:
    struct Place {
        std::string id;
        std::string service;
        std::string zone;
        std::string rack;
    };

    Worker(Store&, const std::string& ip, Place, RunPlanner);

    // All runs of this lifetime, in the order of their starts.
    std::vector<RunRecord> runs();

private:
    struct Ended {
        std::uint64_t number = 0;
        std::size_t run = 0; // index into m_runs
    };

    Response handle(const Request&);
    Response start(const Json& body);
    Response stop(const Json& body);
    Response hold(const Json& body);
    bool takeToken(const Json& body);
    void extendLease(const Json& body);
    void endDueRuns();
    void end(std::size_t run, const std::string& how);
    Response answer(int status, Json body) const;
    std::int64_t clock() const;
    Json entry();
    void beat();

    Store& m_store;
    const Place m_place;
    const RunPlanner m_planner;
    const std::int64_t m_born;
    const std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    std::mutex m_mutex;
    std::condition_variable m_hasEnded;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseUntil = 0; // on its own clock
    std::vector<RunRecord> m_runs;
    std::map<std::string, int> m_highestRuns; // by task: stopped or ended here
    std::vector<Ended> m_ended; // not acknowledged yet
    std::uint64_t m_lastEnd = 0;
    int m_beats = 0;
    std::unique_ptr<Server> m_server;
};

} // namespace review
