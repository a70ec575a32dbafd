#pragma once

#include "admission/admission_policy.h"
#include "anvilmoor/effect.h"
#include "anvilmoor/event.h"
#include "configuration/configuration_manager.h"
#include "core/views.h"
#include "jobs/job_scheduler.h"
#include "membership/membership.h"
#include "membership/peer_registry.h"
#include "noise/noise_policy.h"
#include "placement/placement_policy.h"
#include "reclaim/reclaim_policy.h"
#include "requests/record_sweeper.h"
#include "requests/request_broker.h"
#include "role/zone_role.h"
#include "routing/routing_policy.h"

#include <functional>
#include <memory>
#include <vector>

namespace anvilmoor {

// The replaceable policies. Each has a naive baseline implementation, used by tests and measurements.
struct ReducerPolicies {
    std::unique_ptr<ReclaimPolicy> reclaim;
    std::unique_ptr<PlacementPolicy> placement; // may refer to reclaim
    std::unique_ptr<NoisePolicy> noise;
    std::unique_ptr<AdmissionPolicy> admission;
    // Creates the routing policy, which refers to the reducer's configuration and endpoint directory.
    std::function<std::unique_ptr<RoutingPolicy>(
        const DaemonSettings&, const ConfigurationView&, const EndpointDirectory&)>
        makeRouting;
};

// The policies used by the entry daemon.
ReducerPolicies defaultPolicies();

// Makes all decisions of one entry daemon by turning each event into effects. Performs no I/O and reads no
// clock, so that the same events always produce the same effects. Not thread-safe. No event makes it throw.
class Reducer {
public:
    Reducer(const DaemonSettings&, ReducerPolicies);

    // Appends the effects of the event in the order in which they must be executed.
    void apply(const Event&, std::vector<Effect>&);

    // The configuration in force. Null until the first one is adopted. Valid until the next event.
    const Configuration* configuration() const { return m_configuration.current(); }

    const RequestBroker& requests() const { return m_requests; }
    const JobScheduler& jobs() const { return m_jobs; }
    const ZoneRole& role() const { return m_role; }
    const PeerDirectory& peers() const { return m_peers; }
    const EndpointDirectory& endpoints() const { return m_membership; }

private:
    struct Dispatcher;

    void onConfigurationAdopted(Step&);
    void onTick(const Tick&, Step&);
    void onShutdownRequested(Step&);
    void onPeerMessage(const PeerMessageReceived&, Step&);
    void onTableReplied(const TableReplied&, Step&);
    PeerHeartbeat makeHeartbeat(TimePoint now) const;
    void sendHeartbeat(Step&);
    // Announces a newly known configuration version, even if not yet in force, to the zone's peers at once.
    void announceKnownConfiguration(Step&);
    void updateReadiness(Step&);
    void continueShutdown(Step&);
    void answerSiteQuery(const SiteQueried&, Step&);

    // In order of initialization: modules refer to modules declared before them.
    DaemonSettings m_settings;
    ReducerPolicies m_policies;
    PeerRegistry m_peers;
    ConfigurationManager m_configuration;
    Membership m_membership;
    std::unique_ptr<RoutingPolicy> m_routing;
    RequestBroker m_requests;
    ZoneRole m_role;
    RecordSweeper m_sweeper;
    JobScheduler m_jobs;

    TimePoint m_nextHeartbeat {};
    ConfigurationVersion m_announcedVersion = 0; // version known when last announced to peers
    bool m_isReady = false;
    bool m_isStopping = false;
    bool m_isStopped = false;
};

} // namespace anvilmoor
