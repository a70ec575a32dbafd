#pragma once

#include "anvilmoor/batch/job.h"
#include "anvilmoor/identifiers.h"
#include "anvilmoor/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Workers, and what they report about the runs on them.

namespace anvilmoor::batch {

// One lifetime of a worker. A worker that restarts keeps its name, and knows nothing of before.
struct WorkerLifetime {
    WorkerId id;
    std::int64_t bornAt = 0; // Unix ms, as the worker states it

    auto operator<=>(const WorkerLifetime&) const = default;
};

// The worker's own steady clock, in ms. Up to 2% slow.
using WorkerClock = std::int64_t;

struct WorkerRecord {
    WorkerLifetime lifetime;
    std::string address; // "ip:port"
    ServiceId service;
    AvailabilityZoneId zone;
    Resources capacity;
    std::string kind;
    RackId rack;
    bool isDraining = false;
    Milliseconds remaining { 0 }; // least time that a draining worker stays
};

enum class RunEnd {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken, // another member ended
    GangIncomplete, // the other members did not arrive in time
};

struct ActiveRun {
    RunId run;
    std::string checkpoint; // empty: none yet
    int percent = 0; // of its work that is done; 100 also while it waits for the rest of its gang
};

struct EndedRun {
    std::uint64_t sequence = 0; // from 1 in each lifetime
    RunId run;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

struct WorkerStatus {
    WorkerClock clock = 0;
    std::int64_t bornAt = 0;
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended; // those not acknowledged yet, oldest first
};

enum class OrderOutcome {
    Accepted,
    Rejected, // nothing was done, and nothing will be
    NoRoom, // rejected for want of capacity
    Outdated, // a newer leader has called, or a newer run has been seen
    OtherLifetime, // the lifetime that was meant is over
    Unknown, // no answer: it may have been done, or be done later
};

} // namespace anvilmoor::batch
