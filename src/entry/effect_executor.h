#pragma once

#include "anvilmoor/effect.h"
#include "clients/endpoint_client.h"
#include "clients/object_client.h"
#include "clients/table_client.h"
#include "clients/worker_client.h"
#include "entry/address_book.h"
#include "entry/event_queue.h"
#include "entry/waiting_callers.h"
#include "peer/peer_network.h"
#include "telemetry/event_log.h"
#include "telemetry/metrics.h"

#include <functional>
#include <memory>

namespace anvilmoor::entry {

// The objects that the executor uses. All must outlive the executor.
struct ExecutorDependencies {
    clients::TableClient& table;
    clients::ObjectClient& objects;
    clients::WorkerClient& workers;
    clients::EndpointClient& endpoints;
    peer::PeerNetwork& peers;
    EventQueue& events; // receives the replies
    WaitingCallers& callers;
    AddressBook& addresses;
    telemetry::EventLog& log;
    telemetry::MetricsRegistry& metrics;
    std::function<TimePoint()> now;
    // Called for effects that apply to the daemon itself.
    std::function<void(bool isReady)> setReadiness;
    std::function<void()> adoptConfiguration;
    std::function<void()> stop;
};

// Executes effects through the clients. Each effect that expects a reply results in exactly one event in the
// queue, also if the address of its target is unknown.
class EffectExecutor {
public:
    explicit EffectExecutor(ExecutorDependencies);

    void execute(const Effect&);

private:
    void carryOut(const AnswerRequest&);
    void carryOut(const AnswerOperator&);
    void carryOut(const CallEndpoint&);
    void carryOut(const CancelEndpointCall&);
    void carryOut(const ExecuteTransaction&);
    void carryOut(const ReadTable&);
    void carryOut(const PutObject&);
    void carryOut(const GetObject&);
    void carryOut(const DeleteObject&);
    void carryOut(const SyncRack&);
    void carryOut(const SendWorkerCommand&);
    void carryOut(const SendToPeer&);
    void carryOut(const SendToAllPeers&);
    void carryOut(const SetReadiness&);
    void carryOut(const ConfigurationAdopted&);
    void carryOut(const RecordEvent&);
    void carryOut(const StopProcess&);

    // Wraps the callback so that it does nothing after the executor is destroyed.
    template <typename Callback> auto guarded(Callback callback)
    {
        return [alive = std::weak_ptr<int>(m_alive), callback = std::move(callback)](auto&& reply) {
            if (!alive.expired())
                callback(std::forward<decltype(reply)>(reply));
        };
    }

    ExecutorDependencies m_dependencies;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace anvilmoor::entry
