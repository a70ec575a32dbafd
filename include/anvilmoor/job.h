#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvilmoor {

// Incremented each time a zone's role gets a new holder. Workers refuse tokens below the highest seen.
using FencingToken = std::uint64_t;

// Incremented each time a job is placed. Attempt 0 means that it has not been placed yet.
using AttemptNumber = std::uint32_t;

constexpr int maxGangAccelerators = 512;

enum class JobClass {
    Guaranteed, // claims a guaranteed shape of its account; evicts borrowed work
    Borrowed, // uses free accelerators; may be evicted at any time
};

// A submitter's specification of a job. A job with several members is a gang: all members run or none does.
struct JobSpecification {
    JobId id; // assigned by the accepting daemon
    ClientAccountId account;
    std::string key; // the submitter's idempotency key, unique within the account
    AvailabilityZoneId zone;
    JobClass jobClass = JobClass::Borrowed;
    int accelerators = 0; // total over all members, 1 to maxGangAccelerators
    bool adjacent = true; // members in one rack, or in consecutive racks where one rack is too small
    int priority = 0; // 0 to 9, higher first
    Milliseconds declaredRunTime { 0 }; // an estimate, which may be inaccurate
};

enum class JobState {
    Queued,
    Placed, // placement committed to the table; members are being confirmed and started
    Running,
    Finished,
    Cancelled,
    Failed,
};

// One member of a gang: the accelerators that the job holds on one worker.
struct GangMember {
    WorkerId worker;
    int accelerators = 0;

    bool operator==(const GangMember&) const = default;
};

struct JobStatus {
    JobSpecification specification;
    JobState state = JobState::Queued;
    AttemptNumber attempt = 0;
    FencingToken token = 0; // of the holder that committed the placement
    std::vector<GangMember> members; // empty unless placed or running
    std::string reason; // why the job failed, or why it is still queued
    Milliseconds checkpointed { 0 }; // progress saved by the last checkpoint
    WallTime submittedAt {};
    WallTime finishedAt {};
};

enum class WorkerCommandKind {
    Reserve, // hold accelerators for ttl
    Confirm, // extend a reservation to the confirm lifetime; only after the placement is committed
    Run, // start the task on confirmed accelerators
    Release, // cancel a reservation or stop the task at once
    Checkpoint, // save progress to the object store, then stop and release
    Throttle, // reduce or restore the task's speed
    Stop, // stop the task and release its accelerators
};

// Idempotent by (job, attempt, kind).
struct WorkerCommand {
    WorkerCommandKind kind = WorkerCommandKind::Reserve;
    FencingToken token = 0;
    JobId job;
    AttemptNumber attempt = 0;
    int accelerators = 0;
    Milliseconds ttl { 0 }; // Reserve: lifetime; Checkpoint: grace until the worker stops the task
    Milliseconds runTime { 0 }; // Run: remaining declared run time, for the stand-in and for reports
    bool throttled = false; // Throttle
};

enum class WorkerCommandResult {
    Ok,
    StaleToken, // a newer holder exists
    NoCapacity,
    UnknownTask, // the reservation or task has expired or never existed
    Failed, // the worker tried to execute the command and failed
    Unreachable, // no answer; the command may have taken effect
};

enum class TaskPhase {
    Reserved,
    Confirmed,
    Running,
    Checkpointing,
    Finished,
    Failed,
};

// One task as reported by its worker. The report may be out of date.
struct TaskReport {
    JobId job;
    AttemptNumber attempt = 0;
    TaskPhase phase = TaskPhase::Reserved;
    int accelerators = 0;
    bool throttled = false;
    Milliseconds progress { 0 };
    Milliseconds checkpointed { 0 };
};

struct WorkerReport {
    WorkerId worker;
    bool isLive = true;
    std::vector<TaskReport> tasks;
};

// A task lease to be renewed by a rack sync, because all members of the gang have been reported.
struct LeaseRenewal {
    JobId job;
    AttemptNumber attempt = 0;
};

} // namespace anvilmoor
