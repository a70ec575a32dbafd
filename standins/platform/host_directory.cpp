#include "platform/host_directory.h"

#include <algorithm>
#include <fmt/format.h>

namespace anvilmoor::standin {

HostDirectory::HostDirectory(const std::vector<HostListEntry>& hosts, Milliseconds lag)
    : m_lag(lag)
{
    for (const HostListEntry& host : hosts)
        m_actual[host.id] = { host.zone, host.state };
    m_listed = m_actual;
}

void HostDirectory::set(const std::string& host, State state, TimePoint now)
{
    const auto found = m_actual.find(host);
    if (found == m_actual.end())
        return;
    found->second.state = state;
    m_changes.push_back({ now, host, state });
}

std::vector<HostListEntry> HostDirectory::entries(const Hosts& hosts)
{
    std::vector<HostListEntry> list;
    for (const auto& [id, host] : hosts) {
        if (host.state)
            list.push_back({ id, host.zone, *host.state });
    }
    return list;
}

std::vector<HostListEntry> HostDirectory::list(TimePoint now)
{
    while (!m_changes.empty() && m_changes.front().at + m_lag <= now) {
        m_listed[m_changes.front().host].state = m_changes.front().state;
        m_changes.pop_front();
    }
    return entries(m_listed);
}

std::vector<HostListEntry> HostDirectory::actual() const { return entries(m_actual); }

clients::Decoded<std::vector<HostListEntry>> parseHosts(std::string_view text)
{
    constexpr std::string_view separators = ", \t\r\n";
    std::vector<HostListEntry> hosts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find_first_of(separators), text.size());
        const std::string_view item = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (item.empty())
            continue;
        const std::size_t colon = item.find(':');
        if (colon == std::string_view::npos || colon == 0 || colon + 1 == item.size())
            return tl::unexpected(clients::CodecError { fmt::format("\"{}\" is not WORKER:ZONE", item) });
        hosts.push_back({ std::string(item.substr(0, colon)),
            AvailabilityZoneId(std::string(item.substr(colon + 1))), HostState::Live });
    }
    return hosts;
}

} // namespace anvilmoor::standin
