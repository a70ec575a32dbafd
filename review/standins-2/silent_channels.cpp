// All open channels to the store go silent for good while new ones work. Meanwhile the operator adds a route.
// Checks that daemons which count as in touch again handle requests as the new version says.

#include "deployment.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

constexpr int callersPerDaemon = 12;
constexpr int callTimeoutMs = 3'000;
constexpr int rounds = 3;
constexpr int betweenRoundsMs = 13'000;
constexpr double stableWindowS = 3.0;
constexpr double configApplyS = 2.0;
constexpr double watchS = 9.0;
constexpr int probeIntervalMs = 50;

// Callers ask for the state of a job at the same time, as they do all day.
void askAtOnce(const Daemon& daemon, const std::string& job)
{
    std::vector<std::thread> callers;
    for (int i = 0; i < callersPerDaemon; ++i)
        callers.emplace_back([&] {
            Connection connection(daemon.front());
            connection.call("GET", pathPrefix + job, callerHeaders(), "", callTimeoutMs);
        });
    for (std::thread& caller : callers)
        caller.join();
}

struct Probes {
    int served = 0;
    int refused = 0; // as only the older version allows, by a daemon in touch
    int other = 0;
};

// Asks for the number of waiting jobs of the new route on an open channel.
Probes probe(const Daemon& daemon, const std::string& route, double silentAtS, double ackAtS, Record& record)
{
    Probes probes;
    Connection connection(daemon.front());
    connection.connect(callTimeoutMs);
    int lastStatus = 0;
    while (secondsSinceStart() < silentAtS + watchS) {
        const double sentAtS = secondsSinceStart();
        const bool isDue = sentAtS > silentAtS + stableWindowS && sentAtS > ackAtS + configApplyS;
        if (!isDue) {
            sleepMs(5);
            continue;
        }
        const auto answer = connection.call("GET", route, callerHeaders(), "", callTimeoutMs);
        const int status = answer ? answer->status : 0;
        if (status != lastStatus)
            record.line(daemon.name() + ": GET " + route + ", sent " + std::to_string(sentAtS - ackAtS)
                + " s after the acknowledgement: " + std::to_string(status)
                + (status == 404 ? "  CONFIG" : ""));
        lastStatus = status;
        probes.served += status == 200;
        probes.refused += status == 404;
        probes.other += status != 200 && status != 404;
        sleepMs(probeIntervalMs);
    }
    return probes;
}

Verdict run(const Arguments& arguments)
{
    Record record(arguments.recordPath);
    record.line(arguments.hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    const auto planFor = [](const std::string& spec) {
        return spec == "serving" ? RunPlan { std::chrono::hours(1), "done", true } : RunPlan {};
    };
    auto& deployment = *new Deployment({ arguments.command, arguments.folder, 3, 6, planFor });
    const std::string job = newJobId();
    bool hasRun = deployment.start(record);
    const Daemon& first = *deployment.daemons.front();
    if (hasRun) {
        Connection connection(first.front());
        const auto answer = connection.call(
            "POST", pathPrefix + job, callerHeaders(), servingJob("serving", 1), callTimeoutMs);
        hasRun = answer && answer->status == 200;
    }
    if (!hasRun) {
        deployment.stop();
        return Verdict::CouldNotRun;
    }
    int broken = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const auto& daemon : deployment.daemons)
            askAtOnce(*daemon, job);
        sleepMs(500);
        const double silentAtS = secondsSinceStart();
        for (const auto& relay : deployment.relays) {
            if (arguments.hasTrouble)
                relay->silenceOpenConnections();
        }
        record.line(
            arguments.hasTrouble ? "the open channels to the store go silent" : "no channel goes silent");
        const std::string route = "/new-" + std::to_string(round) + "/";
        deployment.addRoute(route);
        const double ackAtS = secondsSinceStart();
        record.line("the operator's new version with route " + route + " is acknowledged");
        std::vector<std::thread> threads;
        std::vector<Probes> results(deployment.daemons.size());
        for (std::size_t i = 0; i < results.size(); ++i)
            threads.emplace_back(
                [&, i] { results[i] = probe(*deployment.daemons[i], route, silentAtS, ackAtS, record); });
        for (std::thread& thread : threads)
            thread.join();
        for (std::size_t i = 0; i < results.size(); ++i) {
            broken += results[i].refused;
            record.line(deployment.daemons[i]->name() + ": " + std::to_string(results[i].served)
                + " requests served, " + std::to_string(results[i].refused) + " refused with 404, "
                + std::to_string(results[i].other) + " others");
        }
        sleepMs(betweenRoundsMs);
    }
    deployment.stop();
    return broken ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace review

int main(int argc, char** argv) { review::runScript(argc, argv, review::run); }
