#include "reducer/reducer.h"

#include "admission/fair_share_admission.h"
#include "noise/sound_power_noise.h"
#include "placement/guarantee_aware_placement.h"
#include "reclaim/least_lost_work_reclaim.h"
#include "routing/zone_aware_routing.h"

namespace anvilmoor {

namespace {

constexpr Milliseconds heartbeatInterval { 500 };

} // namespace

ReducerPolicies defaultPolicies()
{
    ReducerPolicies policies;
    policies.reclaim = std::make_unique<LeastLostWorkReclaim>();
    policies.placement = std::make_unique<GuaranteeAwarePlacement>(*policies.reclaim);
    policies.noise = std::make_unique<SoundPowerNoise>();
    policies.admission = std::make_unique<FairShareAdmission>();
    policies.makeRouting = [](const DaemonSettings& settings, const ConfigurationView& configuration,
                               const EndpointDirectory& endpoints) {
        return std::make_unique<ZoneAwareRouting>(settings, configuration, endpoints);
    };
    return policies;
}

Reducer::Reducer(const DaemonSettings& settings, ReducerPolicies policies)
    : m_settings(settings)
    , m_policies(std::move(policies))
    , m_peers(m_settings)
    , m_configuration(m_settings, m_peers)
    , m_membership(m_settings, m_configuration)
    , m_routing(m_policies.makeRouting(m_settings, m_configuration, m_membership))
    , m_requests(
          m_settings, m_configuration, m_membership, m_membership, m_peers, *m_policies.admission, *m_routing)
    , m_role(m_settings, m_peers)
    , m_sweeper(m_role)
    , m_jobs(m_settings, m_configuration, m_role, m_peers, m_membership, *m_policies.placement,
          *m_policies.noise)
{
}

// Passes each type of event to the modules that handle it.
struct Reducer::Dispatcher {
    Reducer& reducer;
    Step& step;

    void operator()(const Started& event)
    {
        reducer.m_configuration.handle(event, step);
        reducer.m_role.handle(event, step);
    }
    void operator()(const Tick& event) { reducer.onTick(event, step); }
    void operator()(const ShutdownRequested&) { reducer.onShutdownRequested(step); }

    void operator()(const RequestReceived& event) { reducer.m_requests.handle(event, step); }
    void operator()(const RequestQueried& event) { reducer.m_requests.handle(event, step); }
    void operator()(const CallerGone& event) { reducer.m_requests.handle(event, step); }
    void operator()(const EndpointAnswered& event) { reducer.m_requests.handle(event, step); }
    void operator()(const EndpointFailed& event) { reducer.m_requests.handle(event, step); }

    void operator()(const JobSubmitted& event) { reducer.m_jobs.handle(event, step); }
    void operator()(const JobQueried& event) { reducer.m_jobs.handle(event, step); }
    void operator()(const JobsListed& event) { reducer.m_jobs.handle(event, step); }
    void operator()(const JobCancelRequested& event) { reducer.m_jobs.handle(event, step); }
    void operator()(const WorkerReplied& event) { reducer.m_jobs.handle(event, step); }
    void operator()(const RackSynced& event)
    {
        reducer.m_membership.handle(event, step);
        reducer.m_jobs.handle(event, step);
    }
    void operator()(const RackSyncFailed& event)
    {
        reducer.m_membership.handle(event, step);
        reducer.m_jobs.handle(event, step);
    }

    void operator()(const ConfigurationSubmitted& event)
    {
        notifyIfAdopted(reducer.m_configuration.handle(event, step));
    }
    void operator()(const ConfigurationQueried& event) { reducer.m_configuration.handle(event, step); }
    void operator()(const DrainRequested& event) { reducer.m_membership.handle(event, step); }
    void operator()(const SiteQueried& event) { reducer.answerSiteQuery(event, step); }

    void operator()(const TableReplied& event) { reducer.onTableReplied(event, step); }
    void operator()(const ObjectReplied& event)
    {
        if (event.operation.module == ModuleId::Requests) {
            // Both use this module id. Each ignores replies to operations of the other.
            reducer.m_sweeper.handle(event, step);
            reducer.m_requests.handle(event, step);
        } else if (event.operation.module == ModuleId::Jobs)
            reducer.m_jobs.handle(event, step);
    }
    void operator()(const HostListReceived& event) { reducer.m_membership.handle(event, step); }
    void operator()(const HostListFailed& event) { reducer.m_membership.handle(event, step); }

    void operator()(const PeerMessageReceived& event) { reducer.onPeerMessage(event, step); }
    void operator()(const PeerLost& event)
    {
        reducer.m_peers.handle(event, step);
        reducer.m_requests.handle(event, step);
        reducer.m_jobs.handle(event, step);
    }

