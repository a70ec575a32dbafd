#pragma once

#include "batch/placement/service_use.h"
#include "batch/workers/worker_pool.h"

#include <map>

namespace anvilmoor::batch {

// Bounds the share of a service that less urgent work may use while a more urgent step waits there without a
// hold. Beyond the room that holds keep, less urgent work would otherwise take whatever becomes free, and the
// waiting step would never find enough of it at once. The share is not zero, so that no priority starves.
//
// Holds for one round of placement. Steps have to be considered in order of urgency.
class LessUrgentShare {
public:
    void beginRound(const WorkerPool&);
    // A step of the priority waits without a hold, for lack of the share that may be held.
    void noteWaitingWithoutHold(const ServiceId&, int priority);
    // Returns whether a unit of the priority may be placed. Its size does not matter, so the share may be
    // exceeded by one unit: a wide gang would never be admitted otherwise.
    bool admits(const ServiceId&, int priority) const;
    // Must be called when work was placed in this round.
    void notePlaced(const ServiceId&, int priority, const Resources&);

private:
    struct Bound {
        int priority = 0; // of the most urgent step that waits without a hold
        ServiceUse use;
    };

    const WorkerPool* m_workers = nullptr;
    std::map<ServiceId, Bound> m_bounds;
};

} // namespace anvilmoor::batch
