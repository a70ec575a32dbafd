#pragma once

#include "anvilmoor/batch/job.h"
#include "anvilmoor/identifiers.h"
#include "anvilmoor/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Workers, and the reports of workers about their runs.

namespace anvilmoor::batch {

// One lifetime of a worker, from one restart to the next. A restarted worker keeps its name but remembers
// nothing of its earlier lifetimes.
struct WorkerLifetime {
    WorkerId id;
    std::int64_t startedAtMs = 0; // start of the lifetime in Unix ms, as reported by the worker

    auto operator<=>(const WorkerLifetime&) const = default;
};

// Milliseconds on the worker's own steady clock, which may be up to 2% slow.
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
    Milliseconds remaining { 0 }; // minimum time for which a draining worker stays available
    WorkerClock writtenAt = 0; // when the worker wrote this record; 0: not stated
};

enum class RunEnd {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken, // another member of the gang ended
    GangIncomplete, // the other members of the gang did not start in time
};

struct ActiveRun {
    RunId run;
    std::string checkpoint; // empty: none yet
    int percent = 0; // completed share of its work; also 100 while it waits for the rest of its gang
};

struct EndedRun {
    std::uint64_t sequence = 0; // counts from 1 in each lifetime of the worker
    RunId run;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

struct WorkerStatus {
    WorkerClock clock = 0;
    std::int64_t startedAtMs = 0;
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended; // ended runs not acknowledged yet, oldest first
    bool mayHaveMoreEnds = false; // `ended` is as long as it can be, so later ends may be missing
};

enum class OrderOutcome {
    Accepted,
    Rejected, // the order had no effect and will have none
    InsufficientCapacity, // rejected because the worker lacks the capacity
    Outdated, // the worker knows of a newer leader or of a newer run
    OtherLifetime, // the worker has restarted; the order named an earlier lifetime
    NotSent, // the worker could not be connected to, so the order had no effect and will have none
    Unknown, // no answer: it may have been executed, or may still be executed
};

} // namespace anvilmoor::batch