    void notifyIfAdopted(bool hasAdopted)
    {
        if (hasAdopted)
            reducer.onConfigurationAdopted(step);
    }
};

void Reducer::apply(const Event& event, std::vector<Effect>& effects)
{
    if (m_isStopped)
        return;
    Step step(event, effects);
    std::visit(Dispatcher { *this, step }, event.payload);
    announceKnownConfiguration(step);
    updateReadiness(step);
    if (m_isStopping)
        continueShutdown(step);
}

void Reducer::onConfigurationAdopted(Step& step)
{
    m_membership.onConfigurationAdopted(step);
    m_jobs.onConfigurationAdopted(step);
    // Announces the new version to all peers at once rather than at the next heartbeat interval.
    sendHeartbeat(step);
}

void Reducer::onTick(const Tick& event, Step& step)
{
    m_peers.handle(event, step);
    if (m_configuration.handle(event, step))
        onConfigurationAdopted(step);
    m_membership.handle(event, step);
    m_role.handle(event, step);
    m_requests.handle(event, step);
    m_sweeper.handle(event, step);
    m_jobs.handle(event, step);
    if (step.now >= m_nextHeartbeat)
        sendHeartbeat(step);
}

void Reducer::onTableReplied(const TableReplied& event, Step& step)
{
    switch (event.operation.module) {
    case ModuleId::Configuration:
        if (m_configuration.handle(event, step))
            onConfigurationAdopted(step);
        break;
    case ModuleId::Membership:
        m_membership.handle(event, step);
        break;
    case ModuleId::Requests:
        // Both use this module id. Each ignores replies to operations of the other.
        m_sweeper.handle(event, step);
        m_requests.handle(event, step);
        break;
    case ModuleId::Role:
        m_role.handle(event, step);
        break;
    case ModuleId::Jobs:
        m_jobs.handle(event, step);
        break;
    }
}

void Reducer::onPeerMessage(const PeerMessageReceived& event, Step& step)
{
    if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&event.message)) {
        m_peers.handle(event.from, *heartbeat, step);
        if (m_configuration.handle(*heartbeat, step))
            onConfigurationAdopted(step);
        m_membership.handle(*heartbeat, step);
    } else if (const auto* push = std::get_if<ConfigurationPush>(&event.message)) {
        m_peers.handle(event.from, *push);
        if (m_configuration.handle(*push, step))
            onConfigurationAdopted(step);
    } else if (const auto* drains = std::get_if<DrainPush>(&event.message)) {
        m_membership.handle(*drains, step);
    } else if (const auto* notice = std::get_if<JobNotice>(&event.message)) {
        m_jobs.handle(*notice, step);
    } else if (const auto* lookup = std::get_if<RequestLookup>(&event.message)) {
        m_requests.handle(*lookup, event.from, step);
    } else if (const auto* answer = std::get_if<RequestLookupAnswer>(&event.message)) {
        m_requests.handle(*answer, event.from, step);
    }
}

PeerHeartbeat Reducer::makeHeartbeat(TimePoint now) const
{
    PeerHeartbeat heartbeat;
    heartbeat.host = m_settings.host;
    heartbeat.zone = m_settings.zone;
    heartbeat.incarnation = m_settings.incarnation;
    heartbeat.isReady = m_isReady;
    heartbeat.isStopping = m_isStopping;
    heartbeat.configurationVersion = m_configuration.version();
    heartbeat.knownConfigurationVersion = m_configuration.knownVersion();
    heartbeat.drainVersion = m_membership.drainVersion();
    if (const std::optional<HeldRole> role = m_role.held(now)) {
        heartbeat.heldToken = role->token;
        heartbeat.summary = m_jobs.summary();
    }
    return heartbeat;
}

void Reducer::sendHeartbeat(Step& step)
{
    m_nextHeartbeat = step.now + heartbeatInterval;
    m_announcedVersion = m_configuration.knownVersion();
    step.emit(SendToAllPeers { makeHeartbeat(step.now) });
}

void Reducer::announceKnownConfiguration(Step& step)
{
    if (m_configuration.knownVersion() == m_announcedVersion)
        return;
    m_announcedVersion = m_configuration.knownVersion();
    for (const PeerSetting& peer : m_settings.peers) {
        if (peer.zone == m_settings.zone)
            step.emit(SendToPeer { peer.host, makeHeartbeat(step.now) });
    }
}

void Reducer::updateReadiness(Step& step)
{
    const bool isReady = !m_isStopping && m_configuration.isReady();
    if (isReady == m_isReady)
        return;
    m_isReady = isReady;
    step.record(isReady ? "daemon.ready" : "daemon.unready", {});
    step.emit(SetReadiness { isReady });
}

void Reducer::onShutdownRequested(Step& step)
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    step.record("daemon.stopping", {});
    m_requests.beginShutdown(step);
    m_jobs.beginShutdown(step);
    sendHeartbeat(step);
}

// Waits until no request, job start or configuration write is in flight, then releases the zone role, so that
// a standby takes over at once instead of after the lease expires.
void Reducer::continueShutdown(Step& step)
{
    if (!m_requests.isIdle() || !m_jobs.isIdle() || !m_configuration.isIdle())
        return;
    if (!m_role.isReleased()) {
        m_role.release(step);
        if (!m_role.isReleased())
            return;
    }
    m_isStopped = true;
    step.record("daemon.stopped", {});
    step.emit(StopProcess {});
}

void Reducer::answerSiteQuery(const SiteQueried& event, Step& step)
{
    SiteAnswer answer;
    answer.host = m_settings.host;
    answer.configurationVersion = m_configuration.version();

    PeerStatus self;
    self.host = m_settings.host;
    self.zone = m_settings.zone;
    self.isReachable = true;
    self.isReady = m_isReady;
    self.configurationVersion = m_configuration.version();
    self.knownConfigurationVersion = m_configuration.knownVersion();
    if (const std::optional<HeldRole> role = m_role.held(step.now)) {
        self.heldToken = role->token;
        self.summary = m_jobs.summary();
        answer.noiseDb = m_jobs.noiseDb();
        answer.noiseLimitDb = m_jobs.noiseLimitDb();
    }
    answer.hosts.push_back(std::move(self));
    answer.hosts.insert(answer.hosts.end(), m_peers.peers().begin(), m_peers.peers().end());
    if (event.withEndpoints)
        answer.endpoints = m_membership.endpointStatuses();
    step.emit(AnswerOperator { event.caller, std::move(answer) });
}

} // namespace anvilmoor
