// Measures the time of placement decisions by zone size, at 85% load. Prints one JSON line for each case.
// Arguments, if any, are the zone sizes in workers.

#include "placement/first_fit_placement.h"
#include "placement/guarantee_aware_placement.h"
#include "reclaim/least_lost_work_reclaim.h"
#include "support/zone_builder.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fmt/core.h>
#include <random>
#include <vector>

namespace anvilmoor {

namespace {

constexpr int workersPerRack = 8;
constexpr int acceleratorsPerWorker = 8;
constexpr int accountCount = 66; // teams in section 1.4 of the design page
constexpr int rounds = 101;

const TimePoint now { std::chrono::hours(100) };

// The first accounts have a guarantee of a rack each, on up to a quarter of the racks. The last one has a
// guarantee of the largest gang where the zone is large enough.
Configuration benchmarkConfiguration(int workers)
{
    Configuration configuration;
    const int racks = workers / workersPerRack;
    configuration.zones.push_back(uniformZone(racks, workersPerRack, acceleratorsPerWorker));
    for (int account = 0; account < accountCount; ++account) {
        ClientAccountConfiguration& added = configuration.accounts.emplace_back();
        added.id = ClientAccountId(fmt::format("a{}", account));
        added.acceleratorQuota = workers * acceleratorsPerWorker;
        if (account < racks / 4)
            added.guarantees.push_back({ .zone = configuration.zones[0].id, .accelerators = 64 });
    }
    if (racks > 64)
        configuration.accounts.back().guarantees
            = { { .zone = configuration.zones[0].id, .accelerators = 512 } };
    return configuration;
}

enum class Load { Scattered, Packed };

// Adds small jobs until 85% of the accelerators are held: on random workers, or filling one worker after the
// other.
ZoneInventory loadedInventory(const Configuration& configuration, Load load)
{
    std::mt19937 random(42);
    ZoneInventory inventory = usableInventory(configuration.zones[0]);
    const std::size_t workers = inventory.workers().size();
    int remaining = static_cast<int>(workers) * acceleratorsPerWorker * 85 / 100;
    for (std::size_t job = 0; remaining > 0; ++job) {
        const std::size_t worker = load == Load::Scattered ? random() % workers : job / 2;
        const int size = load == Load::Scattered ? 1 + static_cast<int>(random() % acceleratorsPerWorker) : 4;
        const bool isAdded = inventory.add({ .job = JobId(fmt::format("b{}", job)),
            .account = ClientAccountId(fmt::format("a{}", random() % accountCount)),
            .members = { { inventory.workers()[worker].id, size } },
            .startedAt = now - std::chrono::minutes(random() % 300),
            .progress = Milliseconds(random() % 3'600'000),
            .checkpointed = Milliseconds(random() % 3'600'000) });
        remaining -= isAdded ? size : 0;
    }
    return inventory;
}

std::vector<QueuedJob> queueOf(int count, int accelerators, JobClass jobClass, int firstAccount = 0)
{
    std::vector<QueuedJob> queue;
    for (int job = 0; job < count; ++job) {
        QueuedJob& added = queue.emplace_back();
        added.specification = { .id = JobId(fmt::format("q{}", job)),
            .account = ClientAccountId(fmt::format("a{}", (firstAccount + job) % accountCount)),
            .jobClass = jobClass,
            .accelerators = accelerators > 0 ? accelerators : 1 + (job * 37) % 512 };
        added.queuedAt = now - std::chrono::minutes(5);
    }
    return queue;
}

void measure(std::string_view policyName, const PlacementPolicy& policy, std::string_view caseName,
    const ZoneInventory& inventory, const Configuration& configuration, const std::vector<QueuedJob>& queue)
{
    std::vector<double> times;
    std::size_t starts = 0;
    std::size_t evictions = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        const PlacementPlan plan = policy.plan(inventory, configuration, queue, now);
        const auto end = std::chrono::steady_clock::now();
        times.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
        starts = plan.starts.size();
        evictions = 0;
        for (const PlacementStart& start : plan.starts)
            evictions += start.evictions.size();
    }
    std::sort(times.begin(), times.end());
    fmt::print(
        "{{\"policy\":\"{}\",\"case\":\"{}\",\"workers\":{},\"holdings\":{},\"starts\":{},\"evictions\":{},"
        "\"median_us\":{:.1f},\"p99_us\":{:.1f}}}\n",
        policyName, caseName, inventory.workers().size(), inventory.holdings().size(), starts, evictions,
        times[times.size() / 2], times[times.size() * 99 / 100]);
}

void measureAll(int workers, Load load)
{
    const Configuration configuration = benchmarkConfiguration(workers);
    const ZoneInventory inventory = loadedInventory(configuration, load);
    const LeastLostWorkReclaim reclaim;
    const GuaranteeAwarePlacement aware(reclaim);
    const FirstFitPlacement firstFit;
    const auto measureBothPolicies = [&](std::string_view caseName, const std::vector<QueuedJob>& queue) {
        const std::string name
            = fmt::format("{}_{}", load == Load::Packed ? "packed" : "scattered", caseName);
        measure("guarantee_aware", aware, name, inventory, configuration, queue);
        measure("first_fit", firstFit, name, inventory, configuration, queue);
    };
    measureBothPolicies("gang_512", queueOf(1, 512, JobClass::Borrowed));
    measureBothPolicies("gang_8", queueOf(1, 8, JobClass::Borrowed));
    measureBothPolicies("claim_64", queueOf(1, 64, JobClass::Guaranteed));
    measureBothPolicies("claim_512", queueOf(1, 512, JobClass::Guaranteed, accountCount - 1));
    measureBothPolicies("queue_200_mixed", queueOf(200, 0, JobClass::Borrowed));
}

} // namespace

} // namespace anvilmoor

int main(int argc, char** argv)
{
    using anvilmoor::Load;
    std::vector<int> sizes { 48, 200, 1'000, 4'000, 19'000 };
    if (argc > 1)
        sizes.clear();
    for (int argument = 1; argument < argc; ++argument)
        sizes.push_back(std::atoi(argv[argument]));
    for (const int workers : sizes) {
        for (const Load load : { Load::Scattered, Load::Packed })
            anvilmoor::measureAll(workers, load);
    }
}
