#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace anvilmoor {

struct RoutingQuery {
    const ServiceId& service;
    bool isIdempotent = false;
    Milliseconds serviceTime { 0 }; // expected
    std::size_t queueAhead = 0; // other requests of the service that are waiting
    // Endpoints that failed this request. One of them is chosen only if no other endpoint is usable.
    std::span<const EndpointId> avoided;
};

// Result of a call, as evidence about the health and load of its endpoint.
enum class CallResult {
    Succeeded,
    Failed, // executed with an error, lost, or not reachable
    Busy, // refused before execution because other daemons use the endpoint's slots
    Cancelled, // no evidence about the endpoint
};

// Chooses an endpoint for each call by the free slots and connections that this daemon knows of.
class RoutingPolicy {
public:
    virtual ~RoutingPolicy() = default;

    // Occupies a slot of the chosen endpoint. Empty if the request has to wait. Each chosen endpoint must be
    // passed to finish() when the call ends.
    virtual std::optional<EndpointId> choose(const RoutingQuery&, TimePoint now, std::uint64_t random) = 0;

    // Releases the slot and records the result of the call.
    virtual void finish(const ServiceId&, const EndpointId&, CallResult, TimePoint now) = 0;

    // Checks which unusable endpoints are usable again or due for a probe. Must be called at each tick.
    virtual void refresh(TimePoint now) = 0;

    // Free slots of usable endpoints in the daemon's own zone.
    virtual std::size_t freeSlots(const ServiceId&) = 0;
};

} // namespace anvilmoor
