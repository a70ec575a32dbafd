#pragma once

#include "anvilmoor/configuration.h"
#include "anvilmoor/job.h"
#include "anvilmoor/time.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilmoor {

// Sum over all members.
int acceleratorsOf(std::span<const GangMember>);

// The accelerators that a job holds in the zone or is about to hold.
struct Holding {
    JobId job;
    ClientAccountId account;
    JobClass jobClass = JobClass::Borrowed;
    int priority = 0;
    std::vector<GangMember> members;
    TimePoint startedAt {};
    Milliseconds progress { 0 }; // as last reported; behind the actual progress
    Milliseconds checkpointed { 0 }; // progress that is kept if the job is stopped
    bool isThrottled = false;
    bool isLeaving = false; // being checkpointed or stopped; its accelerators are not free yet
};

struct WorkerCapacity {
    WorkerId id;
    std::size_t rack = 0; // index into racks()
    int accelerators = 0;
    int held = 0; // by all holdings
    int heldByGuaranteed = 0;
    int heldByLeaving = 0; // by borrowed holdings that are leaving
    int heldByThrottled = 0;
    bool isUsable = false; // live, reached under the current fencing token, not quarantined
    NoiseProfile noise;

    int free() const { return isUsable ? accelerators - held : 0; }
};

// The accelerators that one holding uses on one worker.
struct WorkerUse {
    const Holding* holding = nullptr; // valid until the holding is removed
    int accelerators = 0;
};

// The workers of a rack are consecutive in workers(). Racks next to each other in racks() are adjacent.
struct RackCapacity {
    RackId id;
    std::size_t firstWorker = 0;
    std::size_t workerCount = 0;
    int free = 0; // over usable workers
    int freeIfEvicted = 0; // free, plus those of borrowed holdings on usable workers
    int accelerators = 0; // over usable workers
};

// The accelerators of one availability zone and the jobs that hold them. Rack sums are updated at each
// change, so that a placement reads the racks first and then only the workers of racks with enough room.
class ZoneInventory {
public:
    explicit ZoneInventory(const AvailabilityZoneConfiguration&);
    ZoneInventory(const ZoneInventory&);
    ZoneInventory(ZoneInventory&&) = default;
    ZoneInventory& operator=(const ZoneInventory&);
    ZoneInventory& operator=(ZoneInventory&&) = default;
    ~ZoneInventory() = default;

    const AvailabilityZoneId& zone() const { return m_zone; }
    // Accelerators of the zone's largest rack, including those of unusable workers. A shape up to this size
    // is adjacent only within one rack, a larger one in consecutive racks.
    int rackSize() const { return m_rackSize; }
    std::span<const RackCapacity> racks() const { return m_racks; }
    std::span<const WorkerCapacity> workers() const { return m_workers; }
    const std::map<JobId, Holding>& holdings() const { return m_holdings; }

    // Null if absent.
    const Holding* find(const JobId&) const;
    const WorkerCapacity* find(const WorkerId&) const;
    // Index into workers(). Precondition: the worker exists.
    std::size_t indexOf(const WorkerId& worker) const { return m_workerIndex.at(worker); }

    // Books the members. Returns false and books nothing if the job already has a holding, if there are no
    // members, if a member has no accelerators, or if a worker does not exist or has too few accelerators
    // that are not held.
    [[nodiscard]] bool add(Holding);
    void remove(const JobId&);
    void setUsable(const WorkerId&, bool isUsable);
    void updateProgress(const JobId&, Milliseconds progress, Milliseconds checkpointed);
    void setThrottled(const JobId&, bool isThrottled);
    void setLeaving(const JobId&);

    // The uses of the worker at this index of workers(), in order of booking.
    std::span<const WorkerUse> usesOf(std::size_t worker) const { return m_uses[worker]; }

    // Accelerators that the account holds, over all its holdings.
    int heldBy(const ClientAccountId&) const;
    // Sizes of the account's guaranteed holdings, ascending. Valid until the next change.
    std::span<const int> guaranteedSizesOf(const ClientAccountId&) const;

private:
    void changeHeld(const Holding&, int sign);
    void changeGuaranteedSizes(const Holding&, int sign);
    void relinkUses();

    AvailabilityZoneId m_zone;
    int m_rackSize = 0;
    std::vector<RackCapacity> m_racks;
    std::vector<WorkerCapacity> m_workers;
    std::vector<std::vector<WorkerUse>> m_uses; // per worker
    std::unordered_map<WorkerId, std::size_t> m_workerIndex;
    std::map<JobId, Holding> m_holdings;
    std::unordered_map<ClientAccountId, int> m_heldByAccount;
    std::unordered_map<ClientAccountId, std::vector<int>> m_guaranteedSizes; // ascending
};

} // namespace anvilmoor
