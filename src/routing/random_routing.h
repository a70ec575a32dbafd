#pragma once

#include "core/views.h"
#include "routing/routing_policy.h"

#include <map>

namespace anvilmoor {

// Baseline policy: chooses at random among the live endpoints of all zones on which this daemon has a free
// slot. Each choice scans all endpoints of the service.
class RandomRouting : public RoutingPolicy {
public:
    RandomRouting(const ConfigurationView&, const EndpointDirectory&);

    std::optional<EndpointId> choose(const RoutingQuery&, TimePoint now, std::uint64_t random) override;
    void finish(const ServiceId&, const EndpointId&, CallResult, TimePoint now) override;
    void refresh(TimePoint) override { }
    std::size_t freeSlots(const ServiceId&) override;

private:
    int slotsPerEndpoint(const ServiceId&) const;
    int inFlight(const EndpointId&) const;

    const ConfigurationView& m_configuration;
    const EndpointDirectory& m_directory;
    std::map<EndpointId, int> m_inFlight;
};

} // namespace anvilmoor
