#include "../../review/standins/site.h"

#include <string>
#include <utility>
#include <vector>

// A gang that asks for one rack comes while a long task runs in each rack: no rack has room for it, but the
// service is mostly free. Exits with 1 if the gang is LOST.

namespace {

using namespace review;

constexpr int daemons = 6;
constexpr int workersPerRack = 8;
constexpr int racks = 6;
constexpr int readyTimeoutMs = 15'000;
constexpr std::int64_t longWorkMs = 33'000;
constexpr WorkerShape worker { 128'000, 262'144, 8 };
constexpr int longTaskPriority = 2;
constexpr int gangPriority = 1;
constexpr int clientRetries = 4;

JobShape longTask(int rack)
{
    const SubtaskShape task { { 11'000, 29'000, 1 }, longWorkMs, false, "r1-" + std::to_string(rack) };
    return { longTaskPriority, { { 1, task, longWorkMs } } };
}

// Site::submit cannot ask for one rack.
int submitGang(Site& site, const std::string& job)
{
    const SubtaskShape task { { 52'000, 140'000, worker.gpu }, 6'800 };
    site.ledger().describe(job, 0, task);
    site.ledger().recordRunsOf(job);
    const Json step { { "count", workersPerRack }, { "cpu", task.need.cpu }, { "memMb", task.need.memMb },
        { "gpu", task.need.gpu }, { "estimateMs", 11'000 }, { "gang", true }, { "sameRack", true } };
    const Json body { { "spec", "plan " + job }, { "steps", Json::array({ step }) } };
    const std::string path = site.pathOf(gangPriority, job);
    int status = 0;
    for (int attempt = 0; attempt <= clientRetries && status != 200; ++attempt) {
        const int daemon = attempt % site.daemons().count();
        // Host and key as in Site.
        status = callOnce(site.daemons().frontOf(daemon),
            { "POST", path, "nony24.example", "d4a3hwrr6x73d3zji9n7", body.dump() })
                     .status;
    }
    site.record().write("client: POST " + path + " answered " + std::to_string(status));
    return status;
}

int play()
{
    Site::Shape shape;
    shape.daemons = daemons;
    shape.workersPerRack = workersPerRack;
    shape.workers = racks * workersPerRack;
    shape.worker = worker;
    shape.bounds.maxHoldMs = 10'000;
    shape.bounds.stopTimeoutMs = 900;
    Site site(shape);
    if (!site.awaitReady(readyTimeoutMs))
        return exitCannotRun;
    std::vector<std::pair<std::string, int>> accepted;
    for (int rack = 0; rack < racks; ++rack) {
        const std::string job = "00000000000010a" + std::to_string(rack);
        if (site.submit(job, longTask(rack), rack % daemons) != 200)
            return exitCannotRun;
        accepted.emplace_back(job, longTaskPriority);
    }
    if (!Site::await(5'000, [&] { return site.ledger().running() == racks; }))
        return exitCannotRun;
    const std::string gang = "0000000000006a46";
    if (submitGang(site, gang) != 200)
        return exitCannotRun;
    accepted.emplace_back(gang, gangPriority);
    site.record().write("end of the traffic");
    Site::sleepMs(shape.bounds.finishMs);
    const bool isLost = site.isOneLost(accepted);
    site.daemons().recordEvents({ "leader.loaded", "job.waiting" }, 60);
    return isLost ? exitBroken : exitHeld;
}

} // namespace

int main() { return review::runCase(play); }
