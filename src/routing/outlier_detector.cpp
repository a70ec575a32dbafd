#include "routing/outlier_detector.h"

#include <algorithm>

namespace anvilmoor {

namespace {

constexpr std::uint32_t minCalls = 5; // the failure rate of fewer calls is not significant
constexpr std::uint32_t windowCalls = 50; // after this many calls, the counts are halved
constexpr double minFailureRate = 0.5;
constexpr double minExcessFailureRate = 0.3; // over the failure rate of the whole service
constexpr Milliseconds initialEjectionDuration { 1'000 };
constexpr Milliseconds maxEjectionDuration { 64'000 };
constexpr std::uint32_t maxDoublings = 6;
constexpr Seconds healthyPeriod { 60 }; // after it, ejection durations start again at the first one
// Exponential moving average over about 200 calls, slow enough that a burst of failures of one endpoint
// hardly changes it.
constexpr double smoothingFactor = 0.005;

} // namespace

bool OutlierDetector::onCall(EndpointHealth& health, bool isFailure, TimePoint now)
{
    if (health.isEjected) {
        if (now < health.ejectedUntil)
            return false; // the call started before the ejection
        if (isFailure) {
            eject(health, now);
            return true;
        }
        health.isEjected = false;
        health.calls = health.failures = 0;
        health.healthySince = now;
        --m_ejectedCount;
        return true;
    }
    m_failureRate += smoothingFactor * ((isFailure ? 1.0 : 0.0) - m_failureRate);
    if (health.calls >= windowCalls) {
        health.calls /= 2;
        health.failures /= 2;
    }
    ++health.calls;
    if (isFailure)
        ++health.failures;
    if (health.ejections > 0 && now - health.healthySince >= healthyPeriod)
        health.ejections = 0;
    if (!isFailure || !isOutlier(health) || 2 * (m_ejectedCount + 1) > m_endpoints)
        return false;
    ++m_ejectedCount;
    eject(health, now);
    return true;
}

bool OutlierDetector::isOutlier(const EndpointHealth& health) const
{
    if (health.calls < minCalls)
        return false;
    const double rate = double(health.failures) / health.calls;
    return rate >= minFailureRate && rate >= m_failureRate + minExcessFailureRate;
}

void OutlierDetector::eject(EndpointHealth& health, TimePoint now)
{
    const std::uint32_t doublings = std::min(health.ejections, maxDoublings);
    health.isEjected = true;
    ++health.ejections;
    health.ejectedUntil
        = now + std::min(maxEjectionDuration, initialEjectionDuration * (Milliseconds::rep(1) << doublings));
}

void OutlierDetector::onEndpointRemoved(const EndpointHealth& health)
{
    if (health.isEjected)
        --m_ejectedCount;
}

} // namespace anvilmoor
