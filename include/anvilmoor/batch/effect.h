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

// What the daemon does. The reducer returns effects as data; the executor carries them out.

namespace anvilmoor::batch {

struct StartRun {
    WorkerLifetime worker;
    std::string address;
    RunId run;
    std::string payload;
    std::string checkpoint; // empty: from the beginning
    WorkerClock leaseUntil = 0;
    std::uint64_t token = 0;
};

struct StopRun {
    WorkerLifetime worker;
    std::string address;
    RunId run;
    std::uint64_t token = 0;
};

// Asks for a worker's runs and, if a lease is given, extends it.
struct HoldWorker {
    WorkerLifetime worker;
    std::string address;
    std::uint64_t token = 0;
    std::uint64_t acknowledgedEnd = 0; // ends up to this one may be forgotten
    std::optional<WorkerClock> leaseUntil;
    Milliseconds wait { 0 }; // the answer waits this long for an end
};

struct Commit {
    OperationId operation = 0;
    Transaction transaction;
};

// Reads the rows of a range of keys; `until` is excluded, and empty for all.
struct ReadRows {
    OperationId operation = 0;
    RowKey from;
    std::string until;
};

// Starts or stops following what only the leader needs: jobs and workers.
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
    NotAccepted, // certainly not stored; the caller may come back
    OutcomeUnknown,
    NoConfiguration,
};

struct AnswerCaller {
    CallerHandle caller = 0;
    AnswerKind kind = AnswerKind::OutcomeUnknown;
    JobState state = JobState::Pending;
    std::uint64_t count = 0;
    Milliseconds retryAfter { 0 };
    std::string detail;
};

// The last effect of a daemon that shuts down.
struct StopDaemon { };

enum class RecordLevel { Info, Warning };

struct RecordEvent {
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
    RecordLevel level = RecordLevel::Info;
};

using Effect = std::variant<StartRun, StopRun, HoldWorker, Commit, ReadRows, FollowLeaderTables, AnswerCaller,
    StopDaemon, RecordEvent>;

} // namespace anvilmoor::batch
