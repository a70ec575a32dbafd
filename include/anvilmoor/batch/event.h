#pragma once

#include "anvilmoor/batch/configuration.h"
#include "anvilmoor/batch/job.h"
#include "anvilmoor/batch/rows.h"
#include "anvilmoor/batch/worker.h"
#include "anvilmoor/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// Everything that the daemon learns. Decisions depend on events and on nothing else.

namespace anvilmoor::batch {

using CallerHandle = std::uint64_t;

// Comes every tickInterval.
struct Tick { };
constexpr Milliseconds tickInterval { 20 };

// SIGTERM.
struct ShutdownRequested { };

// --- callers

// A query without a job id asks for the count of the queue's waiting jobs.
enum class CallerAction { Submit, Query, Cancel };

struct CallerRequest {
    CallerHandle caller = 0;
    CallerAction action = CallerAction::Query;
    std::string host; // without port
    std::string path; // without query
    std::string apiKey;
    Milliseconds timeout { 0 }; // for how long the caller waits; 0: not stated
    JobSpecification specification; // of a submission, without id
    std::string problem; // of a submission: why its body is no job; empty if it is one
    std::size_t bodyBytes = 0;
};

struct CallerGone {
    CallerHandle caller = 0;
};

// --- store

// A table that the daemon follows, as a whole or as changes to it. `knownAt` is the time for which the news
// hold: nothing that was written before it is missing.
struct ConfigurationFollowed {
    std::vector<Configuration> versions; // oldest first; empty: nothing new
    TimePoint knownAt {};
};

struct WorkersFollowed {
    bool isComplete = false; // what is not named is gone
    std::vector<WorkerRecord> changed;
    std::vector<WorkerId> removed;
    TimePoint knownAt {};
};

enum class OwnTable { Lease, Jobs };

struct RowsFollowed {
    OwnTable table = OwnTable::Jobs;
    bool isComplete = false;
    std::vector<Row> rows;
    TimePoint knownAt {};
    StoreClock answeredAt = 0;
};

using OperationId = std::uint64_t;

struct CommitAnswered {
    OperationId operation = 0;
    CommitReply reply;
};

struct ReadAnswered {
    OperationId operation = 0;
    ReadReply reply;
};

// --- workers

struct StartAnswered {
    WorkerLifetime worker;
    std::uint64_t token = 0; // that the order carried
    RunId run;
    OrderOutcome outcome = OrderOutcome::Unknown;
    WorkerClock clock = 0; // 0: not told
};

struct StopAnswered {
    WorkerLifetime worker;
    std::uint64_t token = 0; // that the order carried
    RunId run;
    OrderOutcome outcome = OrderOutcome::Unknown;
    WorkerClock clock = 0;
};

struct HoldAnswered {
    WorkerLifetime worker;
    std::uint64_t token = 0; // that the order carried
    OrderOutcome outcome = OrderOutcome::Unknown;
    WorkerStatus status; // if accepted
};

using EventPayload = std::variant<Tick, ShutdownRequested, CallerRequest, CallerGone, ConfigurationFollowed,
    WorkersFollowed, RowsFollowed, CommitAnswered, ReadAnswered, StartAnswered, StopAnswered, HoldAnswered>;

struct Event {
    TimePoint now; // goes on while the host is suspended
    WallTime wallTime;
    std::uint64_t random = 0; // fresh for each event
    EventPayload payload;
};

} // namespace anvilmoor::batch
