// The in-memory channel: executes effects with simulated latency and faults.

#include "support/test_cluster_parts.h"

#include <fmt/format.h>

namespace anvilmoor::test {

namespace {

constexpr Milliseconds localLatency { 1 };
constexpr Milliseconds zoneLatency { 4 }; // 3.5 ms one way, rounded up
constexpr Milliseconds tableLatency { 5 };
constexpr Milliseconds slowTableLatency { 1'500 };
constexpr Milliseconds tableTimeout { 2'000 };
constexpr Milliseconds commandTimeout { 1'000 };
constexpr Milliseconds syncGrace { 1'000 };
constexpr Milliseconds rackPollInterval { 100 };

} // namespace

bool TestCluster::reachesPlatform(const Host& host) const
{
    return !zonesCutFromPlatform.contains(host.settings.zone.value());
}

bool TestCluster::reachesZone(const Host& host, const std::string& zone) const
{
    const std::string& own = host.settings.zone.value();
    return own == zone || (!zonesCutFromPeers.contains(own) && !zonesCutFromPeers.contains(zone));
}

Milliseconds TestCluster::latency(const Host& host, const std::string& zone)
{
    const Milliseconds jitter { m_random() % 3 };
    return (host.settings.zone.value() == zone ? localLatency : zoneLatency) + jitter;
}

void TestCluster::sendThroughChannel(Host& host, const Effect& effect, std::function<void()> arrive)
{
    const HostId id = host.settings.host;
    const std::uint64_t incarnation = host.settings.incarnation;
    const ChannelAction action
        = onChannelMessage ? onChannelMessage({ Leg::Outgoing, id, &effect }) : ChannelAction::Deliver;
    // The hook may kill the daemon at this step; the message is then not sent.
    if (!host.reducer || host.settings.incarnation != incarnation)
        return;
    if (substituteReply) {
        if (const std::optional<EventPayload> answer = substituteReply(effect)) {
            schedule(tableLatency, [=, this] { reply(id, incarnation, effect, *answer); });
            return;
        }
    }
    if (action == ChannelAction::Drop) {
        timeOut(id, incarnation, effect, Milliseconds::max());
        return;
    }
    if (action == ChannelAction::Delay) {
        schedule(messageDelay, std::move(arrive));
        timeOut(id, incarnation, effect, messageDelay);
        return;
    }
    if (action == ChannelAction::Duplicate)
        schedule(duplicateDelay, arrive);
    schedule(Milliseconds(0), std::move(arrive));
}

void TestCluster::reply(
    const HostId& id, std::uint64_t incarnation, const Effect& effect, EventPayload payload)
{
    const ChannelAction action
        = onChannelMessage ? onChannelMessage({ Leg::Reply, id, &effect }) : ChannelAction::Deliver;
    if (rewriteReply)
        rewriteReply(effect, payload);
    if (action == ChannelAction::Drop) {
        timeOut(id, incarnation, effect, Milliseconds::max());
        return;
    }
    if (action == ChannelAction::Delay) {
        schedule(messageDelay, [this, id, incarnation, payload] { deliver(id, incarnation, payload); });
        timeOut(id, incarnation, effect, messageDelay);
        return;
    }
    if (action == ChannelAction::Duplicate)
        schedule(duplicateDelay, [this, id, incarnation, payload] { deliver(id, incarnation, payload); });
    deliver(id, incarnation, std::move(payload));
}

void TestCluster::timeOut(
    const HostId& id, std::uint64_t incarnation, const Effect& effect, Milliseconds limit)
{
    Milliseconds timeout { 0 };
    std::optional<EventPayload> payload;
    if (const auto* transaction = std::get_if<ExecuteTransaction>(&effect)) {
        timeout = tableTimeout;
        payload = TableReplied { transaction->operation, { TableStatus::Unknown, {} } };
    } else if (const auto* read = std::get_if<ReadTable>(&effect)) {
        timeout = tableTimeout;
        payload = TableReplied { read->operation, { TableStatus::Unavailable, {} } };
    } else if (const auto* put = std::get_if<PutObject>(&effect)) {
        timeout = tableTimeout;
        payload = ObjectReplied { put->operation, false, {} };
    } else if (const auto* get = std::get_if<GetObject>(&effect)) {
        timeout = tableTimeout;
        payload = ObjectReplied { get->operation, false, {} };
    } else if (const auto* removal = std::get_if<DeleteObject>(&effect)) {
        timeout = tableTimeout;
        payload = ObjectReplied { removal->operation, false, {} };
    } else if (const auto* call = std::get_if<CallEndpoint>(&effect)) {
        timeout = call->timeout;
        payload = EndpointFailed { call->call, EndpointFailure::Lost, "no answer within the time-out" };
    } else if (const auto* command = std::get_if<SendWorkerCommand>(&effect)) {
        timeout = commandTimeout;
        payload = WorkerReplied { command->operation, command->worker, WorkerCommandResult::Unreachable };
    } else if (const auto* sync = std::get_if<SyncRack>(&effect)) {
        timeout = sync->wait + syncGrace;
        payload = RackSyncFailed { sync->rack, false };
    }
    if (!payload || timeout >= limit)
        return;
    schedule(timeout, [this, id, incarnation, event = *payload] { deliver(id, incarnation, event); });
}

// Passes an effect that is not a message to the hook; returns false if the hook killed the daemon.
bool TestCluster::notifyHook(Host& host, const Effect& effect)
{
    const std::uint64_t incarnation = host.settings.incarnation;
    if (onChannelMessage)
        onChannelMessage({ Leg::Outgoing, host.settings.host, &effect });
    return host.reducer && host.settings.incarnation == incarnation;
}

void TestCluster::execute(Host& host, Effect effect)
{
    if (rewriteEffect)
        rewriteEffect(effect);
    if (const auto* answer = std::get_if<AnswerRequest>(&effect)) {
        if (notifyHook(host, effect))
            onAnswer(answer->caller, answer->answer);
    } else if (const auto* answer = std::get_if<AnswerOperator>(&effect)) {
        if (notifyHook(host, effect))
            onOperatorAnswer(*answer);
    } else if (std::holds_alternative<ConfigurationAdopted>(effect)) {
        notifyHook(host, effect);
    } else if (const auto* transaction = std::get_if<ExecuteTransaction>(&effect)) {
        executeTable(
            host, effect, transaction->operation,
            [this, work = transaction->transaction] { return m_table.execute(work); }, true);
    } else if (const auto* read = std::get_if<ReadTable>(&effect)) {
        executeTable(
            host, effect, read->operation, [this, work = read->read] { return m_table.read(work); }, false);
    } else if (const auto* put = std::get_if<PutObject>(&effect)) {
        executeObject(host, effect, put->operation);
    } else if (const auto* get = std::get_if<GetObject>(&effect)) {
        executeObject(host, effect, get->operation);
    } else if (const auto* removal = std::get_if<DeleteObject>(&effect)) {
        executeObject(host, effect, removal->operation);
    } else if (const auto* call = std::get_if<CallEndpoint>(&effect)) {
        executeCall(host, effect, *call);
    } else if (const auto* sync = std::get_if<SyncRack>(&effect)) {
        executeSync(host, effect, *sync);
    } else if (const auto* command = std::get_if<SendWorkerCommand>(&effect)) {
        executeCommand(host, effect, *command);
    } else if (const auto* single = std::get_if<SendToPeer>(&effect)) {
        executePeer(host, single->peer, single->message);
    } else if (const auto* broadcast = std::get_if<SendToAllPeers>(&effect)) {
        const std::uint64_t incarnation = host.settings.incarnation;
        for (const PeerSetting& peer : host.settings.peers) {
            // A fault injected at an earlier message may have killed the daemon.
            if (host.reducer && host.settings.incarnation == incarnation)
                executePeer(host, peer.host, broadcast->message);
        }
    } else if (const auto* readiness = std::get_if<SetReadiness>(&effect)) {
        host.isReady = readiness->isReady;
    } else if (const auto* record = std::get_if<RecordEvent>(&effect)) {
        std::string line = fmt::format(
            "{} {} {}", m_now.time_since_epoch().count(), host.settings.host.value(), record->name);
        for (const auto& [key, value] : record->fields)
            line += fmt::format(" {}={}", key, value);
        constexpr std::size_t maxEvents = 2'000;
        m_events.push_back(std::move(line));
        if (m_events.size() > maxEvents)
            m_events.pop_front();
        ++m_eventCounts[record->name];
    } else if (std::holds_alternative<StopProcess>(effect)) {
        const HostId id = host.settings.host;
        kill(id);
        host.hasStopped = true;
    }
}

void TestCluster::executeTable(Host& host, const Effect& effect, const OperationId& operation,
    std::function<TableReply()> work, bool isWrite)
{
    const HostId id = host.settings.host;
    const std::uint64_t incarnation = host.settings.incarnation;
    const bool isReachable = reachesPlatform(host);
    const ServiceMode mode = tableMode;
    sendThroughChannel(host, effect, [=, this] {
        if (!isReachable) {
            // Packets are lost, so the daemon cannot tell whether the write was executed.
            const TableStatus status = isWrite ? TableStatus::Unknown : TableStatus::Unavailable;
            schedule(tableTimeout, [=, this] {
                reply(id, incarnation, effect, TableReplied { operation, { status, {} } });
            });
            return;
        }
        if (mode == ServiceMode::Down) {
            schedule(tableLatency, [=, this] {
                reply(id, incarnation, effect, TableReplied { operation, { TableStatus::Unavailable, {} } });
            });
            return;
        }
        const Milliseconds delay = mode == ServiceMode::Slow ? slowTableLatency : tableLatency;
        schedule(delay / 2, [=, this] {
            const TableReply result = work();
            if (mode == ServiceMode::LosesReplies && isWrite) {
                schedule(tableTimeout, [=, this] {
                    reply(id, incarnation, effect, TableReplied { operation, { TableStatus::Unknown, {} } });
                });
                return;
            }
            schedule(delay / 2, [=, this] {
                reply(id, incarnation, effect, TableReplied { operation, result });
            });
        });
    });
}

void TestCluster::executeObject(Host& host, const Effect& effect, const OperationId& operation)
{
    const HostId id = host.settings.host;
    const std::uint64_t incarnation = host.settings.incarnation;
    const bool isUp = objectMode != ServiceMode::Down && reachesPlatform(host);
    sendThroughChannel(host, effect, [=, this] {
        ObjectReplied event { operation, isUp, {} };
        if (const auto* put = std::get_if<PutObject>(&effect); put && isUp)
            m_objects[put->key] = put->value;
        if (const auto* removal = std::get_if<DeleteObject>(&effect); removal && isUp)
            m_objects.erase(removal->key);
        if (const auto* get = std::get_if<GetObject>(&effect); get && isUp) {
            const auto found = m_objects.find(get->key);
            event.isOk = found != m_objects.end();
            event.value = event.isOk ? found->second : std::string();
        }
        schedule(tableLatency, [=, this] { reply(id, incarnation, effect, event); });
    });
}

void TestCluster::executeCall(Host& host, const Effect& effect, const CallEndpoint& call)
{
    const HostId id = host.settings.host;
    const std::uint64_t incarnation = host.settings.incarnation;
    const WorkerId workerId(call.endpoint.value().substr(call.endpoint.value().find('@') + 1));
    const std::string zone = m_workerZones.at(workerId);
    const Milliseconds delay = latency(host, zone);
    const bool isReachable = reachesZone(host, zone);
    sendThroughChannel(host, effect, [=, this] {
        const auto fail
            = [=, this](EndpointFailure failure, Milliseconds after, std::string detail = "test") {
                  schedule(after, [=, this] {
                      reply(id, incarnation, effect, EndpointFailed { call.call, failure, detail });
                  });
              };
        const standin::WorkerModel& worker = *m_workers.at(workerId);
        if (!isReachable) {
            fail(EndpointFailure::Lost, call.timeout);
            return;
        }
        if (worker.isDead) {
            fail(EndpointFailure::NotSent, delay);
            return;
        }
        schedule(delay, [=, this] {
            standin::EndpointModel& endpoint = *m_endpoints.at(call.endpoint);
            m_lastCalls[call.endpoint] = m_now;
            checkCall(call.endpoint);
            if (!endpoint.begin()) {
                fail(EndpointFailure::RefusedBeforeExecution, delay);
                return;
            }
            if (!findOperation(m_configuration.services.front(), call.operation)->idempotent)
                onExecution(call.identity);
            const standin::EndpointReply result = endpoint.execute(call.identity, call.operation, call.body);
            schedule(serviceTime, [=, this] {
                m_endpoints.at(call.endpoint)->finish();
                if (silentWorkers.contains(workerId) || m_workers.at(workerId)->isDead) {
                    fail(EndpointFailure::Lost, call.timeout);
                    return;
                }
                if (result.isError) {
                    m_reportedFailures[call.identity] = result.body;
                    fail(EndpointFailure::Error, delay, result.body);
                    return;
                }
                schedule(delay, [=, this] {
                    reply(
                        id, incarnation, effect, EndpointAnswered { call.call, call.identity, result.body });
                });
            });
        });
    });
}

void TestCluster::executeSync(Host& host, const Effect& effect, const SyncRack& sync)
{
    const HostId id = host.settings.host;
    const std::uint64_t incarnation = host.settings.incarnation;
    const Rack& rack = *m_racks.at(sync.rack);
    const Milliseconds delay = latency(host, rack.zone);
    const bool isReachable = reachesZone(host, rack.zone);
    sendThroughChannel(host, effect, [=, this] {
        if (!isReachable) {
            schedule(sync.wait + syncGrace, [=, this] {
                reply(id, incarnation, effect, RackSyncFailed { sync.rack, false });
            });
            return;
        }
        schedule(delay, [=, this] {
            bool isStale = false;
            for (const WorkerId& workerId : m_racks.at(sync.rack)->workers) {
                standin::WorkerModel& worker = *m_workers.at(workerId);
                if (worker.isDead || silentWorkers.contains(workerId))
                    continue;
                if (!worker.acceptToken(sync.token)) {
                    isStale = true;
                    continue;
                }
                worker.renew(sync.renewals, m_now);
            }
            if (isStale) {
                schedule(delay, [=, this] {
                    reply(id, incarnation, effect, RackSyncFailed { sync.rack, true });
                });
                return;
            }
            answerSync(id, incarnation, effect, m_now + (sync.since ? sync.wait : Milliseconds(0)));
        });
    });
}

void TestCluster::answerSync(
    const HostId& id, std::uint64_t incarnation, const Effect& effect, TimePoint deadline)
{
    const auto& sync = std::get<SyncRack>(effect);
    Rack& rack = *m_racks.at(sync.rack);
    bool hasChanged = false;
    for (const WorkerId& workerId : rack.workers)
        hasChanged |= m_workers.at(workerId)->advance(m_now);
    if (hasChanged)
        ++rack.sequence;
    if (rack.sequence == sync.since && m_now < deadline) {
        schedule(rackPollInterval, [=, this] { answerSync(id, incarnation, effect, deadline); });
        return;
    }
    RackSynced event { sync.rack, sync.token, rack.sequence, true, {} };
    for (const WorkerId& workerId : rack.workers) {
        const bool isSilent = silentWorkers.contains(workerId);
        event.workers.push_back(
            isSilent ? WorkerReport { workerId, false, {} } : m_workers.at(workerId)->report());
        if (m_workers.at(workerId)->isDead)
            event.workers.back() = { workerId, false, {} };
    }
    schedule(localLatency, [=, this] { reply(id, incarnation, effect, event); });
}

void TestCluster::executeCommand(Host& host, const Effect& effect, const SendWorkerCommand& command)
{
    const HostId id = host.settings.host;
    const std::uint64_t incarnation = host.settings.incarnation;
    const std::string zone = m_workerZones.at(command.worker);
    const Milliseconds delay = latency(host, zone);
    const bool isReachable = reachesZone(host, zone);
    sendThroughChannel(host, effect, [=, this] {
        const auto answer = [=, this](WorkerCommandResult result, Milliseconds after) {
            schedule(after, [=, this] {
                reply(id, incarnation, effect, WorkerReplied { command.operation, command.worker, result });
            });
        };
        if (!isReachable || m_workers.at(command.worker)->isDead) {
            answer(WorkerCommandResult::Unreachable, commandTimeout);
            return;
        }
        schedule(delay, [=, this] {
            const WorkerCommandResult result = m_workers.at(command.worker)->command(command.command, m_now);
            onCommand(command, result);
            if (silentWorkers.contains(command.worker))
                answer(WorkerCommandResult::Unreachable, commandTimeout);
            else
                answer(result, delay);
        });
    });
}

void TestCluster::executePeer(Host& host, const HostId& to, const PeerMessage& message)
{
    const HostId from = host.settings.host;
    const Host& receiver = *m_hosts.at(to);
    if (!reachesZone(host, receiver.settings.zone.value()) || silentPeers.contains({ from, to }))
        return;
    const Milliseconds delay = latency(host, receiver.settings.zone.value());
    const Effect effect = SendToPeer { to, message };
    sendThroughChannel(host, effect, [=, this] {
        schedule(delay, [=, this] {
            deliver(to, m_hosts.at(to)->settings.incarnation, PeerMessageReceived { from, message });
        });
    });
}

void TestCluster::sendHostLists()
{
    constexpr Milliseconds hostListInterval { 1'000 };
    if (!isHostListFrozen) {
        m_frozenHostList.clear();
        for (const auto& [worker, state] : m_hostStates) {
            if (state)
                m_frozenHostList.push_back(
                    { worker.value(), AvailabilityZoneId(m_workerZones.at(worker)), *state });
        }
    }
    for (const HostId& id : m_hostIds) {
        const Host& host = *m_hosts.at(id);
        if (!host.reducer)
            continue;
        if (reachesPlatform(host))
            deliver(id, host.settings.incarnation, HostListReceived { m_frozenHostList });
        else
            deliver(id, host.settings.incarnation, HostListFailed {});
    }
    schedule(hostListInterval, [this] { sendHostLists(); });
}

} // namespace anvilmoor::test
