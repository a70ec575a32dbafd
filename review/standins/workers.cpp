#include "workers.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iterator>

namespace review {

namespace {

constexpr std::int64_t percentOfAll = 100;
constexpr int tickMs = 5;

// A subtask's name is JOB.OCCURRENCE.STEP.INDEX.
std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }

int stepOf(const std::string& task)
{
    const std::size_t index = task.rfind('.');
    const std::size_t step = task.rfind('.', index - 1);
    return std::atoi(task.c_str() + step + 1);
}

bool fits(const WorkerShape& need, const WorkerShape& room)
{
    return need.cpu <= room.cpu && need.memMb <= room.memMb && need.gpu <= room.gpu;
}

void take(WorkerShape& room, const WorkerShape& need, int sign)
{
    room.cpu -= sign * need.cpu;
    room.memMb -= sign * need.memMb;
    room.gpu -= sign * need.gpu;
}

// From -most to most, always the same for a subtask.
std::int64_t unevennessOf(const std::string& task, int most)
{
    const auto spread = static_cast<std::size_t>(2 * most + 1);
    return static_cast<std::int64_t>(std::hash<std::string> {}(task) % spread) - most;
}

std::string rackName(int rack) { return "r1-" + std::to_string(rack); }

} // namespace

void RunLedger::describe(const std::string& job, int step, SubtaskShape shape)
{
    const std::lock_guard lock(m_mutex);
    m_shapes[job + "." + std::to_string(step)] = shape;
}

std::optional<SubtaskShape> RunLedger::find(const std::string& task) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_shapes.find(jobOf(task) + "." + std::to_string(stepOf(task)));
    return found == m_shapes.end() ? std::nullopt : std::optional(found->second);
}

void RunLedger::recordRunsOf(const std::string& job)
{
    const std::lock_guard lock(m_mutex);
    m_isRecorded[job] = true;
}

void RunLedger::started(const std::string& task, int run, const std::string& worker)
{
    const std::lock_guard lock(m_mutex);
    std::map<int, std::string>& active = m_active[task];
    for (const auto& [other, where] : active) {
        m_doubleRuns.push_back(task + ": run " + std::to_string(run) + " starts on " + worker + " while run "
            + std::to_string(other) + " runs on " + where);
        m_record.write("RUNS TWICE " + m_doubleRuns.back());
    }
    active[run] = worker;
    ++m_running;
    ++m_started[jobOf(task)];
    if (m_isRecorded[jobOf(task)])
        m_record.write("worker " + worker + ": started " + task + " run " + std::to_string(run));
}

void RunLedger::ended(const std::string& task, int run, const std::string& worker, const std::string& how)
{
    const std::lock_guard lock(m_mutex);
    m_active[task].erase(run);
    --m_running;
    if (how == "done")
        ++m_done[jobOf(task)];
    if (m_isRecorded[jobOf(task)])
        m_record.write("worker " + worker + ": ended " + task + " run " + std::to_string(run) + " " + how);
}

int RunLedger::runningOf(const std::string& job) const
{
    const std::lock_guard lock(m_mutex);
    int count = 0;
    for (const auto& [task, runs] : m_active) {
        if (jobOf(task) == job)
            count += static_cast<int>(runs.size());
    }
    return count;
}

int RunLedger::startedOf(const std::string& job) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_started.find(job);
    return found == m_started.end() ? 0 : found->second;
}

int RunLedger::startedBetween(const std::string& first, const std::string& end) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(std::distance(m_started.lower_bound(first), m_started.lower_bound(end)));
}

int RunLedger::doneOf(const std::string& job) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_done.find(job);
    return found == m_done.end() ? 0 : found->second;
}

int RunLedger::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_running;
}

std::vector<std::string> RunLedger::doubleRuns() const
{
    const std::lock_guard lock(m_mutex);
    return m_doubleRuns;
}

Worker::Worker(std::string id, int rack, std::string service, WorkerShape shape, WorkerLimits limits,
    Store& store, RunLedger& ledger)
    : m_id(std::move(id))
    , m_rack(rackName(rack))
    , m_service(std::move(service))
    , m_shape(shape)
    , m_limits(limits)
    , m_store(store)
    , m_ledger(ledger)
    , m_free(shape)
{
    m_server = std::make_unique<HttpServer>([this](const HttpMessage& request) { return handle(request); });
}

Worker::~Worker()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_hasEnd.notify_all();
    }
    m_server.reset();
}

