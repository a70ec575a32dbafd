#include "entry/address_book.h"

#include <string>
#include <utility>

namespace anvilmoor::entry {

AddressBook::AddressBook(ZoneAddresses zones)
    : m_zoneAddresses(std::move(zones))
{
}

void AddressBook::adopt(const Configuration& configuration)
{
    m_racks.clear();
    m_workers.clear();
    for (const AvailabilityZoneConfiguration& zone : configuration.zones) {
        const auto address = m_zoneAddresses.find(zone.id);
        if (address == m_zoneAddresses.end())
            continue;
        for (const RackConfiguration& rack : zone.racks) {
            m_racks[rack.id] = &address->second;
            for (const WorkerConfiguration& worker : rack.workers)
                m_workers[worker.id] = &address->second;
        }
    }
}

const net::SocketAddress* AddressBook::rack(const RackId& id) const
{
    const auto found = m_racks.find(id);
    return found == m_racks.end() ? nullptr : found->second;
}

const net::SocketAddress* AddressBook::worker(const WorkerId& id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : found->second;
}

const net::SocketAddress* AddressBook::endpoint(const EndpointId& id) const
{
    const std::size_t separator = id.value().find('@');
    return separator == std::string::npos ? nullptr : worker(WorkerId(id.value().substr(separator + 1)));
}

} // namespace anvilmoor::entry
