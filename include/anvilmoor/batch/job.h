#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

// Jobs as callers submit them. A job consists of steps, and each step of tasks.

namespace anvilmoor::batch {

struct Resources {
    std::int64_t cpuMillicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources&) const = default;
    Resources& operator+=(const Resources&);
    Resources& operator-=(const Resources&);
    bool fitsIn(const Resources& available) const;
};

struct StepSpecification {
    int taskCount = 1;
    Resources perTask;
    Milliseconds estimatedDuration { 0 }; // rough estimate for one task
    std::vector<int> dependsOn; // indices of earlier steps whose tasks must all be done first
    bool isGang = false; // the tasks make progress only while all of them are running
    bool needsOneRack = false; // the tasks run slower if they are spread over several racks
    bool savesCheckpoints = false;
    bool allowsCopies = false; // copies of a task may run at the same time
    bool runsUntilCancelled = false;
    bool usesSpareCpu = false; // its CPU is not counted against a worker's capacity
    std::string requiredLabel; // empty: any worker
    std::string dataRack; // label of the rack that holds the data; elsewhere the tasks run slower
    int maxTasksPerWorker = 0; // 0: no limit

    // Resources that each task takes from its worker's capacity.
    Resources countedPerTask() const;
};

// When the job runs. A job with zero occurrences has no schedule: it runs once, immediately.
struct Schedule {
    WallTime firstDue {};
    Milliseconds interval { 0 };
    int occurrences = 0;
};

struct JobSpecification {
    JobId id;
    std::string payload; // passed to each task unchanged
    std::vector<StepSpecification> steps;
    Schedule schedule;
};

// Describes a job's steps in the log. "4x8" is a step of four tasks with eight accelerators each; "g" marks a
// gang, "r" a step that needs one rack.
std::string describeShape(const JobSpecification&);

// The configuration of the job's queue at the time the job was accepted.
struct QueueTerms {
    std::string queue;
    ServiceId service;
    ClientAccountId account;
    int priority = 0; // 0 is the highest priority
    int maxAttempts = 1; // the job fails when a task has failed this many times
    double stretch = 1; // latency objective: stretch times the longest chain of steps, plus latencyTarget
    Milliseconds latencyTarget { 0 };
};

struct AcceptedJob {
    JobSpecification specification;
    QueueTerms terms;
    WallTime acceptedAt {};

    // Jobs without a schedule have one occurrence.
    int occurrenceCount() const;
    WallTime dueAt(int occurrence) const;
    // Latency objective, counted from dueAt(): an occurrence that ends later is worth little.
    Milliseconds objective() const;
};

enum class JobState { Pending, Running, Completed, Failed, Cancelled };

bool isTerminal(JobState);

struct TaskId {
    JobId job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const TaskId&) const = default;
};

// A step of one occurrence of a job.
struct StepId {
    JobId job;
    int occurrence = 0;
    int step = 0;

    auto operator<=>(const StepId&) const = default;
};

// One execution of a task. The runs of a task are numbered from 1; the members of a gang share the number.
struct RunId {
    TaskId task;
    int run = 0;

    auto operator<=>(const RunId&) const = default;
};

} // namespace anvilmoor::batch
