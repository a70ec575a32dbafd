#pragma once

#include "placement/placement_policy.h"
#include "placement/placement_room.h"
#include "reclaim/reclaim_policy.h"

#include <string>

namespace anvilmoor {

// A plan under construction and the room that it has not allocated.
class PlanDraft {
public:
    explicit PlanDraft(const ZoneInventory&);

    const PlacementRoom& room() const { return m_room; }

    // Continues a job for which an earlier plan requested evictions: starts it if its claimed members are
    // free, requests the evictions that are missing, or lets it wait for jobs that are leaving. Returns false
    // and does nothing if the job has no claimed members, or if they can no longer be freed.
    bool resume(const QueuedJob&);
    // Precondition: the members are free or leaving after the evictions. Jobs that are already leaving and
    // whose accelerators are needed are added to the evictions of the start, so that a start without
    // evictions needs only accelerators that are free now.
    void start(const QueuedJob&, ReclaimChoice);
    void wait(const QueuedJob&, std::string reason);

    PlacementPlan finish() { return std::move(m_plan); }

private:
    void addLeavingToEvictions(ReclaimChoice&) const;
    std::vector<JobId> missingEvictions(std::span<const GangMember>) const;

    PlacementRoom m_room;
    PlacementPlan m_plan;
};

} // namespace anvilmoor
