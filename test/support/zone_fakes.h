#pragma once

#include "core/views.h"
#include "noise/noise_policy.h"
#include "placement/placement_policy.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmoor::test {

class FakeConfiguration : public ConfigurationView {
public:
    const Configuration* current() const override { return &configuration; }
    Configuration configuration;
};

class FakePeers : public PeerDirectory {
public:
    std::span<const PeerStatus> peers() const override { return statuses; }
    std::vector<PeerStatus> statuses;
};

class FakeEndpoints : public EndpointDirectory {
public:
    std::span<const EndpointRecord> endpoints(const ServiceId&) const override { return {}; }
    EndpointState workerState(const WorkerId&) const override { return EndpointState::Live; }
};

// Places jobs first-fit over the workers in id order. A guaranteed job evicts borrowed jobs in id order.
class FirstFitPlacement : public PlacementPolicy {
public:
    std::optional<DefragmentationMove> proposeMove(
        const ZoneInventory& inventory, const Configuration&, TimePoint) const override
    {
        return propose ? propose(inventory) : std::nullopt;
    }
    std::function<std::optional<DefragmentationMove>(const ZoneInventory&)> propose;

    PlacementPlan plan(const ZoneInventory& inventory, const Configuration&, std::span<const QueuedJob> queue,
        TimePoint) const override
    {
        PlacementPlan plan;
        std::map<WorkerId, int> free;
        for (const WorkerCapacity& worker : inventory.workers())
            free[worker.id] = worker.free();
        for (const QueuedJob& job : queue) {
            for (const GangMember& member : job.claimedMembers)
                free[member.worker] -= member.accelerators;
        }
        for (const QueuedJob& job : queue) {
            if (!job.claimedMembers.empty())
                continue;
            PlacementStart start { job.specification.id, {}, {} };
            std::map<WorkerId, int> remaining = free;
            if (job.specification.jobClass == JobClass::Guaranteed)
                addEvictions(inventory, job.specification.accelerators, remaining, start.evictions);
            int needed = job.specification.accelerators;
            for (auto& [worker, count] : remaining) {
                const int taken = std::clamp(count, 0, needed);
                if (taken)
                    start.members.push_back({ worker, taken });
                count -= taken;
                needed -= taken;
            }
            if (needed) {
                plan.waits.push_back({ job.specification.id, "no room" });
                continue;
            }
            free = remaining;
            plan.starts.push_back(std::move(start));
        }
        return plan;
    }

    std::string reasonItCanNeverRun(const AvailabilityZoneConfiguration& zone, const Configuration&,
        const JobSpecification& job) const override
    {
        int total = 0;
        for (const RackConfiguration& rack : zone.racks) {
            for (const WorkerConfiguration& worker : rack.workers)
                total += worker.accelerators;
        }
        return job.accelerators > total ? "accelerators: the zone is too small" : "";
    }

    int largestFreeShape(const ZoneInventory& inventory) const override
    {
        int sum = 0;
        for (const WorkerCapacity& worker : inventory.workers())
            sum += worker.free();
        return sum;
    }

private:
    static void addEvictions(const ZoneInventory& inventory, int needed, std::map<WorkerId, int>& remaining,
        std::vector<JobId>& evictions)
    {
        int sum = 0;
        for (const auto& [worker, count] : remaining)
            sum += std::max(count, 0);
        for (const auto& [job, holding] : inventory.holdings()) {
            if (sum >= needed)
                return;
            if (holding.jobClass == JobClass::Guaranteed || holding.isLeaving)
                continue;
            evictions.push_back(job);
            for (const GangMember& member : holding.members) {
                if (!inventory.find(member.worker)->isUsable)
                    continue;
                remaining[member.worker] += member.accelerators;
                sum += member.accelerators;
            }
        }
    }
};

class FakeNoise : public NoisePolicy {
public:
    double estimateDb(const ZoneInventory&) const override { return 40; }
    double limitDb(const RoomConfiguration&, SecondOfWeek) const override { return 0; }
    bool allowsStart(const ZoneInventory&, const RoomConfiguration&, std::span<const GangMember>,
        SecondOfWeek) const override
    {
        return isStartAllowed;
    }
    std::vector<NoiseAction> plan(const ZoneInventory&, const RoomConfiguration&, SecondOfWeek) const override
    {
        return actions;
    }

    bool isStartAllowed = true;
    std::vector<NoiseAction> actions;
};

} // namespace anvilmoor::test
