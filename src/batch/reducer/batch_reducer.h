#pragma once

#include "anvilmoor/batch/effect.h"
#include "anvilmoor/batch/event.h"
#include "batch/intake/configuration_view.h"
#include "batch/intake/job_intake.h"
#include "batch/leader/scheduler.h"
#include "batch/placement/packing_placement.h"
#include "batch/placement/queue_order.h"
#include "batch/reducer/order_permission.h"
#include "batch/store/leader_lease.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilmoor::batch {

struct BatchSettings {
    DaemonName daemonName;
    Milliseconds claimDelay { 0 }; // longer on hosts that should become leader only if no other host does
    Milliseconds maxConfigurationAge { 4'000 }; // since the configuration was last confirmed
    WorkerLeaseSettings workerLeases;
    StoreLimits storeLimits;
    Milliseconds shutdownGrace { 6'000 }; // time from SIGTERM to SIGKILL
};

// Dispatches each event to the modules that handle it and returns the resulting effects. All events of the
// daemon pass through here. Does no I/O and reads no clock.
class BatchReducer : public OrderPermission, private JobStateProvider {
public:
    explicit BatchReducer(BatchSettings);

    std::vector<Effect> handle(const Event&);

    // Whether the platform's load balancer should send new connections to this daemon.
    bool isReady(TimePoint now) const;
    bool isLeader() const { return m_lease.isLeader(); }
    bool mayAct(TimePoint now) const override { return m_scheduler.mayAct(now); }
    bool isShuttingDown() const { return m_shutdownAt.has_value(); }
    const Configuration& configuration() const { return m_configuration.current(); }

private:
    std::optional<JobState> stateOf(const JobId&, TimePoint now) const override;
    std::optional<std::uint64_t> waitingJobs(const std::string& queue, TimePoint now) const override;

    void on(const Tick&, Step&);
    void on(const PlacementTurn&, Step&);
    void on(const ShutdownRequested&, Step&);
    void on(const CallerRequest&, Step&);
    void on(const CallerGone&, Step&);
    void on(const ConfigurationUpdated&, Step&);
    void on(const WorkersUpdated&, Step&);
    void on(const RowsUpdated&, Step&);
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
