#include "anvilmoor/configuration.h"

#include <algorithm>

namespace anvilmoor {

namespace {

template <typename Range, typename Id> auto findById(const Range& range, const Id& id)
{
    const auto found
        = std::find_if(range.begin(), range.end(), [&](const auto& item) { return item.id == id; });
    return found == range.end() ? nullptr : &*found;
}

} // namespace

const AvailabilityZoneConfiguration* Configuration::findZone(const AvailabilityZoneId& id) const
{
    return findById(zones, id);
}

const ServiceConfiguration* Configuration::findService(const ServiceId& id) const
{
    return findById(services, id);
}

const ClientAccountConfiguration* Configuration::findAccount(const ClientAccountId& id) const
{
    return findById(accounts, id);
}

const OperationConfiguration* findOperation(const ServiceConfiguration& service, std::string_view operation)
{
    for (const OperationConfiguration& candidate : service.operations) {
        if (candidate.name == operation)
            return &candidate;
    }
    return nullptr;
}

EndpointId endpointId(const ServiceId& service, const WorkerId& worker)
{
    return EndpointId(service.value() + "@" + worker.value());
}

} // namespace anvilmoor
