// Restarts all daemons in turn, with SIGTERM, while the store is slow and clients hand in jobs on open
// connections. Checks that no job runs whose only attempt was rejected.

#include "deployment.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <thread>

namespace review {

namespace {

constexpr int clientsPerDaemon = 5;
constexpr int minPauseMs = 100; // of a client between an answer and its next job
constexpr int maxPauseMs = 300;
constexpr int usualAnswerMs = 4; // of the store
constexpr int slowAnswerMs = 240; // 60 times as long
constexpr int slowAfterMs = 1'200; // after SIGTERM; the store is then slow for 4.5 s at most
constexpr int callTimeoutMs = 3'000;
constexpr int graceMs = 6'000;
constexpr int settleMs = 8'000;

// What the clients were told about each job.
class Attempts {
public:
    explicit Attempts(Record& record)
        : m_record(record)
    {
    }

    void note(const std::string& job, const std::string& daemon, const std::optional<Response>& answer)
    {
        const std::string status = answer ? std::to_string(answer->status) : "no answer";
        if (status != "200")
            m_record.line("POST " + job + " at " + daemon + ": " + status);
        const std::lock_guard lock(m_mutex);
        ++m_counts[status];
        if (status == "429" || status == "503")
            m_rejected.insert(job);
    }

    std::set<std::string> rejected() const { return m_rejected; }
    void report() const
    {
        for (const auto& [status, count] : m_counts)
            m_record.line("answers to POST, " + status + ": " + std::to_string(count));
    }

private:
    Record& m_record;
    std::mutex m_mutex;
    std::map<std::string, int> m_counts;
    std::set<std::string> m_rejected;
};

// Hands in one job after the other on one connection until the daemon closes it. Each job is handed in once.
void runClient(const Daemon& daemon, Attempts& attempts, const std::atomic<bool>& isOver)
{
    std::mt19937 random { std::random_device {}() };
    std::uniform_int_distribution<int> pauseMs(minPauseMs, maxPauseMs);
    Connection connection(daemon.front());
    if (!connection.connect(callTimeoutMs))
        return;
    while (!isOver) {
        const std::string job = newJobId();
        const auto answer = connection.call(
            "POST", pathPrefix + job, callerHeaders(), smallJob("job " + job), callTimeoutMs);
        attempts.note(job, daemon.name(), answer);
        if (!answer || answer->status == 503)
            return;
        sleepMs(pauseMs(random));
    }
}

// The bench's clients and balancer leave a daemon that is not ready; those with an open connection stay.
bool restart(Daemon& daemon, Store& store, Attempts& attempts, Record& record, bool hasTrouble)
{
    std::atomic<bool> isOver { false };
    std::vector<std::thread> clients;
    for (int i = 0; i < clientsPerDaemon; ++i)
        clients.emplace_back([&] { runClient(daemon, attempts, isOver); });
    sleepMs(500);
    bool hasEnded = true;
    if (hasTrouble) {
        record.line("SIGTERM to " + daemon.name());
        daemon.signal(SIGTERM);
        sleepMs(slowAfterMs);
        store.setAnswerTime(slowAnswerMs);
        hasEnded = daemon.waitForEnd(graceMs - slowAfterMs);
        store.setAnswerTime(usualAnswerMs);
        record.line(daemon.name() + (hasEnded ? " has ended" : " has not ended"));
    } else {
        sleepMs(3'000);
    }
    isOver = true;
    for (std::thread& client : clients)
        client.join();
    if (!hasTrouble || !hasEnded)
        return hasEnded;
    daemon.start();
    return daemon.waitUntilReady(graceMs);
}

Verdict run(const Arguments& arguments)
{
    Record record(arguments.recordPath);
    record.line(arguments.hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    auto& deployment = *new Deployment({ arguments.command, arguments.folder });
    Attempts attempts(record);
    bool hasRun = deployment.start(record);
    for (const auto& daemon : deployment.daemons)
        hasRun = hasRun && restart(*daemon, deployment.store, attempts, record, arguments.hasTrouble);
    if (!hasRun) {
        deployment.stop();
        return Verdict::CouldNotRun;
    }
    sleepMs(settleMs);
    deployment.stop();
    attempts.report();
    const std::set<std::string> rejected = attempts.rejected();
    const std::vector<RunRecord> runs = deployment.runs();
    record.line("runs on the workers: " + std::to_string(runs.size()));
    int broken = 0;
    for (const RunRecord& each : runs) {
        const std::string job = each.task.substr(0, each.task.find('.'));
        if (!rejected.contains(job))
            continue;
        ++broken;
        record.line("REFUSED: " + each.task + " run " + std::to_string(each.run) + " was started on "
            + each.worker + " and has ended \"" + each.end + "\", though its only attempt was rejected");
    }
    record.line(
        "rejected jobs: " + std::to_string(rejected.size()) + ", runs of them: " + std::to_string(broken));
    return broken ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace review

int main(int argc, char** argv) { review::runScript(argc, argv, review::run); }
