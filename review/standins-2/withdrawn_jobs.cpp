// The store does not answer one daemon for some seconds. Clients that hand in jobs there learn nothing of
// their outcome and withdraw them through another daemon, which confirms that. Checks that none of the jobs
// starts later than the users' limit after that confirmation.

#include "deployment.h"

#include <algorithm>
#include <map>
#include <thread>

namespace review {

namespace {

constexpr int jobs = 8;
constexpr int betweenJobsMs = 70;
constexpr double outageS = 9;
constexpr double msPerSecond = 1'000;
constexpr int settleMs = 10'000;
constexpr int callTimeoutMs = 3'000;
constexpr int noAnswerStatus = 0;
constexpr double cancelS = 3.0;

int call(const Daemon& daemon, const std::string& method, const std::string& job, const std::string& body,
    Record& record)
{
    Connection connection(daemon.front());
    const auto answer = connection.call(method, pathPrefix + job, callerHeaders(), body, callTimeoutMs);
    const int status = answer ? answer->status : noAnswerStatus;
    record.line(method + " " + job + " at " + daemon.name() + ": " + std::to_string(status));
    return status;
}

// A job whose cancelling was acknowledged.
struct Withdrawal {
    double acknowledgedAtS = 0;
    int status = 0;
};

using Withdrawals = std::map<std::string, Withdrawal>;

// Hands in a job and withdraws it.
void runClient(const Daemon& turnedAway, const Daemon& served, Withdrawals& withdrawals, std::mutex& mutex,
    Record& record)
{
    const std::string job = newJobId();
    call(turnedAway, "POST", job, smallJob("job " + job), record);
    const int cancelled = call(served, "DELETE", job, "", record);
    if (cancelled != 200 && cancelled != 410)
        return;
    const std::lock_guard lock(mutex);
    withdrawals[job] = { secondsSinceStart(), cancelled };
}

Verdict run(const Arguments& arguments)
{
    Record record(arguments.recordPath);
    record.line(arguments.hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    auto& deployment = *new Deployment({ arguments.command, arguments.folder });
    if (!deployment.start(record)) {
        deployment.stop();
        return Verdict::CouldNotRun;
    }
    // Any daemon but the leader, which is usually the first to be ready.
    const Daemon& turnedAway = *deployment.daemons.back();
    const Daemon& served = *deployment.daemons.front();
    const double silentAtS = secondsSinceStart();
    if (arguments.hasTrouble) {
        record.line("the store does not answer " + turnedAway.name() + " any more");
        deployment.relays.back()->setSilent(true);
    }
    Withdrawals withdrawals;
    std::mutex mutex;
    std::vector<std::thread> clients;
    for (int i = 0; i < jobs; ++i) {
        clients.emplace_back([&] { runClient(turnedAway, served, withdrawals, mutex, record); });
        sleepMs(betweenJobsMs);
    }
    for (std::thread& client : clients)
        client.join();
    const double leftS = silentAtS + outageS - secondsSinceStart();
    sleepMs(arguments.hasTrouble ? static_cast<int>(leftS * msPerSecond) : 0);
    deployment.relays.back()->setSilent(false);
    record.line("the store answers all daemons");
    sleepMs(settleMs);
    deployment.stop();
    int broken = 0;
    for (const RunRecord& each : deployment.runs()) {
        const std::string job = each.task.substr(0, each.task.find('.'));
        const auto withdrawal = withdrawals.find(job);
        const double startedAtS = secondsOf(each.startedAt);
        const bool isBroken
            = withdrawal != withdrawals.end() && startedAtS > withdrawal->second.acknowledgedAtS + cancelS;
        broken += isBroken;
        record.line("at " + std::to_string(startedAtS) + " s, " + each.worker + " started " + each.task
            + " run " + std::to_string(each.run) + ", which has ended \"" + each.end + "\""
            + (isBroken ? "  UNASKED: its cancelling was acknowledged with "
                        + std::to_string(withdrawal->second.status) + " at "
                        + std::to_string(withdrawal->second.acknowledgedAtS) + " s"
                        : ""));
    }
    record.line("withdrawn jobs: " + std::to_string(withdrawals.size())
        + ", started all the same: " + std::to_string(broken));
    return broken ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace review

int main(int argc, char** argv) { review::runScript(argc, argv, review::run); }
