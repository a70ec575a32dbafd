#include "../standins/site.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

// Jobs whose start an unhealthy worker refuses wait again, but the leader no longer counts them as waiting.

namespace {

using namespace review;

constexpr int readyTimeoutMs = 15'000;
constexpr int workers = 48;
constexpr int unhealthy = 4; // share 0.083 of the workers
constexpr std::int64_t waitMs = 10'000;

// The sheet of steyrtal-orders-large: 8 GPUs, 128 cores, 256 GB.
constexpr WorkerShape worker { 128'000, 262'144, 8 };

// A job of one subtask that takes all GPUs of a worker.
JobShape plan(std::int64_t workMs) { return { 1, { { 1, { { 52'000, 150'000, 8 }, workMs }, workMs } } }; }

int play()
{
    Site::Shape shape;
    shape.workers = workers;
    shape.worker = worker;
    shape.bounds.maxHoldMs = 10'000;
    shape.bounds.stopTimeoutMs = 900;
    Site site(shape);
    if (!site.awaitReady(readyTimeoutMs))
        return exitCannotRun;
    if (hasTrouble()) {
        for (int i = 0; i < unhealthy; ++i)
            site.fleet().workers()[static_cast<std::size_t>(i)]->setHealthy(false);
    }
    // Without the disruption, all workers are full, so that jobs wait as well.
    const int busy = hasTrouble() ? workers - unhealthy : workers;
    for (int i = 0; i < busy; ++i)
        site.submit("00000000000001" + std::to_string(10 + i), plan(60'000), i % site.daemons().count());
    const bool isFull = Site::await(15'000, [&] { return site.ledger().running() == busy; });
    if (!isFull)
        return exitCannotRun;
    std::vector<std::string> waiting;
    for (int i = 0; i < unhealthy; ++i) {
        const std::string job = "00000000000000" + std::to_string(10 + i);
        site.ledger().recordRunsOf(job);
        if (site.submit(job, plan(6'800), i % site.daemons().count()) == 200)
            waiting.push_back(job);
    }
    const std::int64_t acceptedAt = steadyMs();
    bool isBroken = false;
    while (steadyMs() < acceptedAt + waitMs) {
        Site::sleepMs(1'000);
        const bool isDue = steadyMs() > acceptedAt + shape.bounds.visibleMs + 2'000;
        for (int daemon = 0; daemon < site.daemons().count(); ++daemon) {
            const int stated = site.queuedCountOf(1, daemon);
            const auto isUnbegun = [&](const std::string& job) { return site.ledger().startedOf(job) == 0; };
            const auto unbegun = static_cast<int>(std::count_if(waiting.begin(), waiting.end(), isUnbegun));
            if (!isDue || stated < 0 || 2 * stated >= unbegun)
                continue;
            site.record().write("MIXED: " + std::to_string(unbegun) + " jobs were accepted over "
                + std::to_string(shape.bounds.visibleMs + 2'000) + " ms ago and haven't begun, and daemon "
                + std::to_string(daemon) + " states " + std::to_string(stated));
            isBroken = true;
        }
    }
    site.daemons().recordEvents({ "leader.claimed", "leader.loaded", "leader.lost", "run.rejected" }, 20);
    return isBroken ? exitBroken : exitHeld;
}

} // namespace

int main() { return review::runCase(play); }
