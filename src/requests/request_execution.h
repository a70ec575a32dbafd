#pragma once

#include "admission/admission_policy.h"
#include "anvilmoor/request.h"
#include "requests/request_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilmoor {

// Set in the sequence numbers of object operations, to distinguish them from those of table operations.
constexpr std::uint64_t objectSequenceBit = std::uint64_t(1) << 62U;

// Expires if the object store client delivers no reply at all. Longer than the client's own timeout (5 s), so
// that a reply just before that timeout is still handled.
constexpr Seconds objectReplyTimeout { 6 };

enum class RequestPhase {
    Queued, // in the admission queue
    Claiming, // its claim is being written to the table
    Ready, // may be sent; waits for an endpoint
    Calling, // sent to an endpoint
    Resolving, // a copy or a query: reads the record or its object, or asks the daemon that made the claim
    Finished, // answered; its outcome is being recorded
};

struct RequestWaiter {
    CallerHandle caller = 0;
    TimePoint deadline {};
    bool isCopy = false; // joined a request that was already in progress, or queries its outcome
    bool isFirstCopy = false; // the caller declared that it sent no earlier copy
};

// A lookup of the outcome by a peer, answered when the request is finished or at `replyBy`.
struct InboundLookup {
    HostId peer;
    std::uint64_t lookup = 0;
    TimePoint replyBy {};
};

enum class RecordGoal { None, Claim, Outcome };

// The known state of a request's table row, and the state to be written to it. At most one operation on the
// row is in flight at a time.
struct RecordProgress {
    RecordGoal goal = RecordGoal::None;
    std::uint32_t goalNumber = 0; // incremented with each change of the goal
    std::uint64_t nonce = 0; // of the current claim; 0: none yet
    // Of earlier claims of this execution, abandoned before the request was sent.
    std::vector<std::uint64_t> abandonedNonces;
    std::uint64_t heldNonce = 0; // nonce of this execution last seen in the row; 0: none
    RowVersion version = 0; // condition of the next write
    bool isUncertain = false; // a write without a reply may have taken effect
    bool isReadNeeded = false; // before the next write
    bool isOutcomeWritten = false; // for the current nonce
    // "Not run" may have been written for the current nonce, after which another copy may claim the row.
    bool isReleased = false;
    bool isInFlight = false; // an operation on the row
    std::uint32_t inFlightGoalNumber = 0; // `goalNumber` and `nonce` when that operation started
    std::uint64_t inFlightNonce = 0;
    TimePoint claimingSince {};
    Milliseconds retryDelay { 0 };
};

// The answer to a request whose key was used before with another service, operation or body.
inline RequestAnswer keyConflictAnswer()
{
    RequestAnswer answer;
    answer.outcome = RequestOutcome::Refused;
    answer.reason = "the Idempotency-Key was used for another request";
    answer.isConflict = true;
    return answer;
}

// The execution of one request by this daemon. Copies of a non-idempotent request share one execution.
struct RequestExecution {
    RequestNumber number = 0;
    RequestIdentity identity;
    ServiceId service;
    std::string operation;
    std::string callerName;
    std::string body;
    std::string digest; // non-idempotent only
    WallTime issuedAt;
    int priority = 0;
    bool isIdempotent = false;
    bool isQuery = false; // reads the outcome of an earlier request; is never sent

    RequestPhase phase = RequestPhase::Queued;
    TimePoint deadline {}; // the latest deadline of all waiters so far
    std::vector<RequestWaiter> waiters;
    std::vector<InboundLookup> inboundLookups;

    CallId call = 0;
    EndpointId endpoint; // of the current or last call
    TimePoint calledAt {};
    int callCount = 0;
    std::vector<EndpointId> failedEndpoints; // of calls that were lost, not sent, or ended with an error
    bool isPossiblyExecuted = false; // by an earlier call

    RecordProgress record;
    RequestAnswer answer; // when finished
    std::string objectKey; // of a large response that has been stored
    std::string objectDigest; // expected of the object that a copy reads; empty: not checked
    bool isObjectPending = false; // a large response has not been stored yet
};

// Whether events of the request are recorded. Requests without a key are too numerous for that, and their
// events could not be looked up by key.
inline bool isTraced(const RequestExecution& execution)
{
    return !execution.identity.key.empty() && !execution.isQuery;
}

} // namespace anvilmoor
