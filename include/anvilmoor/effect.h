#pragma once

#include "anvilmoor/event.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace anvilmoor {

struct AnswerRequest {
    CallerHandle caller = 0;
    RequestAnswer answer;
};

// Results in EndpointAnswered or EndpointFailed for the call, at the latest after the time-out.
struct CallEndpoint {
    CallId call = 0;
    EndpointId endpoint;
    RequestIdentity identity;
    std::string operation;
    std::string body;
    Milliseconds timeout { 0 };
};

// Cancels the call; no event for it follows.
struct CancelEndpointCall {
    CallId call = 0;
};

// Results in TableReplied.
struct ExecuteTransaction {
    OperationId operation;
    TableTransaction transaction;
};

// Results in TableReplied.
struct ReadTable {
    OperationId operation;
    TableRead read;
};

// Results in ObjectReplied.
struct PutObject {
    OperationId operation;
    std::string key;
    std::string value;
};

// Results in ObjectReplied.
struct GetObject {
    OperationId operation;
    std::string key;
};

// Results in ObjectReplied. Deleting an object that does not exist succeeds.
struct DeleteObject {
    OperationId operation;
    std::string key;
};

// Results in RackSynced or RackSyncFailed. The rack replies at the first change, or after `wait`.
struct SyncRack {
    RackId rack;
    FencingToken token = 0; // 0: the sender is a caretaker, which only renews leases
    std::uint64_t since = 0; // report changes after this sequence number; 0: report everything
    Milliseconds wait { 0 };
    std::vector<LeaseRenewal> renewals;
};

// Results in WorkerReplied.
struct SendWorkerCommand {
    OperationId operation;
    WorkerId worker;
    WorkerCommand command;
};

struct SendToPeer {
    HostId peer;
    PeerMessage message;
};

struct SendToAllPeers {
    PeerMessage message;
};

// Why a call of an operator or job submitter was refused.
enum class RefusalKind { Invalid, NotFound, Conflict, Unavailable, Unknown };

struct Refusal {
    RefusalKind kind = RefusalKind::Invalid;
    std::vector<std::string> reasons; // each names the field and how to correct it
};

struct JobsAnswer {
    std::vector<JobStatus> jobs;
    bool isSingle = false; // answers a call about one job, not a list
};

struct ConfigurationAnswer {
    ConfigurationVersion version = 0;
    std::string document; // empty after a submission
};

struct PeerStatus {
    HostId host;
    AvailabilityZoneId zone;
    bool isReachable = false;
    bool isReady = false;
    ConfigurationVersion configurationVersion = 0; // in force at the peer
    FencingToken heldToken = 0;
    ZoneSummary summary;
    ConfigurationVersion knownConfigurationVersion = 0; // highest version held by the peer, in force or not
};

enum class EndpointState { Live, Suspect, Leaving, Lost };

struct EndpointStatus {
    EndpointId endpoint;
    AvailabilityZoneId zone;
    EndpointState state = EndpointState::Live;
};

struct SiteAnswer {
    HostId host;
    ConfigurationVersion configurationVersion = 0;
    std::vector<PeerStatus> hosts; // this daemon and all peers in its settings
    std::vector<EndpointStatus> endpoints;
    double noiseDb = 0; // estimate for this daemon's zone, if it holds the role
    double noiseLimitDb = 0; // 0: no limit applies now
};

struct DrainAnswer {
    std::uint64_t version = 0;
};

// Answers calls of operators and job submitters. Requests to services get AnswerRequest.
struct AnswerOperator {
    CallerHandle caller = 0;
    std::variant<Refusal, JobsAnswer, ConfigurationAnswer, SiteAnswer, DrainAnswer> answer;
};

// Sets whether the daemon reports itself ready to serve.
struct SetReadiness {
    bool isReady = false;
};

// A new configuration is in force; the adapters update their sets of workers, racks and endpoints.
struct ConfigurationAdopted {
    ConfigurationVersion version = 0;
};

// One entry of the event log.
struct RecordEvent {
    std::string name; // dotted, for example "job.running"
    std::vector<std::pair<std::string, std::string>> fields; // job, request, worker, zone, detail...
};

// Ends the process. The last effect of a graceful shutdown.
struct StopProcess { };

using Effect = std::variant<AnswerRequest, CallEndpoint, CancelEndpointCall, ExecuteTransaction, ReadTable,
    PutObject, GetObject, DeleteObject, SyncRack, SendWorkerCommand, SendToPeer, SendToAllPeers,
    AnswerOperator, SetReadiness, ConfigurationAdopted, RecordEvent, StopProcess>;

} // namespace anvilmoor
