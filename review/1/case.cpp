#include "../standins/site.h"

#include <string>
#include <utility>
#include <vector>

// A scheduled job with many subtasks: the row with its progress outgrows `rowBytes`, and the store refuses
// every commit of every leader from then on.

namespace {

using namespace review;

constexpr int trafficSeconds = 45;
constexpr int readyTimeoutMs = 15'000;

// The sheet of steyrtal-orders-large: 8 GPUs, 128 cores, 256 GB.
constexpr WorkerShape worker { 128'000, 262'144, 8 };

// An urgent quote: 3 subtasks of 2.5 s.
JobShape quote() { return { 0, { { 3, { { 15'000, 61'000, 1 }, 2'500 }, 2'500 } } }; }

// A die-pass recalculation at the site file's limits: 3 steps of 230 subtasks, 8 times, every 2 s.
JobShape largePass()
{
    const StepShape step { 230, { { 11'000, 16'000, 1 }, 6'100, true }, 6'100 };
    return { 2, { step, step, step }, 8, 2'000 };
}

int play()
{
    Site::Shape shape;
    shape.workers = 64;
    shape.worker = worker;
    shape.bounds.maxHoldMs = 10'000;
    shape.bounds.stopTimeoutMs = 900;
    Site site(shape);
    if (!site.awaitReady(readyTimeoutMs))
        return exitCannotRun;
    std::vector<std::pair<std::string, int>> accepted;
    const auto submit = [&](const std::string& job, const JobShape& what, int daemon) {
        if (site.submit(job, what, daemon) == 200)
            accepted.emplace_back(job, what.priority);
    };
    for (int second = 0; second < trafficSeconds; ++second) {
        const std::int64_t begin = steadyMs();
        if (second == 2 && hasTrouble())
            submit("0000000000000b16", largePass(), 0);
        const std::string digits = std::to_string(10 + second);
        site.ledger().recordRunsOf("00000000000000" + digits);
        submit("00000000000000" + digits, quote(), second % site.daemons().count());
        Site::sleepMs(1'000 - (steadyMs() - begin));
    }
    site.record().write("end of the traffic; subtasks of the large job that are done: "
        + std::to_string(site.ledger().doneOf("0000000000000b16")));
    Site::sleepMs(shape.bounds.finishMs);
    const bool isLost = site.isOneLost(accepted);
    site.daemons().recordEvents(
        { "leader.claimed", "leader.loaded", "leader.lost", "store.commit_rejected" }, 8);
    return isLost ? exitBroken : exitHeld;
}

} // namespace

int main() { return review::runCase(play); }
