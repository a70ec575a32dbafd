#pragma once

#include "anvilmoor/batch/effect.h"
#include "anvilmoor/batch/event.h"
#include "batch/intake/configuration_view.h"
#include "batch/intake/job_intake.h"
#include "batch/leader/scheduler.h"
#include "batch/placement/packing_placement.h"
#include "batch/placement/queue_order.h"
#include "batch/store/leader_lease.h"

#include <memory>
#include <string>
#include <vector>

namespace anvilmoor::batch {

struct BatchSettings {
    DaemonName daemonName;
    Milliseconds claimDelay { 0 }; // larger on hosts that should lead only if no other does
    Milliseconds longestUnconfirmed { 4'000 }; // of the configuration
    WorkerLeaseSettings workerLeases;
    Milliseconds shutdownGrace { 6'000 }; // from SIGTERM to SIGKILL
};

// The one place through which every event passes: hands it to the modules that it concerns and returns what
// is to be done. Does no I/O and reads no clock.
class BatchReducer : private JobStates {
public:
    explicit BatchReducer(BatchSettings);

    std::vector<Effect> handle(const Event&);

    // Whether the platform's balancer should send new connections here.
    bool isReady(TimePoint now) const;
    bool isLeader() const { return m_lease.isLeader(); }
    bool isShuttingDown() const { return m_shutdownAt.has_value(); }
    const Configuration& configuration() const { return m_configuration.current(); }

private:
    std::optional<JobState> stateOf(const JobId&, TimePoint now) const override;
    std::uint64_t waitingJobs(const std::string& queue) const override;

    void on(const Tick&, Step&);
    void on(const ShutdownRequested&, Step&);
    void on(const CallerRequest&, Step&);
    void on(const CallerGone&, Step&);
    void on(const ConfigurationFollowed&, Step&);
    void on(const WorkersFollowed&, Step&);
    void on(const RowsFollowed&, Step&);
    void on(const CommitAnswered&, Step&);
    void on(const ReadAnswered&, Step&);
    void on(const StartAnswered&, Step&);
    void on(const StopAnswered&, Step&);
    void on(const HoldAnswered&, Step&);

    BatchSettings m_settings;
    ConfigurationView m_configuration;
    LeaderLease m_lease;
    PackingPlacement m_placement;
    ObjectiveOrder m_order;
    Scheduler m_scheduler;
    JobIntake m_intake;
    std::optional<TimePoint> m_shutdownAt;
    bool m_hasStopped = false;
};

} // namespace anvilmoor::batch