void Worker::beat()
{
    Json entry;
    {
        const std::lock_guard lock(m_mutex);
        entry = { { "service", m_service }, { "address", m_server->address() }, { "zone", "steyr-north" },
            { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "coldRemainingMs", 0 },
            { "capacity", { { "cpu", m_shape.cpu }, { "memMb", m_shape.memMb }, { "gpu", m_shape.gpu } } },
            { "labels", Json::array({ "a", m_rack }) }, { "born", m_bornMs }, { "clockMs", clock() },
            { "seq", ++m_sequence } };
    }
    m_store.put("servers", m_id, entry);
}

double Worker::shareInUse() const
{
    const std::lock_guard lock(m_mutex);
    const auto share = [](std::int64_t free, std::int64_t whole) {
        return 1 - static_cast<double>(free) / static_cast<double>(whole);
    };
    return std::max({ share(m_free.cpu, m_shape.cpu), share(m_free.memMb, m_shape.memMb),
        share(m_free.gpu, m_shape.gpu) });
}

// Work that is done, with that of earlier runs that the checkpoint holds.
std::int64_t Worker::workOf(const Run& run) const
{
    const std::int64_t restore = run.restoredWorkMs ? m_limits.restoreMs : 0;
    return run.restoredWorkMs + std::max<std::int64_t>(clock() - run.startedMs - restore, 0);
}

int Worker::percentOf(const Run& run) const
{
    if (!run.shape.workMs)
        return 0;
    return static_cast<int>(std::min(workOf(run) * percentOfAll / run.shape.workMs, percentOfAll - 1));
}

// 16 hexadecimal digits: the work that it holds, in ms, and a number that belongs to the subtask.
std::string Worker::checkpointOf(const std::string& task, const Run& run) const
{
    const std::int64_t held = workOf(run) / m_limits.checkpointMs * m_limits.checkpointMs;
    if (!run.shape.savesCheckpoints || held <= run.restoredWorkMs)
        return run.restoredCheckpoint;
    char text[17];
    std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(held),
        static_cast<unsigned>(std::hash<std::string> {}(task)));
    return text;
}

void Worker::end(const std::string& task, const std::string& how)
{
    const Run run = m_runs.at(task);
    const std::string checkpoint = checkpointOf(task, run);
    m_runs.erase(task);
    take(m_free, run.shape.need, -1);
    m_lastEnded[task] = std::max(m_lastEnded[task], run.run);
    m_ends.push_back({ ++m_lastEnd, task, run.run, how, checkpoint });
    m_ledger.ended(task, run.run, m_id, how);
    m_hasEnd.notify_all();
}

void Worker::tick()
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, run] : m_runs) {
        if (clock() > m_deadlineMs)
            ends.emplace_back(task, "lapsed");
        else if (run.stopsAtMs && clock() >= *run.stopsAtMs)
            ends.emplace_back(task, "stopped");
        else if (workOf(run) >= run.shape.workMs)
            ends.emplace_back(task, "done");
    }
    for (const auto& [task, how] : ends)
        end(task, how);
}

HttpMessage Worker::refuse(const char* reason) const
{
    return jsonAnswer(409, Json { { "clockMs", clock() }, { "reason", reason } }.dump());
}

bool Worker::takeToken(const Json& call)
{
    const auto token = call.value("fencingToken", std::uint64_t { 0 });
    if (token < m_token)
        return false;
    m_token = token;
    return true;
}

void Worker::extendLease(const Json& call)
{
    if (!call.contains("deadlineMs"))
        return;
    const std::int64_t latest = clock() + m_limits.maxHoldMs;
    m_deadlineMs = std::max(m_deadlineMs, std::min(call["deadlineMs"].get<std::int64_t>(), latest));
}

HttpMessage Worker::handle(const HttpMessage& request)
{
    const auto target = request.headers.find("target-instance");
    if (target != request.headers.end() && target->second != m_id)
        return jsonAnswer(421, "{}");
    try {
        const Json call = request.body.empty() ? Json::object() : Json::parse(request.body);
        std::unique_lock lock(m_mutex);
        if (request.path == "/api/run-start")
            return start(call);
        if (request.path == "/api/run-stop")
            return stop(call);
        if (request.path == "/api/hold")
            return hold(call, lock);
    } catch (const std::exception& error) {
        return jsonAnswer(400, Json { { "error", error.what() } }.dump());
    }
    return jsonAnswer(404, "{}");
}

