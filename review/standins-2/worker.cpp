#include "worker.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace review {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds heartbeatInterval { 1'500 };
constexpr milliseconds startupTime { 200 };
constexpr std::int64_t maxHoldMs = 10'000;
constexpr std::int64_t cpuMillicores = 128'000;
constexpr std::int64_t memoryMb = 262'144;
constexpr std::int64_t accelerators = 8;
constexpr std::size_t maxRuns = 8;

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// A serving task is at work after its startup; another one shows how much of its work is done.
std::int64_t percentOf(const RunRecord& record, milliseconds worked)
{
    if (record.plan.isServing)
        return worked >= startupTime ? 100 : 0;
    return std::min<std::int64_t>(100 * worked.count() / record.plan.time.count(), 99);
}

} // namespace

Worker::Worker(Store& store, const std::string& ip, Place place, RunPlanner planner)
    : m_store(store)
    , m_place(std::move(place))
    , m_planner(std::move(planner))
    , m_born(unixMs())
    , m_server(std::make_unique<Server>(ip, [this](const Request& request) { return handle(request); }))
{
    std::thread([this] {
        while (true) {
            beat();
            std::this_thread::sleep_for(heartbeatInterval);
        }
    }).detach();
    std::thread([this] {
        while (true) {
            std::this_thread::sleep_for(milliseconds(5));
            const std::lock_guard lock(m_mutex);
            endDueRuns();
        }
    }).detach();
}

std::vector<RunRecord> Worker::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::int64_t Worker::clock() const
{
    const auto age = std::chrono::steady_clock::now() - m_startedAt;
    return 1'000 + std::chrono::duration_cast<milliseconds>(age).count();
}

void Worker::beat()
{
    const std::lock_guard lock(m_mutex);
    m_store.put("servers", m_place.id,
        { { "service", m_place.service }, { "address", m_server->address() }, { "zone", m_place.zone },
            { "version", "v1" }, { "slots", maxRuns }, { "state", "ready" }, { "coldRemainingMs", 0 },
            { "capacity", { { "cpu", cpuMillicores }, { "memMb", memoryMb }, { "gpu", accelerators } } },
            { "labels", { "a", m_place.rack } }, { "clockMs", clock() }, { "born", m_born },
            { "seq", ++m_beats } });
}

Response Worker::answer(int status, Json body) const
{
    body["clockMs"] = clock();
    body["born"] = m_born;
    return { status, body.dump() };
}

Response Worker::handle(const Request& request)
{
    const auto instance = request.headers.find("target-instance");
    if (instance != request.headers.end() && instance->second != m_place.id)
        return { 421, "{}" };
    if (request.path == "/health")
        return { 200, "{}" };
    const Json body = Json::parse(request.body);
    if (request.path == "/api/run-start")
        return start(body);
    if (request.path == "/api/run-stop")
        return stop(body);
    if (request.path == "/api/hold")
        return hold(body);
    return { 404, "{}" };
}

bool Worker::takeToken(const Json& body)
{
    const std::uint64_t token = body.value("fencingToken", std::uint64_t { 0 });
    if (token < m_token)
        return false;
    m_token = token;
    return true;
}

// The lease never shortens and is never longer than the platform allows.
void Worker::extendLease(const Json& body)
{
    const std::int64_t until = body.value("deadlineMs", std::int64_t { 0 });
    m_leaseUntil = std::max(m_leaseUntil, std::min(until, clock() + maxHoldMs));
}

Response Worker::start(const Json& body)
{
    const std::lock_guard lock(m_mutex);
    endDueRuns();
    if (!takeToken(body))
        return answer(409, { { "reason", "fence" } });
    const std::string task = body.at("task");
    const int run = body.at("run");
    const auto isActive = [](const RunRecord& record) { return record.end.empty(); };
    for (const RunRecord& record : m_runs) {
        if (isActive(record) && record.task == task && record.run == run)
            return answer(200, Json::object());
    }
    if (body.value("deadlineMs", std::int64_t { 0 }) <= clock())
        return answer(409, { { "reason", "late" } });
    extendLease(body);
    const auto highest = m_highestRuns.find(task);
    if (highest != m_highestRuns.end() && run <= highest->second)
        return answer(409, { { "reason", "old" } });
    if (static_cast<std::size_t>(std::count_if(m_runs.begin(), m_runs.end(), isActive)) >= maxRuns)
        return answer(409, { { "reason", "room" } });
    const std::string spec = body.value("spec", "");
    m_runs.push_back(
        { m_place.id, task, run, spec, std::chrono::steady_clock::now(), {}, {}, m_planner(spec) });
    return answer(200, Json::object());
}

Response Worker::stop(const Json& body)
{
    const std::lock_guard lock(m_mutex);
    endDueRuns();
    if (!takeToken(body))
        return answer(409, { { "reason", "fence" } });
    const std::string task = body.at("task");
    const int run = body.at("run");
    for (std::size_t i = 0; i < m_runs.size(); ++i) {
        if (m_runs[i].end.empty() && m_runs[i].task == task && m_runs[i].run == run)
            end(i, "stopped");
    }
    int& highest = m_highestRuns[task];
    highest = std::max(highest, run);
    return answer(200, Json::object());
}

Response Worker::hold(const Json& body)
{
    std::unique_lock lock(m_mutex);
    endDueRuns();
    if (!takeToken(body))
        return answer(409, { { "reason", "fence" } });
    const std::uint64_t cursor = body.value("ackCursor", std::uint64_t { 0 });
    std::erase_if(m_ended, [cursor](const Ended& ended) { return ended.number <= cursor; });
    extendLease(body);
    const milliseconds wait(std::min(body.value("waitMs", 0), 2'000));
    m_hasEnded.wait_for(lock, wait, [this] { return !m_ended.empty(); });
    Json active = Json::array();
    for (const RunRecord& record : m_runs) {
        if (!record.end.empty())
            continue;
        const auto worked
            = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - record.startedAt);
        active.push_back({ record.task, record.run, "", percentOf(record, worked), 1 });
    }
    Json ended = Json::array();
    for (const Ended& each : m_ended) {
        const RunRecord& record = m_runs[each.run];
        ended.push_back({ each.number, record.task, record.run, record.end, "" });
    }
    return answer(200, { { "active", std::move(active) }, { "ended", std::move(ended) } });
}

void Worker::endDueRuns()
{
    const auto now = std::chrono::steady_clock::now();
    const bool hasLapsed = clock() > m_leaseUntil;
    for (std::size_t i = 0; i < m_runs.size(); ++i) {
        if (!m_runs[i].end.empty())
            continue;
        if (hasLapsed)
            end(i, "lapsed");
        else if (now >= m_runs[i].startedAt + m_runs[i].plan.time)
            end(i, m_runs[i].plan.end);
    }
}

void Worker::end(std::size_t run, const std::string& how)
{
    RunRecord& record = m_runs[run];
    record.end = how;
    record.endedAt = std::chrono::steady_clock::now();
    int& highest = m_highestRuns[record.task];
    highest = std::max(highest, record.run);
    m_ended.push_back({ ++m_lastEnd, run });
    m_hasEnded.notify_all();
}

} // namespace review
