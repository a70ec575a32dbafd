#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

// Jobs made of steps of tasks, as callers submit them.

namespace anvilmoor::batch {

struct Resources {
    std::int64_t cpuMillicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources&) const = default;
    Resources& operator+=(const Resources&);
    Resources& operator-=(const Resources&);
    bool fitsIn(const Resources& room) const;
};

struct StepSpecification {
    int taskCount = 1;
    Resources perTask;
    Milliseconds estimatedDuration { 0 }; // of one task, roughly
    std::vector<int> dependsOn; // earlier steps, by index, whose tasks must all be done
    bool isGang = false; // the tasks work only while all of them are present
    bool needsOneRack = false; // spread over racks, the tasks run slower
    bool savesCheckpoints = false;
    bool allowsCopies = false; // copies of a task may run at the same time
    bool runsUntilCancelled = false;
    bool usesSpareCpu = false; // its CPU is not counted against a worker's capacity
    std::string requiredLabel; // empty: any worker
    std::string dataRack; // label of the rack that holds the data; elsewhere the tasks run slower
    int maxTasksPerWorker = 0; // 0: any number

    // What each task counts against a worker's capacity.
    Resources countedPerTask() const;
};

// When the steps run. A job without occurrences in time runs once, at once.
struct Schedule {
    WallTime firstDue {};
    Milliseconds interval { 0 };
    int occurrences = 0;
};

struct JobSpecification {
    JobId id;
    std::string payload; // handed to each task as it is
    std::vector<StepSpecification> steps;
    Schedule schedule;
};

// What the configuration said about the job's queue when the job was accepted.
struct QueueTerms {
    std::string queue;
    ServiceId service;
    ClientAccountId account;
    int priority = 0; // 0 comes first
    int maxAttempts = 1; // runs of a task that may fail
    double stretch = 1; // the latency objective is stretch times the longest chain, and latencyTarget more
    Milliseconds latencyTarget { 0 };
};

struct AcceptedJob {
    JobSpecification specification;
    QueueTerms terms;
    WallTime acceptedAt {};

    // Jobs without a schedule have one occurrence.
    int occurrenceCount() const;
    WallTime dueAt(int occurrence) const;
    // Time from acceptance within which the job is worth most.
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

// One start of a task. Runs of a task are numbered from 1; the members of a gang share the number.
struct RunId {
    TaskId task;
    int run = 0;

    auto operator<=>(const RunId&) const = default;
};

} // namespace anvilmoor::batch
