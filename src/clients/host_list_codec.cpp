#include "clients/host_list_codec.h"

#include "clients/json_reader.h"

#include <array>

namespace anvilmoor::clients {

namespace {

constexpr std::array<std::pair<std::string_view, HostState>, 2> stateNames { {
    { "live", HostState::Live },
    { "leaving", HostState::Leaving },
} };

} // namespace

Encoded encodeHostList(const std::vector<HostListEntry>& hosts)
{
    nlohmann::json message { { "hosts", nlohmann::json::array() } };
    for (const HostListEntry& host : hosts) {
        message["hosts"].push_back({ { "id", host.id }, { "zone", host.zone.value() },
            { "state", host.state == HostState::Live ? "live" : "leaving" } });
    }
    return toText(message);
}

Decoded<std::vector<HostListEntry>> decodeHostList(std::string_view text)
{
    JsonReader reader(text);
    std::vector<HostListEntry> hosts;
    for (JsonReader& item : reader.items("hosts"))
        hosts.push_back({ item.text("id"), AvailabilityZoneId(item.text("zone")),
            item.oneOf<HostState>("state", stateNames) });
    return reader.result(std::move(hosts));
}

} // namespace anvilmoor::clients
