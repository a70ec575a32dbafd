#pragma once

#include "anvilmoor/event.h"
#include "core/step.h"
#include "jobs/operation_counter.h"
#include "jobs/zone_observation.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmoor {

// Time after which a confirmed or running member that cannot be reached has certainly expired: confirm
// lifetime (5 s) plus task lease (30 s), increased by 10% for timer drift.
constexpr Milliseconds maxMemberLifetime { 38'500 };

enum class GangPhase {
    Recovering, // a new holder waits for reports of the members' racks
    Reserving,
    Committing, // every member is reserved; the row is being written
    Confirming,
    Starting,
    Running,
    Checkpointing, // evicted; members save their progress
    Stopping,
    Stopped, // no member holds accelerators any more
    Finished, // every member has finished
};

enum class StopCause {
    None,
    NotPlaced, // stopped before or during the start; no worker is at fault
    Failed, // a worker reported that a member failed
    MemberMissing, // a live worker no longer has its member
    WorkerLost,
    Evicted,
    Cancelled,
};

struct GangStop {
    StopCause cause = StopCause::None;
    std::string reason;
    WorkerId worker; // that caused the failure; empty if none did
};

// The dependencies of a gang in one step.
struct GangContext {
    Step& step;
    FencingToken token = 0;
    const ZoneObservation& observation;
    OperationCounter& counter;
    // Commands in flight, by operation sequence.
    std::map<std::uint64_t, JobId>& commands;
};

// Controls one attempt of a job: reserves, confirms, runs, monitors and stops all its members together.
class GangController {
public:
    GangController(JobId, AttemptNumber, std::vector<GangMember>, Milliseconds runTime, TimePoint now);

    // Restores a committed attempt that a new holder found in the job's row. `takeoverTime` is the time at
    // which the new holder took over the role.
    static GangController recovered(JobId, AttemptNumber, std::vector<GangMember>, Milliseconds runTime,
        bool isRunning, TimePoint takeoverTime);

    const JobId& job() const { return m_job; }
    AttemptNumber attempt() const { return m_attempt; }
    GangPhase phase() const { return m_phase; }
    const GangStop& stopCause() const { return m_stop; }
    TimePoint runningSince() const { return m_runningSince; }
    std::vector<GangMember> members() const;
    bool hasMember(const WorkerId&, int accelerators) const;

    // Sends due commands and enters the next phase when the current one is complete.
    void advance(GangContext&);
    // Called when the placement is stored in the job's row; starts to confirm the members.
    void onCommitted(GangContext&);
    // Lets the members save their progress for at most `grace`, then stops them. Stops them immediately if
    // `grace` is zero or the gang is not running.
    void evict(Milliseconds grace, std::string reason, GangContext&);
    void stop(GangStop, GangContext&);
    void setThrottled(bool, GangContext&);

    // True if the reply belongs to an operation of this gang.
    bool handle(const WorkerReplied&, GangContext&);
    // True if a worker refused the token: a newer holder exists.
    bool isTokenRefused() const { return m_isTokenRefused; }

    // True if every member was reported running, or finished, within the last 10 s.
    bool isRenewable(const ZoneObservation&, TimePoint now) const;
    void recordRenewal(TimePoint now) { m_renewedAt = now; }

    // Minimum progress over all members, as last reported.
    Milliseconds progress() const;
    // Progress that all members have saved.
    Milliseconds checkpointed() const;
    // True if every member is known to be throttled.
    bool isThrottled() const;
    // True if some member has not yet confirmed the state last requested by setThrottled().
    bool isThrottlePending() const;
    // True if the last call of setThrottled() requested a throttle.
    bool isThrottleRequested() const { return m_requestedThrottle.value_or(false); }
    // When setThrottled() was last called.
    TimePoint throttleRequestedAt() const { return m_throttleRequestedAt; }
    // Members that are not known to have released their accelerators. Empty once stopped.
    std::vector<GangMember> unreleasedMembers() const;

private:
    struct Member {
        GangMember member;
        bool isDone = false; // has completed the command of the current phase
        bool isGone = false; // holds no accelerators any more
        bool isFinished = false;
        bool isThrottled = false;
        std::uint64_t operation = 0; // in flight; 0: none
        WorkerCommandKind sent = WorkerCommandKind::Reserve;
        TimePoint sentAt {};
        TimePoint dueAt {};
        TimePoint doneAt {};
        TimePoint lastCommandAt {}; // last command that can make the worker hold accelerators
        std::uint64_t throttleOperation = 0;
        TimePoint throttleSentAt {};
        Milliseconds progress { 0 };
        Milliseconds checkpointed { 0 };
    };

    void enter(GangPhase, TimePoint now);
    void send(Member&, WorkerCommandKind, GangContext&);
    // Sends the command to members that have not completed it. True if all have.
    bool sendToAll(WorkerCommandKind, GangContext&);
    void keepAlive(WorkerCommandKind, GangContext&);
    void sendThrottles(GangContext&);
    void handleResult(Member&, WorkerCommandResult, GangContext&);

    // --- gang_watch.cpp: reacts to reports
    void watch(GangContext&);
    bool stopIfWorkerLost(GangContext&);
    bool stopIfMemberFailed(GangContext&);
    void advanceRecovering(GangContext&);
    void advanceRunning(GangContext&);
    void advanceCheckpointing(GangContext&);
    void advanceStopping(GangContext&);
    bool isAbsent(const Member&, const GangContext&, TimePoint since) const;
    bool hasExpired(const Member&, TimePoint now) const;
    bool areAllFinished() const;
    std::optional<Milliseconds> minOverUnfinished(Milliseconds Member::*) const;

    JobId m_job;
    AttemptNumber m_attempt;
    std::vector<Member> m_members;
    Milliseconds m_runTime;
    GangPhase m_phase = GangPhase::Reserving;
    TimePoint m_phaseSince;
    TimePoint m_runningSince {};
    TimePoint m_renewedAt {};
    TimePoint m_stopAt {}; // in phase Checkpointing: end of the grace period
    bool m_isCommitted = false;
    bool m_isRowRunning = false; // recovered from a row in state running
    bool m_isTokenRefused = false;
    std::optional<bool> m_requestedThrottle;
    TimePoint m_throttleRequestedAt {};
    GangStop m_stop;
};

} // namespace anvilmoor
