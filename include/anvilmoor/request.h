#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace anvilmoor {

// Identifies a request of a client account; all copies of the request have the same identity.
struct RequestIdentity {
    ClientAccountId account;
    std::string key;

    auto operator<=>(const RequestIdentity&) const = default;
};

enum class RequestOutcome {
    Done, // the endpoint answered
    NotRun, // certain: no endpoint executed the request or any earlier copy of it
    Unknown, // sent without getting an answer; the caller may query the outcome later
    Refused, // malformed, or its key was already used with another body; this copy was not sent
};

// The name used in headers, records and logs: "done", "not_run", "unknown" or "refused".
std::string_view nameOf(RequestOutcome);

struct RequestAnswer {
    RequestOutcome outcome = RequestOutcome::Unknown;
    std::string body; // Done: the complete answer of the endpoint
    std::string reason; // other outcomes: the cause, and what the caller can do
    Milliseconds retryAfter { 0 }; // 0: no hint
    bool isFromRecord = false; // taken from the record of an earlier copy
    bool isConflict = false; // Refused: another request has the same key
};

// Identifies a call to an endpoint; unique within one incarnation of a daemon.
using CallId = std::uint64_t;

// Identifies the caller's open HTTP exchange within one daemon.
using CallerHandle = std::uint64_t;

// Turns NotRun into Unknown, because an earlier copy may have run if the request's record cannot be read.
inline RequestAnswer withoutRecord(RequestAnswer answer)
{
    if (answer.outcome != RequestOutcome::NotRun)
        return answer;
    answer.outcome = RequestOutcome::Unknown;
    answer.reason += "; this copy was not sent, and whether an earlier one ran is not known here";
    return answer;
}

} // namespace anvilmoor
