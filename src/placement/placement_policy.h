#pragma once

#include "anvilmoor/job.h"
#include "placement/zone_inventory.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace anvilmoor {

struct QueuedJob {
    JobSpecification specification;
    TimePoint queuedAt {};
    // Members reserved for this job while it waits for evictions that an earlier plan requested.
    std::vector<GangMember> claimedMembers;
};

// Starts the job on these members: immediately if there are no evictions, otherwise after the evicted jobs
// have left.
struct PlacementStart {
    JobId job;
    std::vector<GangMember> members;
    std::vector<JobId> evictions;
};

// The job stays queued.
struct PlacementWait {
    JobId job;
    std::string reason;
};

struct PlacementPlan {
    std::vector<PlacementStart> starts; // in the order in which to book them
    std::vector<PlacementWait> waits;
};

// Moves a borrowed job by checkpoint: stops it at its present place and starts it on these members.
struct DefragmentationMove {
    JobId job;
    std::vector<GangMember> members;
};

// A zone moves at most one job per interval.
constexpr Milliseconds moveInterval { 120 * 1'000 };

// Decides which queued jobs start now, and on which members. Has no side effects: equal arguments give equal
// plans.
class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    // `queue` is in order of arrival. The guarantees are taken from `configuration`, which has to be the one
    // in force.
    virtual PlacementPlan plan(const ZoneInventory&, const Configuration&, std::span<const QueuedJob> queue,
        TimePoint now) const = 0;

    // Proposes a job to move so that one more whole shape becomes free, if the move is worthwhile. Called
    // only while no job waits, because a waiting job could take the room at the destination. The default
    // implementation proposes nothing.
    virtual std::optional<DefragmentationMove> proposeMove(
        const ZoneInventory&, const Configuration&, TimePoint) const
    {
        return std::nullopt;
    }

    // Returns why the job can never run. Empty if it could run in an otherwise empty zone.
    virtual std::string reasonItCanNeverRun(
        const AvailabilityZoneConfiguration&, const Configuration&, const JobSpecification&) const = 0;

    // Largest number of adjacent accelerators that a borrowed job could get now.
    virtual int largestFreeShape(const ZoneInventory&) const = 0;
};

} // namespace anvilmoor
