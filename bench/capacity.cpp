// Measures the control cost of the real programs against the stand-ins. Run it through scripts/capacity.
#include "capacity_processes.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace anvilmoor::capacity;
using Json = nlohmann::ordered_json;
using Points = std::vector<std::pair<double, double>>;

struct Plan {
    bool isQuick = false;
    std::vector<int> workers { 48, 200, 1'000, 1'727, 4'000 };
    std::vector<int> tasks { 0, 500, 2'000, 5'000 };
    std::vector<int> daemons { 2, 6, 20, 21, 44, 60 };
    int seconds = 10;
    int changes = 10;
    int claims = 20;
};

constexpr int designZoneWorkers = 1'727;
constexpr int acceleratorsPerWorker = 8;

std::string directory; // for the files of this run

void print(const Json& line)
{
    std::printf("%s\n", line.dump().c_str());
    std::fflush(stdout);
}

// Prints a least-squares fit; the largest residual shows how far the growth is from linear.
void printFit(const std::string& name, const std::string& per, const Points& points)
{
    if (points.size() < 2)
        return;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const auto& [x, y] : points) {
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    const auto n = static_cast<double>(points.size());
    const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const double intercept = (sy - slope * sx) / n;
    double residual = 0;
    double largest = 0;
    for (const auto& [x, y] : points) {
        residual = std::max(residual, std::abs(y - intercept - slope * x));
        largest = std::max(largest, std::abs(y));
    }
    print({ { "fit", name }, { "per", per }, { "points", points.size() }, { "slope", slope },
        { "intercept", intercept }, { "largest_residual", residual },
        { "is_linear_within_10_percent", residual <= 0.1 * largest } });
}

std::string zoneName(int zone) { return fmt::format("z{}", zone); }

// Writes a declaration with racks of 8 workers; the last rack of a zone has the remaining workers.
std::string writeDeclaration(const std::string& name, int zones, int workersPerZone, int variant = 0)
{
    std::string text = fmt::format("deployment = \"capacity\"\n[worker]\ncores = 128\nmemory_gb = 512\n"
                                   "accelerators = 8\nidle_db = 10.0\naccelerator_db = 10.0\n"
                                   "throttled_accelerator_db = 5.0\n[room]\nlimit_db = 90.0\n"
                                   "lesson_hours = []\n[services.planning]\nslots_per_endpoint = {}\n"
                                   "connections_per_endpoint = 64\n[services.planning.operations.quote]\n"
                                   "idempotent = true\npriority = 5\ndeadline = \"5s\"\n",
        8 + variant % 2);
    for (int zone = 1; zone <= zones; ++zone) {
        text += fmt::format("[zones.{}]\nregion = \"r{}\"\ntime_zone = \"Europe/Vienna\"\nracks = [",
            zoneName(zone), zone % 4);
        for (int done = 0, rack = 0; done < workersPerZone; done += 8, ++rack)
            text += fmt::format("{}{{ id = \"z{}-r{}\", workers = {} }}", rack ? ", " : "", zone, rack,
                std::min(8, workersPerZone - done));
        text += "]\n";
    }
    text += "[accounts.bulk]\nshare = 1.0\naccelerator_quota = 200000\n";
    for (int account = 0; account < 65; ++account)
        text += fmt::format(
            "[accounts.team{}]\nshare = 1.0\naccelerator_quota = 4096\nguarantees = [{{ name = "
            "\"g\", zone = \"z1\", accelerators = {}, count = 1 }}]\n",
            account, account == 0 && workersPerZone >= 200 ? 64 : (account < 4 ? 8 : 1));
    std::string file = directory + "/" + name + ".toml";
    std::ofstream(file) << text;
    return file;
}

struct Cluster {
    Process platform;
    Process workers;
    std::vector<Process> daemons;
    std::vector<int> ports;
    std::vector<int> peerPorts;
    std::string declaration;