HttpMessage Worker::start(const Json& call)
{
    const auto task = call.at("task").get<std::string>();
    const int run = call.at("run").get<int>();
    if (!takeToken(call))
        return refuse("fence");
    auto shape = m_ledger.find(task);
    if (!shape)
        return jsonAnswer(400, Json { { "clockMs", clock() }, { "error", "unknown subtask" } }.dump());
    const auto present = m_runs.find(task);
    if (present != m_runs.end() && present->second.run == run) {
        extendLease(call);
        return jsonAnswer(200, Json { { "clockMs", clock() } }.dump());
    }
    if (call.at("deadlineMs").get<std::int64_t>() <= clock())
        return refuse("late");
    extendLease(call);
    const auto ended = m_lastEnded.find(task);
    if (present != m_runs.end() || (ended != m_lastEnded.end() && run <= ended->second))
        return refuse("old");
    if (!fits(shape->need, m_free))
        return refuse("room");
    if (!shape->dataRack.empty() && shape->dataRack != m_rack)
        shape->workMs *= m_limits.farFactor;
    shape->workMs += shape->workMs * unevennessOf(task, shape->unevenPercent) / percentOfAll;
    take(m_free, shape->need, 1);
    const auto checkpoint = call.value("lastCheckpoint", std::string());
    const std::int64_t held
        = checkpoint.empty() ? 0 : std::strtoll(checkpoint.substr(0, 8).c_str(), nullptr, 16);
    m_runs[task] = { run, clock(), held, checkpoint, *shape, std::nullopt };
    m_ledger.started(task, run, m_id);
    return jsonAnswer(200, Json { { "clockMs", clock() } }.dump());
}

HttpMessage Worker::stop(const Json& call)
{
    const auto task = call.at("task").get<std::string>();
    const int run = call.at("run").get<int>();
    if (!takeToken(call))
        return refuse("fence");
    const auto present = m_runs.find(task);
    if (present != m_runs.end() && present->second.run <= run) {
        if (!present->second.stopsAtMs)
            present->second.stopsAtMs = clock() + m_limits.stopMs;
    } else {
        m_lastEnded[task] = std::max(m_lastEnded[task], run);
    }
    return jsonAnswer(200, Json { { "clockMs", clock() } }.dump());
}

HttpMessage Worker::hold(const Json& call, std::unique_lock<std::mutex>& lock)
{
    if (!takeToken(call))
        return refuse("fence");
    const auto cursor = call.value("ackCursor", std::int64_t { 0 });
    m_ends.erase(std::remove_if(m_ends.begin(), m_ends.end(),
                     [cursor](const End& each) { return each.number <= cursor; }),
        m_ends.end());
    extendLease(call);
    const std::chrono::milliseconds wait(std::min<std::int64_t>(call.value("waitMs", 0), 2'000));
    m_hasEnd.wait_for(lock, wait, [this] { return !m_ends.empty() || m_isStopping; });
    Json active = Json::array();
    for (const auto& [task, run] : m_runs)
        active.push_back(
            Json::array({ task, run.run, checkpointOf(task, run), percentOf(run), run.shape.need.cpu }));
    Json ended = Json::array();
    constexpr std::size_t endsPerAnswer = 500;
    for (const End& each : m_ends) {
        if (ended.size() == endsPerAnswer)
            break;
        ended.push_back(Json::array({ each.number, each.task, each.run, each.how, each.checkpoint }));
    }
    return jsonAnswer(200,
        Json { { "clockMs", clock() }, { "born", m_bornMs }, { "active", std::move(active) },
            { "ended", std::move(ended) } }
            .dump());
}

WorkerFleet::WorkerFleet(int count, int perRack, const std::string& service, WorkerShape shape,
    WorkerLimits limits, Store& store, RunLedger& ledger)
{
    for (int i = 0; i < count; ++i)
        m_workers.push_back(std::make_unique<Worker>(
            "i-" + std::to_string(10'000'000 + i), i / perRack, service, shape, limits, store, ledger));
    m_driver = std::thread([this, heartbeat = limits.heartbeatMs] { drive(heartbeat); });
}

WorkerFleet::~WorkerFleet()
{
    m_isStopping = true;
    m_driver.join();
}

double WorkerFleet::shareInUse() const
{
    double sum = 0;
    for (const auto& worker : m_workers)
        sum += worker->shareInUse();
    return sum / static_cast<double>(m_workers.size());
}

void WorkerFleet::drive(std::int64_t heartbeatMs)
{
    std::vector<std::int64_t> beatAt;
    const auto count = static_cast<std::int64_t>(m_workers.size());
    for (std::int64_t i = 0; i < count; ++i) {
        m_workers[static_cast<std::size_t>(i)]->beat();
        beatAt.push_back(steadyMs() + heartbeatMs * (i + 1) / count);
    }
    while (!m_isStopping) {
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            m_workers[i]->tick();
            if (steadyMs() < beatAt[i])
                continue;
            m_workers[i]->beat();
            beatAt[i] = steadyMs() + heartbeatMs;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(tickMs));
    }
}

} // namespace review
