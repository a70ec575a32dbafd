#pragma once

#include "anvilmoor/configuration.h"
#include "net/http.h"

#include <map>
#include <unordered_map>

namespace anvilmoor::entry {

// Maps racks, workers and endpoints to network addresses. Each availability zone has one worker service,
// whose address is in the settings. The configuration determines the zone of each rack and worker.
class AddressBook {
public:
    using ZoneAddresses = std::map<AvailabilityZoneId, net::SocketAddress>;

    explicit AddressBook(ZoneAddresses);

    void adopt(const Configuration&);

    // Each returns null if the id is not in the configuration, or if the settings have no address for its
    // zone.
    const net::SocketAddress* rack(const RackId&) const;
    const net::SocketAddress* worker(const WorkerId&) const;
    const net::SocketAddress* endpoint(const EndpointId&) const;

private:
    ZoneAddresses m_zoneAddresses;
    std::unordered_map<RackId, const net::SocketAddress*> m_racks;
    std::unordered_map<WorkerId, const net::SocketAddress*> m_workers;
};

} // namespace anvilmoor::entry
