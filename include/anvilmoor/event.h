#pragma once

#include "anvilmoor/configuration.h"
#include "anvilmoor/job.h"
#include "anvilmoor/peer_message.h"
#include "anvilmoor/request.h"
#include "anvilmoor/table.h"
#include "anvilmoor/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace anvilmoor {

// The module that issued an operation and receives its reply.
enum class ModuleId { Configuration, Membership, Requests, Role, Jobs };

struct OperationId {
    ModuleId module = ModuleId::Configuration;
    std::uint64_t sequence = 0; // unique within the module and daemon incarnation

    auto operator<=>(const OperationId&) const = default;
};

// The first event after the daemon starts.
struct Started { };

// Occurs every tickInterval.
struct Tick { };
constexpr Milliseconds tickInterval { 50 };

// SIGTERM was received: finish the work in flight, then stop.
struct ShutdownRequested { };

// --- callers

struct RequestReceived {
    CallerHandle caller = 0;
    RequestIdentity identity; // key may be empty for idempotent operations
    std::string callerName; // the caller within the account, for fairness between callers
    ServiceId service;
    std::string operation;
    std::optional<WallTime> issuedAt;
    Milliseconds deadline { 0 }; // relative to now; 0: default of the operation
    std::string body;
    // The caller guarantees that it has sent no earlier copy of the request and sends no other one until this
    // one is answered. Only then may a daemon that could not read the request's record answer "not run".
    bool isFirstCopy = false;
};

// The caller asks for the outcome of an earlier request.
struct RequestQueried {
    CallerHandle caller = 0;
    RequestIdentity identity;
};

// The caller's connection closed. The answer to its request, if any, is recorded but not sent.
struct CallerGone {
    CallerHandle caller = 0;
};

struct JobSubmitted {
    CallerHandle caller = 0;
    JobSpecification specification; // id is empty; an empty zone means any zone
};

struct JobQueried {
    CallerHandle caller = 0;
    JobId job;
};

struct JobsListed {
    CallerHandle caller = 0;
    ClientAccountId account; // empty: all
};

struct JobCancelRequested {
    CallerHandle caller = 0;
    JobId job;
};

// --- operators

struct ConfigurationSubmitted {
    CallerHandle caller = 0;
    std::string document; // canonical JSON of base and overlays
    ConfigurationVersion expectedVersion = 0; // the version that the operator's change is based on
};

struct ConfigurationQueried {
    CallerHandle caller = 0;
};

struct DrainRequested {
    CallerHandle caller = 0;
    EndpointId endpoint;
    bool isLeaving = true; // false: cancel a drain
};

struct SiteQueried {
    CallerHandle caller = 0;
    bool withEndpoints = true;
};

// --- endpoints

struct EndpointAnswered {
    CallId call = 0;
    RequestIdentity identity; // as returned by the endpoint
    std::string body;
};

enum class EndpointFailure {
    NotSent, // certain: the request did not reach the endpoint
    RefusedBeforeExecution, // refused by the endpoint, which did not execute it
    Lost, // sent, then no answer, a closed connection, or a truncated or malformed answer
    Error, // executed by the endpoint, which reports failure
};

struct EndpointFailed {
    CallId call = 0;
    EndpointFailure failure = EndpointFailure::Lost;
    std::string detail;
};

// --- platform

struct TableReplied {
    OperationId operation;
    TableReply reply;
};

struct ObjectReplied {
    OperationId operation;
    bool isOk = false;
    std::string value; // of the object, for GetObject
};

enum class HostState { Live, Leaving };

struct HostListEntry {
    std::string id; // of a worker
    AvailabilityZoneId zone;
    HostState state = HostState::Live;
};

// A host that is not in the list has been removed. The list may be out of date.
struct HostListReceived {
    std::vector<HostListEntry> hosts;
};

struct HostListFailed { };

// --- workers

// Reply to SyncRack. Lists every worker of the rack that changed after the requested sequence number.
struct RackSynced {
    RackId rack;
    FencingToken token = 0; // as sent in SyncRack
    std::uint64_t sequence = 0;
    bool isComplete = false; // true: lists all workers of the rack with all their tasks
    std::vector<WorkerReport> workers;
};

struct RackSyncFailed {
    RackId rack;
    bool isStaleToken = false; // the rack has seen the token of a newer holder
};

struct WorkerReplied {
    OperationId operation;
    WorkerId worker;
    WorkerCommandResult result = WorkerCommandResult::Unreachable;
};

// --- peers

struct PeerMessageReceived {
    HostId from;
    PeerMessage message;
};

struct PeerLost {
    HostId peer;
};

using EventPayload = std::variant<Started, Tick, ShutdownRequested, RequestReceived, RequestQueried,
    CallerGone, JobSubmitted, JobQueried, JobsListed, JobCancelRequested, ConfigurationSubmitted,
    ConfigurationQueried, DrainRequested, SiteQueried, EndpointAnswered, EndpointFailed, TableReplied,
    ObjectReplied, HostListReceived, HostListFailed, RackSynced, RackSyncFailed, WorkerReplied,
    PeerMessageReceived, PeerLost>;

// All input of a decision besides the state of the modules.
struct Event {
    TimePoint now;
    WallTime wallTime;
    SecondOfWeek localTime = 0; // of the daemon's own zone
    std::uint64_t random = 0; // fresh for each event
    EventPayload payload;
};

} // namespace anvilmoor
