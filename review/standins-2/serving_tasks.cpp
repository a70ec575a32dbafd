// Hands in a job whose tasks run until it is cancelled. For 20 s its runs fail some seconds after
// their start; from then on they do not. Checks that all of its tasks, and those of a job that comes later,
// run again.

#include "deployment.h"

#include <atomic>
#include <map>
#include <random>

namespace review {

namespace {

using std::chrono::milliseconds;

constexpr int servingTasks = 12; // with one accelerator each, of 48 in all
constexpr int minFailureMs = 1'000; // from the start of a run to its failure
constexpr int maxFailureMs = 6'000;
constexpr int failuresMs = 20'000;
constexpr int recoveryMs = 40'000; // from the last failure
constexpr int callTimeoutMs = 3'000;
constexpr int watchMs = 20'000;
constexpr int sampleMs = 100;
// A task that lasts has to run again 6 s after its last run, or 3 s later at the latest.
constexpr double maxIdleS = 9;

const milliseconds forever = std::chrono::hours(1);

// Decides how long runs last. The ones that are started during the failures fail.
class Failures {
public:
    RunPlan planFor(const std::string& spec)
    {
        if (spec != "serving")
            return {};
        if (!areOn)
            return { forever, "done", true };
        const std::lock_guard lock(m_mutex);
        return { milliseconds(m_failure(m_random)), "failed", true };
    }

    std::atomic<bool> areOn { false };

private:
    std::mutex m_mutex;
    std::mt19937 m_random { std::random_device {}() };
    std::uniform_int_distribution<int> m_failure { minFailureMs, maxFailureMs };
};

struct TaskState {
    int runs = 0;
    int failures = 0;
    bool isRunning = false;
    double endedAtS = 0;
};

std::map<std::string, TaskState> statesOf(Deployment& deployment, const std::string& job, int tasks)
{
    std::map<std::string, TaskState> states;
    for (int i = 0; i < tasks; ++i)
        states[job + ".0.0." + std::to_string(i)];
    for (const RunRecord& run : deployment.runs()) {
        const auto state = states.find(run.task);
        if (state == states.end())
            continue;
        ++state->second.runs;
        state->second.failures += run.end == "failed";
        if (run.end.empty())
            state->second.isRunning = true;
        else
            state->second.endedAtS = std::max(state->second.endedAtS, secondsOf(run.endedAt));
    }
    return states;
}

bool submit(const Daemon& daemon, const std::string& job, const std::string& body, Record& record)
{
    Connection connection(daemon.front());
    const auto answer = connection.call("POST", pathPrefix + job, callerHeaders(), body, callTimeoutMs);
    record.line("POST " + job + ": " + (answer ? std::to_string(answer->status) : "no answer"));
    return answer && answer->status == 200;
}

// Returns how many tasks of the serving job do not run though they have to.
int report(Deployment& deployment, const std::string& job, Record& record)
{
    int idle = 0;
    for (const auto& [task, state] : statesOf(deployment, job, servingTasks)) {
        const double idleS = state.isRunning ? 0 : secondsSinceStart() - state.endedAtS;
        const bool isBroken = idleS > maxIdleS;
        idle += isBroken;
        record.line(task + ": " + std::to_string(state.runs) + " runs, " + std::to_string(state.failures)
            + " failed, " + (state.isRunning ? "runs" : "idle for " + std::to_string(idleS) + " s")
            + (isBroken ? "  LOST" : ""));
    }
    return idle;
}

Verdict run(const Arguments& arguments)
{
    Record record(arguments.recordPath);
    record.line(arguments.hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    static Failures failures;
    auto& deployment = *new Deployment({ arguments.command, arguments.folder, 3, 6,
        [](const std::string& spec) { return failures.planFor(spec); } });
    const std::string serving = newJobId();
    const std::string later = newJobId();
    const Daemon& daemon = *deployment.daemons.front();
    bool hasRun = deployment.start(record);
    failures.areOn = arguments.hasTrouble;
    hasRun = hasRun && submit(daemon, serving, servingJob("serving", servingTasks), record);
    if (hasRun) {
        sleepMs(failuresMs);
        failures.areOn = false;
        record.line("from now on, no run fails that is started");
        sleepMs(recoveryMs);
        hasRun = submit(daemon, later, smallJob("later"), record);
    }
    if (!hasRun) {
        deployment.stop();
        return Verdict::CouldNotRun;
    }
    const bool isLaterDone = waitForState(deployment, later, "completed", watchMs);
    record.line(std::string("the later job has ") + (isLaterDone ? "completed" : "not completed  LOST"));
    const int idle = report(deployment, serving, record);
    int used = 0;
    for (const RunRecord& each : deployment.runs())
        used += each.end.empty();
    record.line("accelerators in use: " + std::to_string(used) + " of "
        + std::to_string(8 * deployment.workers.size()));
    deployment.stop();
    return idle || !isLaterDone ? Verdict::Broken : Verdict::Held;
}

} // namespace

} // namespace review

int main(int argc, char** argv) { review::runScript(argc, argv, review::run); }
