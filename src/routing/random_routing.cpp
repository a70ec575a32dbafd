#include "routing/random_routing.h"

#include <algorithm>
#include <vector>

namespace anvilmoor {

RandomRouting::RandomRouting(const ConfigurationView& configuration, const EndpointDirectory& directory)
    : m_configuration(configuration)
    , m_directory(directory)
{
}

int RandomRouting::slotsPerEndpoint(const ServiceId& id) const
{
    const Configuration* configuration = m_configuration.current();
    const ServiceConfiguration* service = configuration ? configuration->findService(id) : nullptr;
    return service ? std::min(service->slotsPerEndpoint, service->connectionsPerEndpoint) : 0;
}

int RandomRouting::inFlight(const EndpointId& id) const
{
    const auto found = m_inFlight.find(id);
    return found == m_inFlight.end() ? 0 : found->second;
}

std::optional<EndpointId> RandomRouting::choose(const RoutingQuery& query, TimePoint, std::uint64_t random)
{
    const int limit = slotsPerEndpoint(query.service);
    std::vector<const EndpointId*> free;
    for (const EndpointRecord& endpoint : m_directory.endpoints(query.service)) {
        if (endpoint.state == EndpointState::Live && inFlight(endpoint.id) < limit)
            free.push_back(&endpoint.id);
    }
    if (free.empty())
        return {};
    const EndpointId& chosen = *free[random % free.size()];
    ++m_inFlight[chosen];
    return chosen;
}

void RandomRouting::finish(const ServiceId&, const EndpointId& id, CallResult, TimePoint)
{
    const auto found = m_inFlight.find(id);
    if (found != m_inFlight.end() && --found->second <= 0)
        m_inFlight.erase(found);
}

std::size_t RandomRouting::freeSlots(const ServiceId& service)
{
    std::size_t free = 0;
    const int limit = slotsPerEndpoint(service);
    for (const EndpointRecord& endpoint : m_directory.endpoints(service)) {
        if (endpoint.state == EndpointState::Live)
            free += std::size_t(std::max(0, limit - inFlight(endpoint.id)));
    }
    return free;
}

} // namespace anvilmoor
