#pragma once

#include "admission/admission_policy.h"
#include "admission/retry_budget.h"
#include "admission/service_times.h"
#include "core/step.h"
#include "core/views.h"
#include "membership/endpoint_observer.h"
#include "requests/record_log.h"
#include "requests/request_execution.h"
#include "routing/routing_policy.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace anvilmoor {

struct RequestCounters {
    std::uint64_t received = 0;
    std::uint64_t done = 0; // answers by outcome
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t refused = 0;
    std::uint64_t copies = 0; // answered from an earlier copy
    std::uint64_t calls = 0; // to endpoints
    std::uint64_t retries = 0;
    std::uint64_t staleReplies = 0; // for unknown or ended calls
    std::uint64_t foreignAnswers = 0; // with another request's identity
    std::uint64_t droppedOutcomes = 0; // discarded before they were recorded, to bound memory
};

// Forwards requests from callers to endpoints and answers each caller once, at the latest at the first tick
// after its deadline. A non-idempotent request is claimed in the table before it is sent, and only the daemon
// whose nonce is in the row sends it.
class RequestBroker {
public:
    RequestBroker(const DaemonSettings&, const ConfigurationView&, const EndpointDirectory&,
        EndpointObserver&, const PeerDirectory&, AdmissionPolicy&, RoutingPolicy&);

    void handle(const RequestReceived&, Step&);
    void handle(const RequestQueried&, Step&);
    void handle(const CallerGone&, Step&);
    void handle(const EndpointAnswered&, Step&);
    void handle(const EndpointFailed&, Step&);
    // Ignore replies to operations of other modules and of the RecordSweeper.
    void handle(const TableReplied&, Step&);
    void handle(const ObjectReplied&, Step&);
    void handle(const RequestLookup&, const HostId& from, Step&);
    void handle(const RequestLookupAnswer&, const HostId& from, Step&);
    void handle(const PeerLost&, Step&);
    void handle(const Tick&, Step&);

    // From now on, new requests are answered "not run"; requests in progress are finished.
    void beginShutdown(Step&);

    // True if all requests are answered and their outcomes are recorded. During shutdown also true if
    // outcomes could not be recorded within 10 s after the last answer.
    bool isIdle() const;

    const RequestCounters& counters() const { return m_counters; }
    std::size_t unwrittenOutcomes() const { return m_executions.size() - m_unfinished; }

private:
    using Execution = RequestExecution;

    struct Caller {
        RequestNumber request = 0;
        TimePoint deadline {};
    };

    struct Call {
        RequestNumber request = 0;
        TimePoint expiresAt {};
    };

    struct Lookup {
        RequestNumber request = 0;
        HostId peer;
        TimePoint expiresAt {};
    };

    struct ObjectOperation {
        RequestNumber request = 0;
        TimePoint expiresAt {};
    };

    // The requests of one service that have left the admission queue.
    struct DispatchQueue {
        std::deque<RequestNumber> ready;
        std::size_t claiming = 0;
        std::size_t calling = 0;
    };

    // --- callers (request_broker.cpp)
    std::optional<RequestAnswer> rejectionFor(
        const RequestReceived&, const OperationConfiguration*, const Step&) const;
    void join(Execution&, const RequestReceived&, TimePoint deadline, Step&);
    void enqueue(Execution&, Step&);
    void addWaiter(Execution&, RequestWaiter);
    void answerCaller(CallerHandle, RequestAnswer, Step&);
    void expireCaller(CallerHandle, Step&);
    void abandon(Execution&, std::string reason, Step&);
    void finish(Execution&, RequestAnswer, Step&);
    void finishAsCopy(Execution&, RequestAnswer, Step&);
    Execution& create(RequestIdentity);
    void erase(Execution&);
    Execution* find(RequestNumber);
    Execution* find(const RequestIdentity&);
    void setPhase(Execution&, RequestPhase);
    void dropExcessOutcomes(Step&);
    void dispatchAndFlush(Step&);

    // --- calls (request_calls.cpp)
    void dispatch(const ServiceId&, DispatchQueue&, Step&);
    void dispatchReady(const ServiceId&, DispatchQueue&, Step&);
    std::optional<EndpointId> chooseEndpoint(const Execution&, const DispatchQueue&, Step&);
    Milliseconds callTimeout(const Execution&, TimePoint now) const;
    void call(Execution&, EndpointId, Step&);
    Execution* endCall(CallId, CallResult, Step&);
    void retryUnsent(Execution&, const std::string& reason, Step&);
    void retryPossiblyExecuted(Execution&, RequestAnswer fallback, Step&);
    void expireCalls(Step&);

    // --- records (request_claims.cpp)
    void startClaim(Execution&, Step&);
    void startRecordOperation(Execution&, Step&);
    void recordOutcome(Execution&, Step&);
    void storeResponse(Execution&, Step&);
    OperationId nextObjectOperation(const Execution&, Step&);
    void expireObjectOperations(Step&);
    std::string recordValue(const Execution&) const;
    void onRecordResult(const RecordResult&, Step&);
    void onRow(Execution&, const TableRow&, Step&);
    void onOwnRow(Execution&, const RequestRecord&, Step&);
    void onForeignRow(Execution&, const RequestRecord&, Step&);
    void onUnavailable(Execution&, Step&);
    void onGoalReached(Execution&);
    void retryDueRecords(Step&);

    // --- copies (request_lookups.cpp)
    void onQueriedRow(Execution&, const TableRow&, Step&);
    void resolve(Execution&, const RequestRecord&, Step&);
    void answerInboundLookups(Execution&, Step&);
    // Ends the selected lookups and answers "unknown" to the callers that wait for them.
    void abandonLookups(
        const std::function<bool(const Lookup&)>& isSelected, const std::string& reason, Step&);
    void expireLookups(Step&);

    const DaemonSettings& m_settings;
    const ConfigurationView& m_configuration;
    const EndpointDirectory& m_directory;
    EndpointObserver& m_observer;
    const PeerDirectory& m_peers;
    AdmissionPolicy& m_admission;
    RoutingPolicy& m_routing;

    RecordLog m_log;
    RetryBudget m_retryBudget;
    ServiceTimes m_serviceTimes;
    RequestCounters m_counters;
    std::unordered_map<RequestNumber, Execution> m_executions;
    std::map<RequestIdentity, RequestNumber> m_byIdentity; // non-idempotent
    std::unordered_map<CallerHandle, Caller> m_callers;
    std::set<std::pair<TimePoint, CallerHandle>> m_deadlines;
    std::map<ServiceId, DispatchQueue> m_dispatchQueues;
    std::map<CallId, Call> m_calls;
    std::map<std::uint64_t, Lookup> m_lookups;
    std::map<std::uint64_t, ObjectOperation> m_objectOperations; // by sequence
    std::set<std::pair<TimePoint, RequestNumber>> m_recordRetries;
    std::set<RequestNumber> m_withInboundLookups;
    std::deque<RequestNumber> m_finishedOrder;
    std::size_t m_unfinished = 0;
    std::size_t m_heldBytes = 0; // bodies and unwritten responses
    std::size_t m_unwrittenBytes = 0; // unwritten responses only
    ConfigurationVersion m_configuredVersion = 0;
    RequestNumber m_lastNumber = 0;
    CallId m_lastCall = 0;
    std::uint64_t m_lastLookup = 0;
    std::uint64_t m_lastObjectOperation = 0;
    TimePoint m_nextCallCheck {};
    TimePoint m_now {};
    bool m_isStopping = false;
    std::optional<TimePoint> m_drainedAt; // while stopping: when the last request was answered
};

} // namespace anvilmoor
