#pragma once

#include "anvilmoor/event.h"
#include "core/step.h"
#include "core/views.h"
#include "jobs/caretaker.h"
#include "jobs/job_admission.h"
#include "jobs/job_requests.h"
#include "jobs/job_store.h"
#include "jobs/object_store_probe.h"
#include "jobs/operation_counter.h"
#include "jobs/rack_syncer.h"
#include "jobs/zone_controller.h"
#include "jobs/zone_observation.h"

#include <optional>

namespace anvilmoor {

// Manages the job life cycle on one daemon: always answers submitters, controls the zone while this daemon
// holds the zone's role, and renews leases while it is the caretaker.
class JobScheduler {
public:
    JobScheduler(const DaemonSettings&, const ConfigurationView&, const RoleView&, const PeerDirectory&,
        const EndpointDirectory&, const PlacementPolicy&, const NoisePolicy&);
    JobScheduler(const JobScheduler&) = delete;
    JobScheduler& operator=(const JobScheduler&) = delete;

    void handle(const JobSubmitted&, Step&);
    void handle(const JobQueried&, Step&);
    void handle(const JobsListed&, Step&);
    void handle(const JobCancelRequested&, Step&);
    void handle(const TableReplied&, Step&);
    void handle(const ObjectReplied&, Step&);
    void handle(const RackSynced&, Step&);
    void handle(const RackSyncFailed&, Step&);
    void handle(const WorkerReplied&, Step&);
    void handle(const JobNotice&, Step&);
    // Does nothing: placement does not depend on single peers, and PeerDirectory determines which summaries
    // are valid.
    void handle(const PeerLost&, Step&);
    void handle(const Tick&, Step&);
    void onConfigurationAdopted(Step&);

    // Starts no new placements and refuses new calls from now on; the role can be released once isIdle()
    // is true.
    void beginShutdown(Step&);
    // True after beginShutdown() once no call, gang transition or row write is pending, at the latest after
    // 10 s.
    bool isIdle() const { return m_isIdle; }

    // Summary of this daemon's zone. Valid only while this daemon holds the zone's role.
    ZoneSummary summary() const { return m_controller.summary(); }
    double noiseDb() const { return m_controller.noiseDb(); }
    // 0 if no limit applies now.
    double noiseLimitDb() const { return m_controller.noiseLimitDb(); }

private:
    enum class Mode { Standby, Holder, Caretaker };

    // The held role, unless a worker or the table showed that a newer holder exists.
    std::optional<HeldRole> actingRole(TimePoint now) const;
    void updateMode(Step&);
    void becomeHolder(const HeldRole&, Step&);
    void applyChanges(Step&);
    // Notifies the other daemons of the zone about gangs whose placement is now in the table.
    void notifyPeersOfPlacement(const std::set<JobId>& changed, Step&);
    void poll(Step&);
    void updateIdle(Step&);

    const DaemonSettings& m_settings;
    const ConfigurationView& m_configuration;
    const RoleView& m_role;

    OperationCounter m_counter;
    JobStore m_store;
    ZoneObservation m_observation;
    RackSyncer m_syncer;
    JobAdmission m_admission;
    ZoneController m_controller;
    JobRequests m_requests;
    ObjectStoreProbe m_probe;
    Caretaker m_caretaker;

    Mode m_mode = Mode::Standby;
    std::optional<HeldRole> m_term; // the last term that this daemon acted in
    TimePoint m_nextPoll {};
    TimePoint m_nextCleanup {};
    std::optional<TimePoint> m_shutdownAt;
    bool m_isIdle = false;
};

} // namespace anvilmoor
