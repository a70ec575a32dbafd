#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/time.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace anvilmoor {

// Exponentially weighted moving average of the time that endpoints need, per operation.
class ServiceTimes {
public:
    // Estimate for an operation that has not been called yet.
    static constexpr Milliseconds initialEstimate { 20 };

    void add(const ServiceId& service, const std::string& operation, Milliseconds serviceTime)
    {
        const auto entry = m_means.try_emplace({ service, operation }, double(initialEstimate.count())).first;
        double& mean = entry->second;
        // Limits the effect of one stalled call. Otherwise every request would be expected to miss its
        // deadline.
        const double sample = std::min(double(serviceTime.count()), maxSampleRatio * std::max(mean, 1.0));
        mean += smoothingFactor * (sample - mean);
    }

    // At least 1 ms, so that every request has a cost.
    Milliseconds expected(const ServiceId& service, const std::string& operation) const
    {
        const auto found = m_means.find({ service, operation });
        if (found == m_means.end())
            return initialEstimate;
        return std::max(Milliseconds(1), Milliseconds(Milliseconds::rep(found->second)));
    }

private:
    static constexpr double smoothingFactor = 0.1;
    static constexpr double maxSampleRatio = 8;

    std::map<std::pair<ServiceId, std::string>, double> m_means; // bounded by the configured operations
};

} // namespace anvilmoor
