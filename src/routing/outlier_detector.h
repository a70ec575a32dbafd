#pragma once

#include "anvilmoor/time.h"

#include <cstddef>
#include <cstdint>

namespace anvilmoor {

// Health of one endpoint, derived from the results of its calls.
struct EndpointHealth {
    std::uint32_t calls = 0; // in the current window
    std::uint32_t failures = 0;
    bool isEjected = false;
    std::uint32_t ejections = 0; // consecutive; reset after a healthy period
    TimePoint ejectedUntil {}; // afterwards it is probed with one call at a time
    TimePoint healthySince {};
};

// Ejects endpoints of one service that fail much more often than the service as a whole. An endpoint that
// fails every call quickly frees its slots at once and would otherwise attract most of the requests. Failures
// common to all endpoints, such as those of malformed requests, eject none.
class OutlierDetector {
public:
    // `endpoints`: number of endpoints of the service.
    void setEndpointCount(std::size_t endpoints) { m_endpoints = endpoints; }

    // Returns true if the call ejects the endpoint, extends its ejection or ends it.
    bool onCall(EndpointHealth&, bool isFailure, TimePoint now);

    // Must be called before the health of a removed endpoint is destroyed; updates the count of ejected ones.
    void onEndpointRemoved(const EndpointHealth&);

    std::size_t ejectedCount() const { return m_ejectedCount; }

    static bool mayProbe(const EndpointHealth& health, TimePoint now)
    {
        return health.isEjected && now >= health.ejectedUntil;
    }

private:
    void eject(EndpointHealth&, TimePoint now);
    bool isOutlier(const EndpointHealth&) const;

    std::size_t m_endpoints = 0;
    std::size_t m_ejectedCount = 0;
    double m_failureRate = 0; // of all calls to endpoints that are not ejected; moving average
};

} // namespace anvilmoor
