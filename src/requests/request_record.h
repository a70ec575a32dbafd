#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/request.h"
#include "anvilmoor/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvilmoor {

// Records are kept longer than the maximum age of a request, so that a record exists for as long as copies
// of its request are accepted.
constexpr std::chrono::hours requestRecordLifetime { 48 };
constexpr std::chrono::hours maxRequestAge { 24 };

constexpr std::string_view requestRecordPrefix = "request/";

enum class RequestRecordState {
    Claimed, // only the daemon that wrote this nonce may send the request
    Done,
    NotRun, // the daemon that wrote this nonce will never send the request; another copy may claim the row
    Unknown, // the request was sent, but no answer was received
};

// The durable record of a non-idempotent request: a row "request/<account>/<key>".
struct RequestRecord {
    RequestRecordState state = RequestRecordState::Claimed;
    std::uint64_t nonce = 0; // identifies the claim
    HostId host; // of the daemon that made the claim
    std::uint64_t incarnation = 0; // of that daemon
    std::string digest; // of service, operation and body
    WallTime issuedAt;
    std::string body; // Done: the response, unless it is stored as an object
    std::string objectKey; // Done: key of the object that holds the response; empty: none
    std::string objectDigest; // of the response in the object
    std::string reason; // explains the outcome; empty after a response without an error
};

std::string requestRecordKey(const RequestIdentity&);

// Key of the object that holds a large response. The nonce distinguishes the responses of different claims.
std::string responseObjectKey(std::string_view recordKey, std::uint64_t nonce);

// Formats the record as JSON. A body that is not valid UTF-8 is written as hexadecimal digits.
std::string formatRequestRecord(const RequestRecord&);

// Empty if the text is not a valid record.
std::optional<RequestRecord> parseRequestRecord(const std::string&);

// Size and hash of a response, used to detect an object that is truncated or holds another response.
std::string responseDigest(std::string_view response);

// Hash of a request's content as 16 hexadecimal digits.
std::string requestDigest(const ServiceId&, std::string_view operation, std::string_view body);

} // namespace anvilmoor
