#include "membership/membership.h"

#include <string_view>
#include <utility>

namespace anvilmoor {

namespace {

constexpr int failuresUntilSuspect = 3;
// The host list lags and is rebuilt by the platform, so a host that is missing from one list need not be
// lost.
constexpr int missedListsUntilLost = 2;
constexpr int missedSyncsUntilSuspect = 2;
// Only the role holder syncs racks. The results of rack syncs expire, so that those from before a daemon lost
// the role do not stay in force.
constexpr Seconds rackSyncLifetime { 10 };
constexpr Seconds rackCheckInterval { 1 };

std::string_view stateName(EndpointState state)
{
    switch (state) {
    case EndpointState::Live:
        return "live";
    case EndpointState::Suspect:
        return "suspect";
    case EndpointState::Leaving:
        return "leaving";
    case EndpointState::Lost:
        return "lost";
    }
    return "unknown";
}

} // namespace

Membership::Membership(const DaemonSettings&, const ConfigurationView& configuration)
    : m_configuration(configuration)
{
}

void Membership::onConfigurationAdopted(Step& step)
{
    const Configuration* configuration = m_configuration.current();
    if (!configuration)
        return;
    const std::vector<Worker> oldWorkers = std::exchange(m_workers, {});
    const std::unordered_map<WorkerId, std::size_t> oldIndexes = std::exchange(m_workerIndexes, {});
    const std::vector<Service> oldServices = std::exchange(m_services, {});
    const std::unordered_map<EndpointId, Position> oldPositions = std::exchange(m_endpointPositions, {});
    const std::map<RackId, Rack> oldRacks = std::exchange(m_racks, {});
    for (const AvailabilityZoneConfiguration& zone : configuration->zones) {
        for (const RackConfiguration& rackConfiguration : zone.racks) {
            Rack& rack = m_racks[rackConfiguration.id];
            const auto oldRack = oldRacks.find(rackConfiguration.id);
            if (oldRack != oldRacks.end()) {
                rack.missedSyncs = oldRack->second.missedSyncs;
                rack.lastSyncAt = oldRack->second.lastSyncAt;
            }
            for (const WorkerConfiguration& configured : rackConfiguration.workers) {
                const auto known = oldIndexes.find(configured.id);
                Worker worker = known == oldIndexes.end() ? Worker {} : oldWorkers[known->second];
                worker.id = configured.id;
                worker.rack = rackConfiguration.id;
                worker.zone = zone.id;
                rack.workers.push_back(m_workers.size());
                m_workerIndexes.emplace(worker.id, m_workers.size());
                m_workers.push_back(std::move(worker));
            }
        }
    }
    for (const ServiceConfiguration& configured : configuration->services) {
        Service service { configured.id, {}, std::vector<int>(m_workers.size(), 0) };
        for (std::size_t worker = 0; worker < m_workers.size(); ++worker) {
            EndpointRecord endpoint { endpointId(configured.id, m_workers[worker].id), configured.id,
                m_workers[worker].id, m_workers[worker].zone, EndpointState::Live };
            const auto known = oldPositions.find(endpoint.id);
            if (known != oldPositions.end()) {
                const Service& old = oldServices[known->second.service];
                endpoint.state = old.endpoints[known->second.worker].state;
                service.failures[worker] = old.failures[known->second.worker];
            }
            m_endpointPositions.emplace(endpoint.id, Position { m_services.size(), worker });
            service.endpoints.push_back(std::move(endpoint));
        }
        m_services.push_back(std::move(service));
    }
    ++m_generation;
    updateAll(step);
}

EndpointState Membership::stateOf(const Worker& worker) const
{
    if (worker.isLeaving)
        return EndpointState::Leaving;
    if ((worker.isSeenInList && worker.missedLists >= missedListsUntilLost) || worker.isReportedDead)
        return EndpointState::Lost;
    return worker.isRackSilent ? EndpointState::Suspect : EndpointState::Live;
}

void Membership::updateEndpoint(Service& service, std::size_t worker, Step& step)
{
    EndpointRecord& endpoint = service.endpoints[worker];
    EndpointState state = stateOf(m_workers[worker]);
    if (m_drains.isDrained(endpoint.id))
        state = EndpointState::Leaving;
    else if (state == EndpointState::Live && service.failures[worker] >= failuresUntilSuspect)
        state = EndpointState::Suspect;
    if (state == endpoint.state)
        return;
    step.record("endpoint.state",
        { { "endpoint", endpoint.id.value() }, { "zone", endpoint.zone.value() },
            { "from", std::string(stateName(endpoint.state)) }, { "to", std::string(stateName(state)) } });
    endpoint.state = state;
}

void Membership::updateWorker(std::size_t worker, Step& step)
{
    for (Service& service : m_services)
        updateEndpoint(service, worker, step);
}

void Membership::updateAll(Step& step)
{
    for (std::size_t worker = 0; worker < m_workers.size(); ++worker)
        updateWorker(worker, step);
}

void Membership::handle(const HostListReceived& event, Step& step)
{
    if (event.hosts.empty()) {
        step.record("hosts.empty_list_ignored", {});
        return;
    }
    ++m_listNumber;
    for (const HostListEntry& entry : event.hosts) {
        const auto found = m_workerIndexes.find(WorkerId(entry.id));
        if (found == m_workerIndexes.end())
            continue;
        Worker& worker = m_workers[found->second];
        const EndpointState before = stateOf(worker);
        worker.isSeenInList = true;
        worker.missedLists = 0;
        worker.isLeaving = entry.state == HostState::Leaving;
        worker.lastListNumber = m_listNumber;
        if (stateOf(worker) != before)
            updateWorker(found->second, step);
    }
    for (std::size_t index = 0; index < m_workers.size(); ++index) {
        Worker& worker = m_workers[index];
        if (worker.lastListNumber == m_listNumber || !worker.isSeenInList
            || worker.missedLists >= missedListsUntilLost)
            continue;
        if (++worker.missedLists < missedListsUntilLost)
            continue;
        worker.isLeaving = false; // the host has left the list, so the worker counts as lost
        updateWorker(index, step);
    }
}

void Membership::handle(const HostListFailed&, Step& step) { step.record("hosts.list_failed", {}); }

void Membership::handle(const RackSynced& event, Step& step)
{
    const auto found = m_racks.find(event.rack);
    if (found == m_racks.end())
        return;
    Rack& rack = found->second;
    rack.missedSyncs = 0;
    rack.lastSyncAt = step.now;
    for (const std::size_t worker : rack.workers)
        m_workers[worker].isRackSilent = false;
    for (const WorkerReport& report : event.workers) {
        const auto worker = m_workerIndexes.find(report.worker);
        if (worker != m_workerIndexes.end())
            m_workers[worker->second].isReportedDead = !report.isLive;
    }
    for (const std::size_t worker : rack.workers)
        updateWorker(worker, step);
}

void Membership::handle(const RackSyncFailed& event, Step& step)
{
    const auto found = m_racks.find(event.rack);
    if (found == m_racks.end() || event.isStaleToken)
        return;
    Rack& rack = found->second;
    rack.lastSyncAt = step.now;
    if (rack.missedSyncs < missedSyncsUntilSuspect)
        ++rack.missedSyncs;
    if (rack.missedSyncs < missedSyncsUntilSuspect)
        return;
    for (const std::size_t worker : rack.workers) {
        m_workers[worker].isRackSilent = true;
        updateWorker(worker, step);
    }
}

void Membership::expireRackSyncs(Step& step)
{
    for (auto& [id, rack] : m_racks) {
        if (step.now - rack.lastSyncAt < rackSyncLifetime)
            continue;
        rack.missedSyncs = 0;
        for (const std::size_t index : rack.workers) {
            Worker& worker = m_workers[index];
            if (!worker.isReportedDead && !worker.isRackSilent)
                continue;
            worker.isReportedDead = worker.isRackSilent = false;
            updateWorker(index, step);
        }
    }
}

void Membership::handle(const DrainRequested& event, Step& step)
{
    const bool isKnown = m_endpointPositions.contains(event.endpoint);
    // The drain of an endpoint that is no longer in the configuration can still be undone.
    if (!isKnown && (event.isLeaving || !m_drains.isDrained(event.endpoint))) {
        step.emit(AnswerOperator { event.caller,
            Refusal { RefusalKind::NotFound,
                { "endpoint: no endpoint \"" + event.endpoint.value() + "\" in the configuration" } } });
        return;
    }
    m_drains.queueChange(event, step);
}

void Membership::handle(const TableReplied& event, Step& step)
{
    if (event.operation.module == ModuleId::Membership && m_drains.handle(event, step))
        updateAll(step);
}

void Membership::handle(const DrainPush& event, Step& step)
{
    if (m_drains.handle(event, step))
        updateAll(step);
}

void Membership::handle(const Tick& event, Step& step)
{
    m_drains.handle(event, step);
    if (step.now < m_nextRackCheck)
        return;
    m_nextRackCheck = step.now + rackCheckInterval;
    expireRackSyncs(step);
}

void Membership::onEndpointFailure(const EndpointId& id, Step& step)
{
    const auto found = m_endpointPositions.find(id);
    if (found == m_endpointPositions.end())
        return;
    Service& service = m_services[found->second.service];
    int& failures = service.failures[found->second.worker];
    if (failures < failuresUntilSuspect)
        ++failures;
    updateEndpoint(service, found->second.worker, step);
}

void Membership::onEndpointSuccess(const EndpointId& id, Step& step)
{
    const auto found = m_endpointPositions.find(id);
    if (found == m_endpointPositions.end())
        return;
    Service& service = m_services[found->second.service];
    int& failures = service.failures[found->second.worker];
    Worker& worker = m_workers[found->second.worker];
    if (failures == 0 && !worker.isRackSilent)
        return;
    failures = 0;
    worker.isRackSilent = false;
    updateWorker(found->second.worker, step);
}

std::span<const EndpointRecord> Membership::endpoints(const ServiceId& id) const
{
    for (const Service& service : m_services) {
        if (service.id == id)
            return service.endpoints;
    }
    return {};
}

EndpointState Membership::workerState(const WorkerId& id) const
{
    const auto found = m_workerIndexes.find(id);
    return found == m_workerIndexes.end() ? EndpointState::Lost : stateOf(m_workers[found->second]);
}

std::vector<EndpointStatus> Membership::endpointStatuses() const
{
    std::vector<EndpointStatus> statuses;
    for (const Service& service : m_services) {
        for (const EndpointRecord& endpoint : service.endpoints)
            statuses.push_back({ endpoint.id, endpoint.zone, endpoint.state });
    }
    return statuses;
}

} // namespace anvilmoor
