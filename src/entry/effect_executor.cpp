#include "entry/effect_executor.h"

#include "entry/wire_answer.h"

#include <string>
#include <utility>

namespace anvilmoor::entry {

EffectExecutor::EffectExecutor(ExecutorDependencies parts)
    : m_dependencies(std::move(parts))
{
}

void EffectExecutor::execute(const Effect& effect)
{
    std::visit([this](const auto& one) { carryOut(one); }, effect);
}

void EffectExecutor::carryOut(const AnswerRequest& effect)
{
    auto caller = m_dependencies.callers.take(effect.caller);
    if (!caller)
        return;
    auto response = encodeAnswer(effect.answer, caller->identity);
    const std::string outcome(response.header("Anvilmoor-Outcome"));
    m_dependencies.metrics
        .counter(
            "anvilmoor_request_answers_total", "Answers to requests by outcome.", { { "outcome", outcome } })
        .add();
    m_dependencies.metrics.latency("anvilmoor_request_seconds", "From a request's arrival to its answer.")
        .record(m_dependencies.now() - caller->since);
    caller->exchange->respond(std::move(response));
}

void EffectExecutor::carryOut(const AnswerOperator& effect)
{
    auto caller = m_dependencies.callers.take(effect.caller);
    if (caller)
        caller->exchange->respond(encodeOperatorAnswer(effect));
}

void EffectExecutor::carryOut(const CallEndpoint& effect)
{
    const net::SocketAddress* address = m_dependencies.addresses.endpoint(effect.endpoint);
    if (!address) {
        m_dependencies.events.push(EndpointFailed { effect.call, EndpointFailure::NotSent,
            "no address is known for endpoint " + effect.endpoint.value() });
        return;
    }
    m_dependencies.endpoints.call(*address, effect, guarded([this](clients::EndpointOutcome outcome) {
        std::visit([this](auto& event) { m_dependencies.events.push(std::move(event)); }, outcome);
    }));
}

void EffectExecutor::carryOut(const CancelEndpointCall& effect)
{
    m_dependencies.endpoints.cancel(effect.call);
}

void EffectExecutor::carryOut(const ExecuteTransaction& effect)
{
    m_dependencies.table.execute(
        effect.transaction, guarded([this, operation = effect.operation](TableReply reply) {
            m_dependencies.events.push(TableReplied { operation, std::move(reply) });
        }));
}

void EffectExecutor::carryOut(const ReadTable& effect)
{
    m_dependencies.table.read(effect.read, guarded([this, operation = effect.operation](TableReply reply) {
        m_dependencies.events.push(TableReplied { operation, std::move(reply) });
    }));
}

void EffectExecutor::carryOut(const PutObject& effect)
{
    m_dependencies.objects.put(effect.key, effect.value,
        guarded([this, operation = effect.operation](const clients::ObjectResult& result) {
            m_dependencies.events.push(ObjectReplied { operation, result.has_value(), {} });
        }));
}

void EffectExecutor::carryOut(const GetObject& effect)
{
    m_dependencies.objects.get(
        effect.key, guarded([this, operation = effect.operation](const clients::ObjectResult& result) {
            m_dependencies.events.push(ObjectReplied { operation, result.has_value(), result.value_or("") });
        }));
}

void EffectExecutor::carryOut(const DeleteObject& effect)
{
    m_dependencies.objects.remove(
        effect.key, guarded([this, operation = effect.operation](const clients::ObjectResult& result) {
            const bool isAbsent
                = !result.has_value() && result.error().kind == clients::ObjectErrorKind::NotFound;
            m_dependencies.events.push(ObjectReplied { operation, result.has_value() || isAbsent, {} });
        }));
}

void EffectExecutor::carryOut(const SyncRack& effect)
{
    const net::SocketAddress* address = m_dependencies.addresses.rack(effect.rack);
    if (!address) {
        m_dependencies.events.push(RackSyncFailed { effect.rack, false });
        return;
    }
    m_dependencies.workers.sync(*address, effect, guarded([this](clients::RackSyncOutcome outcome) {
        std::visit([this](auto& event) { m_dependencies.events.push(std::move(event)); }, outcome);
    }));
}

void EffectExecutor::carryOut(const SendWorkerCommand& effect)
{
    const net::SocketAddress* address = m_dependencies.addresses.worker(effect.worker);
    if (!address) {
        m_dependencies.events.push(
            WorkerReplied { effect.operation, effect.worker, WorkerCommandResult::Unreachable });
        return;
    }
    m_dependencies.workers.command(*address, effect.worker, effect.command,
        guarded([this, operation = effect.operation, worker = effect.worker](WorkerCommandResult result) {
            m_dependencies.events.push(WorkerReplied { operation, worker, result });
        }));
}

void EffectExecutor::carryOut(const SendToPeer& effect)
{
    m_dependencies.peers.send(effect.peer, effect.message);
}

void EffectExecutor::carryOut(const SendToAllPeers& effect)
{
    m_dependencies.peers.sendToAll(effect.message);
}

void EffectExecutor::carryOut(const SetReadiness& effect) { m_dependencies.setReadiness(effect.isReady); }

void EffectExecutor::carryOut(const ConfigurationAdopted& /*effect*/) { m_dependencies.adoptConfiguration(); }

void EffectExecutor::carryOut(const RecordEvent& effect)
{
    m_dependencies.metrics
        .counter("anvilmoor_recorded_events_total", "Events of the time line by name.",
            { { "event", effect.name } })
        .add();
    m_dependencies.log.log(telemetry::LogLevel::Info, effect.name, effect.fields);
}

void EffectExecutor::carryOut(const StopProcess& /*effect*/) { m_dependencies.stop(); }

} // namespace anvilmoor::entry
