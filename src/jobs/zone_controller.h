#pragma once

#include "anvilmoor/event.h"
#include "core/step.h"
#include "core/views.h"
#include "jobs/gang_controller.h"
#include "jobs/job_store.h"
#include "jobs/operation_counter.h"
#include "jobs/placement_queue.h"
#include "jobs/worker_quarantine.h"
#include "jobs/zone_observation.h"
#include "noise/noise_policy.h"
#include "placement/placement_policy.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace anvilmoor {

// Workers of a rack that has not answered a sync for this long get no new tasks.
constexpr Milliseconds rackReportTimeout { 5'000 };

// Controls the jobs of a zone on the daemon that holds the zone's role: recovers them after a takeover,
// places queued jobs, and drives each job to a terminal state. Acts only in calls that pass the held role;
// the rack reports it reads may be updated at any time.
class ZoneController {
public:
    ZoneController(const DaemonSettings&, const ConfigurationView&, const EndpointDirectory&,
        const PlacementPolicy&, const NoisePolicy&, JobStore&, ZoneObservation&, OperationCounter&);

    // Starts a new term of the role: discards the state of earlier terms and waits until the job rows are
    // read.
    void begin(const HeldRole&, Step&);
    // Continues the same term after a pause. The next tick reconciles all jobs, since rows may have changed.
    void resume() { m_mustReconcileAll = true; }
    void configure(const AvailabilityZoneConfiguration&, Step&);

    // Sends due commands, places queued jobs, and enforces the noise limit.
    void tick(const HeldRole&, Step&);
    void handle(const WorkerReplied&, const HeldRole&, Step&);
    void entriesChanged(const std::set<JobId>&, const HeldRole&, Step&);
    void reportsChanged(const std::set<TaskKey>&, const HeldRole&, Step&);

    // True if the task's lease may be renewed: recent reports show every member of its gang. The lease then
    // counts as renewed at `now`.
    bool isRenewable(const TaskKey&, TimePoint now);

    // Asked before this daemon renews a lease as the caretaker. False if, in this daemon's last term, the
    // attempt was stopped, superseded, or not in phase Running. Otherwise the lease counts as renewed at
    // `now`.
    bool mayRenewAsCaretaker(const TaskKey&, TimePoint now);

    void setObjectStoreDown(bool isDown) { m_isObjectStoreDown = isDown; }
    // No new placement starts from now on.
    void beginShutdown();
    // True if no gang is starting or stopping. Gangs in recovery do not count: a member that cannot be
    // reached is left to the next holder.
    bool isIdleForHandover() const;
    bool isTokenRefused() const { return m_isTokenRefused; }

    const ZoneSummary& summary() const { return m_summary; }
    double noiseDb() const { return m_noiseDb; }
    double noiseLimitDb() const { return m_noiseLimitDb; }
    std::string waitReason(const JobId& job) const { return m_queue.reason(job); }

private:
    GangContext context(const HeldRole& role, Step& step);
    // --- zone_gangs.cpp
    // Applies the change to the gang, then handles the resulting phase transition, if any.
    void changeGang(
        const JobId&, const std::function<void(GangController&, GangContext&)>&, const HeldRole&, Step&);
    void phaseChanged(const JobId&, GangPhase before, const HeldRole&, Step&);
    void freeReleasedMembers(const JobId&);
    void gangReserved(const JobId&, const HeldRole&, Step&);
    void gangRunning(const JobId&, const HeldRole&, Step&);
    void gangFinished(const JobId&, const HeldRole&, Step&);
    void gangStopped(const JobId&, const HeldRole&, Step&);
    void applyFailure(JobRecord&, const GangController&, Step&);
    void dropGang(const JobId&);

    // --- zone_controller.cpp
    // Compares the job's row with the controller's state and acts on the difference.
    void reconcile(const JobId&, const HeldRole&, Step&);
    void enqueue(const JobId&, const JobStatus&, Step&);
    void advanceGangs(bool isAll, const HeldRole&, Step&);

    // --- zone_recovery.cpp
    void recoverGang(const JobId&, const JobRecord&, const HeldRole&, Step&);
    void finishRecovery(Step&);
    // Releases reported tasks that belong to no gang.
    void releaseOrphanTasks(const HeldRole&, Step&);
    void updateUsable(Step&);
    void updateProgress();

    // --- zone_placement.cpp
    void place(const HeldRole&, Step&);
    void applyStart(const PlacementStart&, const HeldRole&, Step&);
    void startClaims(const HeldRole&, Step&);
    bool start(const JobId&, const std::vector<GangMember>&, const HeldRole&, Step&);
    void evict(const JobId&, const std::string& reason, const HeldRole&, Step&);
    bool mayMove(const Step&) const;
    void moveForDefragmentation(const HeldRole&, Step&);
    AttemptNumber nextAttempt(const JobId&, const JobStatus&) const;
    void storeReasons(const HeldRole&, Step&);
    void updateSummary(Step&);
    void dropUnsatisfiableClaims();
    bool isFree(const std::vector<GangMember>&) const;
    bool canBecomeFree(const std::vector<GangMember>&) const;
    const AvailabilityZoneConfiguration* zone() const;

    // --- zone_noise.cpp
    std::vector<GangMember> claimedMembers(const JobId& except) const;
    bool fitsNoiseLimit(
        const JobId&, std::vector<GangMember>, const std::vector<JobId>& leaving, const Step&) const;
    void reduceNoiseForClaims(const HeldRole&, Step&);
    bool isThrottleOverdue(const JobId&, Milliseconds timeout, TimePoint now) const;
    void enforceNoiseLimit(const HeldRole&, Step&);
    void applyNoiseAction(const NoiseAction&, const HeldRole&, Step&);
    void recordConfirmedThrottle(const JobId&);

    const DaemonSettings& m_settings;
    const ConfigurationView& m_configuration;
    const EndpointDirectory& m_endpoints;
    const PlacementPolicy& m_placement;
    const NoisePolicy& m_noise;
    JobStore& m_store;
    ZoneObservation& m_observation;
    OperationCounter& m_counter;

    std::optional<ZoneInventory> m_inventory;
    std::map<JobId, GangController> m_gangs;
    std::set<JobId> m_inTransition; // gangs in any phase other than Running
    PlacementQueue m_queue;
    WorkerQuarantine m_quarantine;
    std::map<JobId, AttemptNumber> m_lastAttempt; // includes attempts that were never committed
    std::map<JobId, TimePoint> m_notBefore;
    std::map<std::pair<WorkerId, TaskKey>, TimePoint> m_orphanReleases;

    std::map<std::uint64_t, JobId> m_commands; // commands in flight, by operation sequence

    bool m_areRowsRead = false;
    bool m_mustReconcileAll = false;
    bool m_isRecovered = false;
    TimePoint m_takeoverTime {};
    TimePoint m_nextSecond {};
    TimePoint m_nextPlan {};
    TimePoint m_nextMove {};
    bool m_isPlanNeeded = false; // a placement that was impossible may be possible now
    bool m_isStopping = false;
    bool m_isTokenRefused = false;
    bool m_isObjectStoreDown = false;

    ZoneSummary m_summary;
    double m_noiseDb = 0;
    double m_noiseLimitDb = 0;
};

} // namespace anvilmoor