    std::string peers() const
    {
        std::string text;
        for (std::size_t i = 0; i < ports.size(); ++i)
            text += fmt::format("{}e{}@z1=127.0.0.1:{}", i ? "," : "", i + 1, peerPorts[i]);
        return text;
    }
    Process startDaemon(std::size_t i) const
    {
        return start("anvilmoor-entry",
            { fmt::format("--host=e{}", i + 1), "--zone=z1", fmt::format("--listen=127.0.0.1:{}", ports[i]),
                fmt::format("--peer-listen=127.0.0.1:{}", peerPorts[i]), "--peers=" + peers(),
                fmt::format("--platform=127.0.0.1:{}", platform.port),
                fmt::format("--workers-address=z1=127.0.0.1:{}", workers.port),
                fmt::format("--seed={}", i + 1) },
            directory, ports[i]);
    }
    void stop()
    {
        for (Process& daemon : daemons)
            end(daemon);
        end(workers);
        end(platform);
    }
};

std::string applyCommand(const Cluster& cluster, const std::string& file)
{
    return fmt::format("{} --entry=127.0.0.1:{} --output=json config apply {}", program("anvilmoorctl"),
        cluster.ports[0], file);
}

Json applyDeclaration(const Cluster& cluster, const std::string& file)
{
    const Json answer = Json::parse(runAndRead(applyCommand(cluster, file)), nullptr, false);
    return answer.is_discarded() ? Json::object() : answer;
}

Json site(const Cluster& cluster, std::size_t daemon)
{
    const Json answer
        = Json::parse(http(cluster.ports[daemon], "GET", "/v1/site?endpoints=false").body, nullptr, false);
    return answer.is_object() ? answer : Json::object();
}

Json holderEntry(const Cluster& cluster, std::size_t daemon)
{
    for (const Json& host : site(cluster, daemon).value("hosts", Json::array())) {
        if (host.value("held_token", std::uint64_t { 0 }) > 0 && host.contains("summary"))
            return host;
    }
    return Json::object();
}

bool waitFor(double seconds, const std::function<bool()>& isDone)
{
    const double limit = now() + seconds;
    while (now() < limit) {
        if (isDone())
            return true;
        pause(0.05);
    }
    return isDone();
}

Cluster startCluster(const std::string& name, int zones, int workersPerZone, int daemonCount)
{
    Cluster cluster;
    cluster.declaration = writeDeclaration(name, zones, workersPerZone);
    const std::string configuration = "--configuration=" + cluster.declaration;
    cluster.platform
        = start("anvilmoor-standin-platform", { "--listen=127.0.0.1:0", configuration }, directory, 0);
    cluster.workers = start(
        "anvilmoor-standin-workers", { "--listen=127.0.0.1:0", "--zone=z1", configuration }, directory, 0);
    for (int i = 0; i < daemonCount; ++i) {
        cluster.ports.push_back(freePort());
        cluster.peerPorts.push_back(freePort());
    }
    for (int i = 0; i < daemonCount; ++i)
        cluster.daemons.push_back(cluster.startDaemon(static_cast<std::size_t>(i)));
    waitFor(10, [&] { return http(cluster.ports[0], "GET", "/healthz").status == 200; });
    applyDeclaration(cluster, cluster.declaration);
    const bool isSettled = waitFor(30, [&] {
        return holderEntry(cluster, 0).value("summary", Json::object()).value("free_accelerators", 0)
            == workersPerZone * acceleratorsPerWorker;
    });
    if (!isSettled)
        print({ { "warning", "the zone did not settle within 30 s" }, { "cluster", name },
            { "site", holderEntry(cluster, 0) } });
    return cluster;
}

std::size_t holderIndex(const Cluster& cluster)
{
    for (std::size_t daemon = 0; daemon < cluster.daemons.size(); ++daemon) {
        if (!cluster.daemons[daemon].pid)
            continue;
        const std::string host = holderEntry(cluster, daemon).value("host", "");
        if (host.size() > 1)
            return static_cast<std::size_t>(std::atoi(host.c_str() + 1)) - 1;
    }
    return 0;
}

// Prints one JSON line: CPU time, memory and traffic of a daemon during a time window.
Json measure(
    const Cluster& cluster, std::size_t daemon, int seconds, const std::string& scenario, const Json& line)
{
    const Sample before = sample(cluster.daemons[daemon]);
    pause(seconds);
    const Sample after = sample(cluster.daemons[daemon]);
    const double time = after.time - before.time;
    Json result { { "measure", scenario } };
    result.update(line);
    result["seconds"] = time;
    result["cpu_ms_per_s"] = 1e3 * (after.cpuSeconds - before.cpuSeconds) / time;
    result["rss_kb"] = after.residentKb;
    double bytes = 0;
    for (const auto& [name, total] : after.traffic) {
        const auto found = before.traffic.find(name);
        const double rate = (total - (found == before.traffic.end() ? 0 : found->second)) / time;
        result[name] = std::round(rate * 10) / 10;
        if (name.ends_with("bytes_sent") || name.ends_with("bytes_received"))
            bytes += rate;
    }
    result["bytes_per_s"] = bytes;
    result["command"] = cluster.daemons[daemon].command;
    print(result);
    return result;
}

void fitAll(
    const std::string& scenario, const std::string& per, const std::vector<std::pair<double, Json>>& lines)
{
    std::map<std::string, Points> series;
    for (const auto& [x, line] : lines) {
        for (const auto& [name, value] : line.items()) {
            if (value.is_number() && name != "seconds" && name != per)
                series[name].push_back({ x, value.get<double>() });
        }
    }
    for (const auto& [name, points] : series) {
        if (points.size() == lines.size())
            printFit(fmt::format("{}.{}", scenario, name), per, points);
    }
}

void measureWorkers(const Plan& plan)
{
    std::vector<std::pair<double, Json>> lines;
    for (const int count : plan.workers) {
        Cluster cluster = startCluster(fmt::format("workers{}", count), 1, count, 1);
        pause(3);
        lines.emplace_back(
            count, measure(cluster, 0, plan.seconds, "idle_by_workers", { { "workers", count } }));
        cluster.stop();
    }
    fitAll("idle_by_workers", "workers", lines);
}

std::string submission(const std::string& account, const std::string& key, const std::string& jobClass,
    int accelerators, int priority)
{
    return Json {
        { "account", account }, { "key", key }, { "zone", "z1" }, { "class", jobClass },
        { "accelerators", accelerators }, { "priority", priority }, { "run_ms", 36'000'000 }
    }.dump();
}

int runningTasks(const Cluster& cluster, std::size_t daemon)
{
    return holderEntry(cluster, daemon).value("summary", Json::object()).value("running_tasks", 0);
}

void submitMany(const Cluster& cluster, std::size_t daemon, const std::string& prefix, int first, int last,
    int accelerators)
{
    std::vector<std::thread> threads;
    threads.reserve(16);
    for (int thread = 0; thread < 16; ++thread)
        threads.emplace_back([&, thread] {
            for (int i = first + thread; i < last; i += 16) {
                for (int attempt = 0; attempt < 20; ++attempt) {
                    const auto answer = http(cluster.ports[daemon], "POST", "/v1/jobs",
                        submission("bulk", fmt::format("{}{}", prefix, i), "borrowed", accelerators, 1));
                    if (answer.status >= 200 && answer.status < 300)
                        break;
                    if (attempt == 19)
                        std::fprintf(stderr, "job %d: %d %s\n", i, answer.status, answer.body.c_str());
                    pause(0.1);
                }
            }
        });
    for (std::thread& thread : threads)
        thread.join();
}

// Ends the holder with a signal and waits until the standby has recovered the zone. Then restarts the daemon.
Json measureHandOver(Cluster& cluster, std::size_t holder, int tasks, int signal)
{
    const std::size_t next = 1 - holder;
    const std::size_t before = countInLog(cluster.daemons[next], "zone.recovered");
    const std::size_t roleBefore = countInLog(cluster.daemons[next], "role.acquired");
    const Sample start = sample(cluster.daemons[next]);
    const double begin = now();
    end(cluster.daemons[holder], signal);
    double roleAt = 0;
    const bool isRecovered = waitFor(60, [&] {
        if (!roleAt && countInLog(cluster.daemons[next], "role.acquired") > roleBefore)
            roleAt = now();
        return countInLog(cluster.daemons[next], "zone.recovered") > before;
    });
    const double done = now();
    const bool isAllRunning = waitFor(60, [&] { return runningTasks(cluster, next) >= tasks; });
    Json line { { "measure", "hand_over" }, { "tasks", tasks }, { "signal", signal },
        { "recovered", isRecovered }, { "recovered_ms", 1e3 * (done - begin) },
        { "after_role_ms", roleAt > 0 ? 1e3 * (done - roleAt) : -1 }, { "all_running", isAllRunning },
        { "all_running_ms", 1e3 * (now() - begin) },
        { "cpu_ms", 1e3 * (sample(cluster.daemons[next]).cpuSeconds - start.cpuSeconds) } };
    print(line);
    cluster.daemons[holder] = cluster.startDaemon(holder);
    waitFor(10, [&] { return http(cluster.ports[holder], "GET", "/readyz").status == 200; });
    return line;
}

// The figures include the daemon's idle cost during the starts.
void addPerTask(Json& line, const Sample& before, const Sample& after, int tasks)
{
    if (!tasks)
        return;
    line["cpu_ms_per_task"] = 1e3 * (after.cpuSeconds - before.cpuSeconds) / tasks;
    for (const auto& [name, total] : after.traffic) {
        const auto found = before.traffic.find(name);
        line[name + "_per_task"] = (total - (found == before.traffic.end() ? 0 : found->second)) / tasks;
    }
}

void measureTasks(const Plan& plan)
{
    Cluster cluster = startCluster("tasks", 1, designZoneWorkers, 2);
    std::vector<std::pair<double, Json>> lines;
    std::vector<std::pair<double, Json>> standby;
    std::vector<std::pair<double, Json>> handOvers;
    int submitted = 0;
    for (const int count : plan.tasks) {
        const std::size_t holder = holderIndex(cluster);
        const Sample before = sample(cluster.daemons[holder]);
        const double begin = now();
        submitMany(cluster, holder, "t", submitted, count, 1);
        const double accepted = now();
        const bool isRunning = waitFor(60, [&] { return runningTasks(cluster, holder) >= count; });
        const double runningAt = now();
        Json started { { "measure", "start_tasks" }, { "tasks", count - submitted },
            { "all_running", isRunning }, { "running", runningTasks(cluster, holder) },
            { "accepted_s", accepted - begin }, { "running_s", runningAt - begin } };
        addPerTask(started, before, sample(cluster.daemons[holder]), count - submitted);
        print(started);
        submitted = count;
        pause(3);
        lines.emplace_back(
            count, measure(cluster, holder, plan.seconds, "idle_by_tasks", { { "tasks", count } }));
        standby.emplace_back(
            count, measure(cluster, 1 - holder, plan.seconds, "standby_by_tasks", { { "tasks", count } }));
        handOvers.emplace_back(count, measureHandOver(cluster, holder, count, 9));
    }
    cluster.stop();
    fitAll("idle_by_tasks", "tasks", lines);
    fitAll("standby_by_tasks", "tasks", standby);
    fitAll("hand_over", "tasks", handOvers);
}

void measureClaims(const Plan& plan)
{
    Cluster cluster = startCluster("claims", 1, designZoneWorkers, 1);
    // Borrowed work holds every accelerator, so each claim has to evict some of it.
    submitMany(cluster, 0, "fill", 0, designZoneWorkers, 8);
    waitFor(60, [&] { return runningTasks(cluster, 0) >= designZoneWorkers; });
    print({ { "measure", "filled" }, { "running", runningTasks(cluster, 0) },
        { "summary", holderEntry(cluster, 0) } });
    std::vector<double> times;
    for (int i = 0; i < plan.claims; ++i) {
        const double begin = now();
        const auto answer = http(cluster.ports[0], "POST", "/v1/jobs",
            submission(
                fmt::format("team{}", i + 1), fmt::format("claim{}", i), "guaranteed", i < 3 ? 8 : 1, 9));
        const std::string id = Json::parse(answer.body, nullptr, false).value("id", "");
        const bool isRunning = !id.empty() && waitFor(10, [&] {
            return http(cluster.ports[0], "GET", "/v1/jobs/" + id).body.find("\"running\"")
                != std::string::npos;
        });
        times.push_back(1e3 * (now() - begin));
        if (!isRunning)
            print({ { "warning", "a claim did not start within 10 s" }, { "status", answer.status },
                { "body", answer.body } });
    }
    std::sort(times.begin(), times.end());
    print({ { "measure", "urgent_claim" }, { "workers", designZoneWorkers }, { "claims", times.size() },
        { "median_ms", times[times.size() / 2] }, { "max_ms", times.back() } });
    cluster.stop();
}

void measurePeers(const Plan& plan)
{
    std::vector<std::pair<double, Json>> holders;
    std::vector<std::pair<double, Json>> standbys;
    std::vector<std::pair<double, Json>> inForce;
    for (const int count : plan.daemons) {
        Cluster cluster = startCluster(fmt::format("peers{}", count), 1, 48, count);
        waitFor(
            15, [&] { return sample(cluster.daemons[0]).values["anvilmoor_peers_connected"] >= count - 1; });
        pause(3);
        const std::size_t holder = holderIndex(cluster);
        const std::size_t other = holder == 0 ? 1 : 0;
        holders.emplace_back(
            count - 1, measure(cluster, holder, plan.seconds, "holder_by_peers", { { "peers", count - 1 } }));
        standbys.emplace_back(
            count - 1, measure(cluster, other, plan.seconds, "standby_by_peers", { { "peers", count - 1 } }));
        const std::string second = writeDeclaration(fmt::format("peers{}b", count), 1, 48, 1);
        std::vector<double> times;
        int failures = 0;
        for (int i = 0; i < plan.changes; ++i) {
            const Json answer = applyDeclaration(cluster, i % 2 ? cluster.declaration : second);
            if (answer.value("in_force", 0) == count)
                times.push_back(answer.value("elapsed_ms", 0.0));
            else
                ++failures;
        }
        std::sort(times.begin(), times.end());
        if (times.empty())
            times.push_back(-1);
        Json line { { "measure", "in_force" }, { "processes", count }, { "changes", plan.changes },
            { "not_in_force", failures }, { "median_ms", times[times.size() / 2] },
            { "max_ms", times.back() }, { "command", applyCommand(cluster, second) } };
        print(line);
        inForce.emplace_back(count, line);
        cluster.stop();
    }
    fitAll("holder_by_peers", "peers", holders);
    fitAll("standby_by_peers", "peers", standbys);
    fitAll("in_force", "processes", inForce);
}

// Measures one zone of the design while the documents and the host list cover all zones.
void measureFleet(const Plan& plan)
{
    for (const int zones : plan.isQuick ? std::vector<int> { 11 } : std::vector<int> { 1, 4, 11 }) {
        Cluster cluster = startCluster(fmt::format("fleet{}", zones), zones, designZoneWorkers, 2);
        pause(3);
        const std::size_t holder = holderIndex(cluster);
        const Json line { { "zones", zones }, { "workers", zones * designZoneWorkers } };
        measure(cluster, holder, plan.seconds, "fleet_holder", line);
        measure(cluster, 1 - holder, plan.seconds, "fleet_standby", line);
        const std::string second
            = writeDeclaration(fmt::format("fleet{}b", zones), zones, designZoneWorkers, 1);
        const Sample before = sample(cluster.daemons[1 - holder]);
        const Sample holderBefore = sample(cluster.daemons[holder]);
        std::vector<double> times;
        times.reserve(static_cast<std::size_t>(plan.changes));
        for (int i = 0; i < plan.changes; ++i)
            times.push_back(
                applyDeclaration(cluster, i % 2 ? cluster.declaration : second).value("elapsed_ms", -1.0));
        const Sample after = sample(cluster.daemons[1 - holder]);
        const Sample holderAfter = sample(cluster.daemons[holder]);
        std::sort(times.begin(), times.end());
        print({ { "measure", "fleet_change" }, { "zones", zones }, { "changes", plan.changes },
            { "seconds", after.time - before.time }, { "median_ms", times[times.size() / 2] },
            { "max_ms", times.back() }, { "standby_cpu_ms", 1e3 * (after.cpuSeconds - before.cpuSeconds) },
            { "holder_cpu_ms", 1e3 * (holderAfter.cpuSeconds - holderBefore.cpuSeconds) },
            { "document_bytes", http(cluster.ports[0], "GET", "/v1/config").body.size() } });
        cluster.stop();
    }
}

} // namespace

int main(int argc, char** argv)
{
    Plan plan;
    std::string only;
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--quick") {
            plan = { true, { 48, 1'000, 1'727 }, { 0, 500 }, { 2, 6 }, 3, 3, 5 };
        } else if (argument.starts_with("--only=")) {
            only = argument.substr(7);
        } else if (argument.starts_with("--directory=")) {
            directory = argument.substr(12);
        } else {
            std::fprintf(stderr,
                "usage: capacity [--quick] [--only=PART] --directory=DIR\n"
                "parts: workers, tasks, claims, peers, fleet\n");
            return 2;
        }
    }
    if (directory.empty())
        return 2;
    endAllAtExit();
    const std::vector<std::pair<std::string, std::function<void(const Plan&)>>> parts {
        { "workers", measureWorkers }, { "fleet", measureFleet }, { "tasks", measureTasks },
        { "claims", measureClaims }, { "peers", measurePeers }
    };
    for (const auto& [name, run] : parts) {
        if (only.empty() || only == name)
            run(plan);
    }
    return 0;
}
