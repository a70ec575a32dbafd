#pragma once

#include "placement/placement_room.h"
#include "placement/rack_runs.h"
#include "reclaim/reclaim_policy.h"

#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace anvilmoor {

// A borrowed job that may be evicted to make room for a claim.
struct ReclaimCandidate {
    const Holding* holding = nullptr;
    int gain = 0; // accelerators in the site's racks that its eviction frees
    double cost = 0; // of evicting the job; set by the policy
    std::vector<std::pair<std::size_t, int>> uses; // worker index, accelerators
};

// A set of racks in which a claim could be placed, and the jobs that may be evicted from them.
class ReclaimSite {
public:
    // `racks`: indexes in ascending order. The room and the request must outlive the site.
    ReclaimSite(const PlacementRoom&, const ReclaimRequest&, std::vector<std::size_t> racks);

    // In order of the jobs' first workers; jobs on the same worker in order of booking.
    std::vector<ReclaimCandidate> candidates() const;

    void evict(const ReclaimCandidate&);
    void undoEvict(const ReclaimCandidate&);

    // Accelerators that the claim lacks after the evictions so far. Zero or negative if the claim fits.
    int missing() const { return m_request.accelerators - m_available; }
    // True if too few accelerators are free now, so that the claim has to wait for jobs to leave. These may
    // be jobs that were already leaving, or jobs that are evicted for the claim.
    bool mustWait() const;

    // Members for the claim. Empty if accelerators are missing, or if the request asks for adjacent racks
    // and the racks with room have a gap.
    std::optional<std::vector<GangMember>> members() const;

private:
    void change(const ReclaimCandidate&, int sign);
    int limit(std::size_t rack) const;
    int usable(std::size_t position) const;
    std::vector<int> sharesPerRack() const;
    void appendFrom(std::size_t position, int amount, std::vector<GangMember>&) const;

    const PlacementRoom& m_room;
    const ReclaimRequest& m_request;
    std::vector<std::size_t> m_racks;
    std::vector<int> m_rackRoom; // free or leaving accelerators, per entry of m_racks
    std::vector<std::vector<int>> m_workerRoom; // the same, per worker of the rack
    int m_available = 0; // sum of usable()
};

// Accelerators that each rack could provide for the request: those that are free or leaving and those of
// work that may be evicted, up to the rack's limit.
std::vector<int> reachFor(const PlacementRoom&, const ReclaimRequest&);

} // namespace anvilmoor
