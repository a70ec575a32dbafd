#pragma once

#include "batch/workers/worker_pool.h"

#include <map>

namespace anvilmoor::batch {

// What runs use of the listed workers of a service.
struct ServiceUse {
    Resources whole; // of all workers
    std::map<int, Resources> byPriority;

    // Of runs of this priority and of less urgent ones.
    Resources fromPriority(int priority) const;
};

ServiceUse useOf(const WorkerPool&, const ServiceId&);

// The share of the resource that is used most.
double dominantShare(const Resources& used, const Resources& whole);

// Returns the dominant share of the service's capacity that runs on listed workers use.
double shareInUse(const WorkerPool&, const ServiceId&);

} // namespace anvilmoor::batch
