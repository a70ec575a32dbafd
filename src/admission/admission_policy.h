#pragma once

#include "anvilmoor/configuration.h"
#include "anvilmoor/identifiers.h"
#include "anvilmoor/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace anvilmoor {

// Identifies a queued request within one daemon.
using RequestNumber = std::uint64_t;

// Limits for all queues together. 16,384 requests of 1 KiB use less than a fifth of a daemon's 128 MB.
constexpr std::size_t maxQueuedRequests = 16'384;
constexpr std::size_t maxQueuedRequestsPerAccount = 8'192;

struct AdmissionItem {
    RequestNumber request = 0;
    ServiceId service;
    ClientAccountId account;
    std::string caller;
    int priority = 0; // 0 to 9
    TimePoint deadline {};
    Milliseconds expectedServiceTime { 0 };
};

struct AdmissionVerdict {
    bool isQueued = false;
    std::string reason; // if refused
    Milliseconds retryAfter { 0 }; // if refused: time until the queue may have room
    std::optional<RequestNumber> displaced; // earlier request that was removed to make room
};

// Holds requests that wait for an endpoint, and decides which one is served next. Every queue is bounded.
// Each service has its own queue, so that a busy service does not delay another one.
class AdmissionPolicy {
public:
    virtual ~AdmissionPolicy() = default;

    // Applies the accounts' shares.
    virtual void configure(const Configuration&) = 0;

    // `parallelism`: number of requests of the service that this daemon has in flight now. Refuses a request
    // that would not be served before its deadline with this parallelism.
    virtual AdmissionVerdict enqueue(const AdmissionItem&, int parallelism, TimePoint now) = 0;

    // The request to serve next, which stays queued until pop(). Empty if the queue is empty.
    virtual std::optional<RequestNumber> peek(const ServiceId&) const = 0;

    // Removes the request that peek() returns and charges its cost.
    virtual void pop(const ServiceId&) = 0;

    // Removes a request at any position of its queue. Ignores unknown requests.
    virtual void remove(RequestNumber) = 0;

    virtual std::size_t queued() const = 0;
    virtual std::size_t queued(const ServiceId&) const = 0;
};

} // namespace anvilmoor
