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

// Events: all input of the daemon. Decisions depend on events and on nothing else.

namespace anvilmoor::batch {

using CallerHandle = std::uint64_t;

// Delivered every tickInterval.
struct Tick { };
constexpr Milliseconds tickInterval { 20 };

// Answers RequestPlacementTurn: the input that had arrived at that time has been handled.
struct PlacementTurn {
    Milliseconds lastDuration { 0 }; // how long the daemon took for the previous turn
};

// The process has received SIGTERM.
struct ShutdownRequested { };

// --- callers

// A query without a job id requests the number of jobs that wait in the queue.
enum class CallerAction { Submit, Query, Cancel };

struct CallerRequest {
    CallerHandle caller = 0;
    CallerAction action = CallerAction::Query;
    std::string host; // without port
    std::string path; // without query string
    std::string apiKey;
    Milliseconds timeout { 0 }; // how long the caller waits for the answer; 0: not stated
    JobSpecification specification; // of a submission, without id
    std::string problem; // of a submission: why its body is not a valid job; empty if it is
    std::size_t bodyBytes = 0;
};

struct CallerGone {
    CallerHandle caller = 0;
};

// --- store

// The rows of a followed table: all of them, or those that have changed. `knownAt` is the time up to which
// the table is known: every write before it is contained in this event or an earlier one.
struct ConfigurationUpdated {
    std::vector<Configuration> versions; // oldest first; empty: nothing new
    TimePoint knownAt {};
};

struct WorkersUpdated {
    // All workers are listed; those neither in `changed` nor in `unreadable` no longer exist.
    bool isComplete = false;
    std::vector<WorkerRecord> changed;
    std::vector<WorkerId> removed;
    TimePoint knownAt {};
    std::vector<WorkerId> unreadable; // listed, but nothing more is known from their entries
    bool isAfterFailure = false; // the store has not answered a request since the previous update
};

enum class SchedulerTable { Lease, Jobs };

struct RowsUpdated {
    SchedulerTable table = SchedulerTable::Jobs;
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
    std::uint64_t token = 0; // fencing token of the order
    RunId run;
    OrderOutcome outcome = OrderOutcome::Unknown;
    WorkerClock clock = 0; // 0: not reported
};

struct StopAnswered {
    WorkerLifetime worker;
    std::uint64_t token = 0; // fencing token of the order
    RunId run;
    OrderOutcome outcome = OrderOutcome::Unknown;
    WorkerClock clock = 0;
};

struct HoldAnswered {
    WorkerLifetime worker;
    std::uint64_t token = 0; // fencing token of the order
    OrderOutcome outcome = OrderOutcome::Unknown;
    WorkerStatus status; // valid only if the order was accepted
    std::uint64_t number = 0; // of the request
};

using EventPayload
    = std::variant<Tick, PlacementTurn, ShutdownRequested, CallerRequest, CallerGone, ConfigurationUpdated,
        WorkersUpdated, RowsUpdated, CommitAnswered, ReadAnswered, StartAnswered, StopAnswered, HoldAnswered>;

struct Event {
    TimePoint now; // also advances while the host is suspended
    WallTime wallTime;
    std::uint64_t random = 0; // a new random number for each event
    EventPayload payload;
};

} // namespace anvilmoor::batch
