#include "placement/job_limits.h"

#include "placement/guarantee_ledger.h"
#include "placement/rack_runs.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace anvilmoor {

namespace {

std::vector<int> rackSizes(const AvailabilityZoneConfiguration& zone)
{
    std::vector<int> sizes;
    for (const RackConfiguration& rack : zone.racks) {
        sizes.push_back(std::accumulate(rack.workers.begin(), rack.workers.end(), 0,
            [](int sum, const WorkerConfiguration& worker) { return sum + worker.accelerators; }));
    }
    return sizes;
}

std::string reasonJobNeverFits(const AvailabilityZoneConfiguration& zone, const JobSpecification& job)
{
    const std::vector<int> sizes = rackSizes(zone);
    const int total = std::accumulate(sizes.begin(), sizes.end(), 0);
    const int largest = sizes.empty() ? 0 : *std::max_element(sizes.begin(), sizes.end());
    if (job.accelerators > total)
        return fmt::format(
            "zone {} has {} accelerators, the job asks for {}", zone.id.value(), total, job.accelerators);
    if (job.adjacent && fittingRuns(sizes, job.accelerators, largest).empty())
        return fmt::format("zone {} has no {} adjacent accelerators: its largest rack has {}",
            zone.id.value(), job.accelerators, largest);
    return {};
}

// Largest sum of free accelerators over at most `count` consecutive racks, each of which has room.
int largestRoom(std::span<const RackCapacity> racks, std::size_t count)
{
    int largest = 0;
    for (std::size_t first = 0; first < racks.size(); ++first) {
        int sum = 0;
        for (std::size_t rack = first; rack < std::min(first + count, racks.size()); ++rack) {
            if (racks[rack].free <= 0)
                break;
            sum += racks[rack].free;
        }
        largest = std::max(largest, sum);
    }
    return largest;
}

} // namespace

std::string reasonJobCanNeverRun(const AvailabilityZoneConfiguration& zone,
    const Configuration& configuration, const JobSpecification& job)
{
    if (job.accelerators < 1 || job.accelerators > maxGangAccelerators)
        return fmt::format("accelerators is {}: it must be 1 to {}", job.accelerators, maxGangAccelerators);
    const ClientAccountConfiguration* account = configuration.findAccount(job.account);
    if (!account)
        return fmt::format("account {} is not in the configuration", job.account.value());
    if (job.jobClass == JobClass::Guaranteed
        && !hasGuarantee(configuration, zone.id, job.account, job.accelerators))
        return fmt::format("account {} has no guarantee of {} accelerators in zone {}", job.account.value(),
            job.accelerators, zone.id.value());
    if (job.jobClass == JobClass::Borrowed && job.accelerators > account->acceleratorQuota)
        return fmt::format("the quota of account {} is {} accelerators, the job asks for {}",
            job.account.value(), account->acceleratorQuota, job.accelerators);
    return reasonJobNeverFits(zone, job);
}

int largestFreeAdjacentShape(const ZoneInventory& inventory)
{
    const int rackSize = inventory.rackSize();
    int largest = largestRoom(inventory.racks(), 1);
    if (rackSize == 0 || largest < rackSize)
        return largest;
    // All sizes above wholeRacks - 1 racks and up to wholeRacks racks share one maximum length of a run.
    for (int wholeRacks = 2; (wholeRacks - 1) * rackSize < maxGangAccelerators; ++wholeRacks) {
        const int upper = std::min(wholeRacks * rackSize, maxGangAccelerators);
        const int room = largestRoom(inventory.racks(), maxRacksInRun(upper, rackSize));
        largest = std::max(largest, std::min(room, upper));
        if (room < upper)
            break;
    }
    return std::min(largest, maxGangAccelerators);
}

int largestGuaranteedShape(const Configuration& configuration, const AvailabilityZoneId& zone)
{
    int largest = 0;
    for (const ClientAccountConfiguration& account : configuration.accounts) {
        for (const GuaranteeConfiguration& guarantee : account.guarantees) {
            if (guarantee.zone == zone)
                largest = std::max(largest, guarantee.accelerators);
        }
    }
    return largest;
}

} // namespace anvilmoor
