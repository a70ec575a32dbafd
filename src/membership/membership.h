#pragma once

#include "core/step.h"
#include "core/views.h"
#include "membership/drain_register.h"
#include "membership/endpoint_observer.h"

#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace anvilmoor {

// Determines which workers and endpoints may get new work. Combines the host list, which lags, the drains and
// the observations of this daemon. The state Leaving, reported by any source, takes precedence.
class Membership : public EndpointDirectory, public EndpointObserver {
public:
    Membership(const DaemonSettings&, const ConfigurationView&);

    void handle(const HostListReceived&, Step&);
    void handle(const HostListFailed&, Step&);
    void handle(const RackSynced&, Step&);
    void handle(const RackSyncFailed&, Step&);
    void handle(const DrainRequested&, Step&);
    void handle(const TableReplied&, Step&);
    void handle(const DrainPush&, Step&);
    void handle(const PeerHeartbeat& heartbeat, Step& step) { m_drains.handle(heartbeat, step); }
    void handle(const Tick&, Step&);
    void onConfigurationAdopted(Step&);
    void onEndpointFailure(const EndpointId&, Step&) override;
    void onEndpointSuccess(const EndpointId&, Step&) override;

    std::span<const EndpointRecord> endpoints(const ServiceId&) const override;
    // Drains apply to endpoints only and do not change the state of a worker.
    EndpointState workerState(const WorkerId&) const override;
    std::uint64_t generation() const override { return m_generation; }

    std::uint64_t drainVersion() const { return m_drains.version(); }
    std::vector<EndpointStatus> endpointStatuses() const;

private:
    struct Worker {
        WorkerId id;
        RackId rack;
        AvailabilityZoneId zone;
        bool isSeenInList = false;
        bool isLeaving = false; // according to the host list
        int missedLists = 0; // consecutive
        bool isReportedDead = false; // according to the last rack sync
        bool isRackSilent = false;
        std::uint64_t lastListNumber = 0; // number of the last host list that contained the worker
    };

    struct Service {
        ServiceId id;
        std::vector<EndpointRecord> endpoints; // one for each worker, in the order of m_workers
        std::vector<int> failures; // consecutive
    };

    struct Rack {
        std::vector<std::size_t> workers;
        int missedSyncs = 0; // consecutive
        TimePoint lastSyncAt {}; // time of the last sync, answered or failed
    };

    struct Position {
        std::size_t service = 0;
        std::size_t worker = 0;
    };

    EndpointState stateOf(const Worker&) const;
    void updateWorker(std::size_t worker, Step&);
    void updateEndpoint(Service&, std::size_t worker, Step&);
    void updateAll(Step&);
    void expireRackSyncs(Step&);

    const ConfigurationView& m_configuration;
    DrainRegister m_drains;
    std::uint64_t m_generation = 0;
    std::vector<Worker> m_workers; // in configuration order
    std::vector<Service> m_services;
    std::map<RackId, Rack> m_racks;
    std::unordered_map<WorkerId, std::size_t> m_workerIndexes;
    std::unordered_map<EndpointId, Position> m_endpointPositions;
    std::uint64_t m_listNumber = 0;
    TimePoint m_nextRackCheck {};
};

} // namespace anvilmoor
