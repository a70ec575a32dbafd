#pragma once

#include "anvilmoor/job.h"
#include "anvilmoor/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilmoor::standin {

constexpr Milliseconds taskLease { 30'000 };
constexpr Milliseconds confirmLifetime { 5'000 };

struct ModelTask {
    JobId job;
    AttemptNumber attempt = 0;
    TaskPhase phase = TaskPhase::Reserved;
    int accelerators = 0;
    bool isThrottled = false;
    Milliseconds runTime { 0 }; // remaining run time at the start
    Milliseconds progress { 0 };
    Milliseconds checkpointed { 0 };
    TimePoint leaseEnd {}; // the task is dropped at this time
    TimePoint checkpointEnd {}; // in phase Checkpointing: the task is saved and stopped at this time
    TimePoint phaseSince {};
};

// One worker of the platform. Holds accelerators for leased reservations and tasks, records the highest
// fencing token, and is the authority on which tasks run on it. The caller passes the time with each call.
class WorkerModel {
public:
    WorkerModel(WorkerId, int accelerators);

    WorkerCommandResult command(const WorkerCommand&, TimePoint now);

    // Ends tasks whose lease expired, or whose work or checkpoint is finished. Returns true if a task ended.
    bool advance(TimePoint now);

    // Records a token. Returns false if it is below the highest one, unless stale tokens are accepted. Token
    // 0, which a caretaker uses, is always accepted.
    bool acceptToken(FencingToken);
    // Renews the leases of the given tasks, except those in phase Reserved.
    void renew(const std::vector<LeaseRenewal>&, TimePoint now);

    WorkerReport report() const;

    // Simulates a restart of the worker: all tasks and the token are lost.
    void restart();

    // --- faults
    bool failsEverything = false; // every Run command fails immediately
    bool isDead = false; // does not answer
    bool losesCheckpoints = false; // the object store is down: a checkpoint saves nothing
    bool acceptsStaleTokens = false; // no fencing, as a baseline
    double speed = 1.0; // progress per elapsed time

    const WorkerId& id() const { return m_id; }
    int accelerators() const { return m_accelerators; }
    int accelerators(TaskPhase) const;
    const std::map<std::pair<JobId, AttemptNumber>, ModelTask>& tasks() const { return m_tasks; }
    FencingToken highestToken() const { return m_highestToken; }

private:
    int acceleratorsHeld() const;
    WorkerCommandResult reserve(const WorkerCommand&, TimePoint now);
    WorkerCommandResult confirm(ModelTask&, TimePoint now);
    WorkerCommandResult run(ModelTask&, const WorkerCommand&, TimePoint now);
    WorkerCommandResult checkpoint(ModelTask&, const WorkerCommand&, TimePoint now);
    bool advanceTask(ModelTask&, TimePoint now, bool& isEnded);

    WorkerId m_id;
    int m_accelerators;
    FencingToken m_highestToken = 0;
    TimePoint m_advancedTo {};
    std::map<std::pair<JobId, AttemptNumber>, ModelTask> m_tasks;
    // Ended tasks stay in reports for endedTaskRetention, so that a holder that missed a report sees them in
    // the next one.
    std::map<std::pair<JobId, AttemptNumber>, ModelTask> m_ended;
};

} // namespace anvilmoor::standin
