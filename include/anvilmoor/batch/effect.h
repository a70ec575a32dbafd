#pragma once

#include "anvilmoor/batch/event.h"
#include "anvilmoor/batch/job.h"
#include "anvilmoor/batch/rows.h"
#include "anvilmoor/batch/worker.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

// Effects: the actions that the daemon takes. The reducer returns them as data; the daemon's event loop
// executes them.

namespace anvilmoor::batch {

struct StartRun {
    WorkerLifetime worker;
    std::string address;
    RunId run;
    std::string payload;
    std::string checkpoint; // empty: the task starts from the beginning
    WorkerClock leaseUntil = 0;
    std::uint64_t token = 0;
};

struct StopRun {
    WorkerLifetime worker;
    std::string address;
    RunId run;
    std::uint64_t token = 0;
};

// Requests the status of a worker's runs and, if `leaseUntil` is given, extends the worker's lease.
struct HoldWorker {
    WorkerLifetime worker;
    std::string address;
    std::uint64_t token = 0;
    std::uint64_t acknowledgedEnd = 0; // the worker may discard ended runs up to this sequence number
    std::optional<WorkerClock> leaseUntil;
    Milliseconds wait { 0 }; // long poll: the worker waits this long for a run to end
    std::uint64_t number = 0; // of this request to the worker, repeated in the answer
};

struct Commit {
    OperationId operation = 0;
    Transaction transaction;
};

// Reads the rows from `from` up to, but not including, the key `until`. An empty `until` means the end of the
// part.
struct ReadRows {
    OperationId operation = 0;
    RowKey from;
    std::string until;
};

// Starts or stops following the tables that only the leader needs: jobs and workers.
struct FollowLeaderTables {
    bool isFollowing = false;
};

enum class AnswerKind {
    Accepted,
    State,
    Count,
    Cancelled,
    NoSuchJob,
    NoSuchQueue,
    UnknownKey,
    Malformed,
    TooLarge,
    NotAccepted, // the request was certainly not stored; the caller may retry
    OutcomeUnknown,
    NoConfiguration,
    ShuttingDown, // the daemon accepts no more requests; another one does
    TooManyCancels, // of jobs that are not stored; the caller may ask again
    CountUnknown, // the number of waiting jobs is not known at present; the caller may ask again
};

struct AnswerCaller {
    CallerHandle caller = 0;
    AnswerKind kind = AnswerKind::OutcomeUnknown;
    JobState state = JobState::Pending;
    std::uint64_t count = 0;
    Milliseconds retryAfter { 0 };
    std::string detail;
};

// Asks for a PlacementTurn once the input that has arrived meanwhile is handled: answers of workers and of
// the store keep leases alive, so they go before placement.
struct RequestPlacementTurn { };

// The last effect of a daemon that shuts down.
struct StopDaemon { };

// A job was placed for the first time.
struct RecordWait {
    int priority = 0;
    int tasks = 0; // most tasks of the job that are placed together
    Milliseconds wait { 0 }; // since its acceptance, or since it was due
};

enum class RecordLevel { Info, Warning };

struct RecordEvent {
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
    RecordLevel level = RecordLevel::Info;
};

using Effect = std::variant<StartRun, StopRun, HoldWorker, Commit, ReadRows, FollowLeaderTables,
    RequestPlacementTurn, AnswerCaller, StopDaemon, RecordWait, RecordEvent>;

} // namespace anvilmoor::batch
