#include "../standins/site.h"

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

// The leader is killed while many jobs wait. Until the next leader has read the jobs, it states and stores
// that none waits.

namespace {

using namespace review;

constexpr int readyTimeoutMs = 15'000;
constexpr int workers = 48;
constexpr int waitingJobs = 2'000;
constexpr std::size_t specBytes = 2'400; // the mean of the site file
constexpr int clients = 6;
constexpr std::int64_t watchMs = 5'000;

// The sheet of steyrtal-orders-large: 8 GPUs, 128 cores, 256 GB.
constexpr WorkerShape worker { 128'000, 262'144, 8 };

std::string nameOf(int number)
{
    const std::string digits = std::to_string(1'000'000 + number);
    return std::string(16 - digits.size(), '0') + digits;
}

int play()
{
    Site::Shape shape;
    shape.workers = workers;
    shape.worker = worker;
    shape.bounds.maxHoldMs = 10'000;
    shape.bounds.stopTimeoutMs = 900;
    shape.bounds.linkMbps = 100;
    shape.store.linkMbps = 100;
    Site site(shape);
    if (!site.awaitReady(readyTimeoutMs))
        return exitCannotRun;
    // Fills all workers, so that the jobs after it wait.
    const JobShape filling { 2, { { workers, { { 11'000, 16'000, 8 }, 110'000 }, 110'000 } } };
    site.submit(nameOf(-1), filling);
    if (!Site::await(15'000, [&] { return site.ledger().running() == workers; }))
        return exitCannotRun;
    JobShape plan { 2, { { 1, { { 11'000, 16'000, 1 }, 6'100 }, 6'100 } } };
    plan.specBytes = specBytes;
    std::atomic<int> next { 0 };
    std::atomic<int> accepted { 0 };
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            for (int number = next++; number < waitingJobs; number = next++)
                accepted += site.submit(nameOf(number), plan, client) == 200;
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    site.record().write("accepted: " + std::to_string(accepted));
    const std::int64_t dueMs = shape.bounds.visibleMs + 2'000;
    Site::sleepMs(dueMs + 1'000);
    const int leader = site.daemons().leader();
    if (leader < 0)
        return exitCannotRun;
    if (hasTrouble())
        site.daemons().signal(leader, SIGKILL);
    bool isBroken = false;
    const std::int64_t end = steadyMs() + watchMs;
    while (steadyMs() < end) {
        for (int daemon = 0; daemon < site.daemons().count(); ++daemon) {
            if (hasTrouble() && daemon == leader)
                continue;
            const int stated = site.queuedCountOf(2, daemon);
            const int unbegun = accepted - site.ledger().startedBetween(nameOf(0), nameOf(waitingJobs));
            if (stated < 0 || 2 * stated >= unbegun)
                continue;
            site.record().write("MIXED: " + std::to_string(unbegun) + " jobs were accepted over "
                + std::to_string(dueMs) + " ms ago and haven't begun, and daemon " + std::to_string(daemon)
                + " states " + std::to_string(stated));
            isBroken = true;
        }
        Site::sleepMs(50);
    }
    site.daemons().recordEvents({ "leader.claimed", "leader.loaded", "leader.lost" }, 20);
    return isBroken ? exitBroken : exitHeld;
}

} // namespace

int main() { return review::runCase(play); }
