#include "entry/entry_settings.h"

#include "net/socket_address.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <utility>

namespace anvilmoor::entry {

namespace {

template <typename Number> std::optional<Number> parseNumber(std::string_view text)
{
    Number value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = error == std::errc() && end == text.data() + text.size() && !text.empty();
    return isWhole ? std::optional(value) : std::nullopt;
}

// "10.0.0.1:80" or "[::1]:80".
std::optional<net::SocketAddress> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    std::string_view ip = text.substr(0, colon);
    const bool isBracketed = ip.starts_with('[') && ip.ends_with(']');
    if (isBracketed)
        ip = ip.substr(1, ip.size() - 2);
    sockaddr_storage storage {};
    if (!port || isBracketed != (ip.find(':') != std::string_view::npos))
        return std::nullopt;
    net::SocketAddress address { std::string(ip), *port };
    return net::toSocketAddress(address, storage) ? std::optional(std::move(address)) : std::nullopt;
}

std::vector<std::string_view> splitList(std::string_view text)
{
    std::vector<std::string_view> items;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        items.push_back(text.substr(0, comma));
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    }
    return items;
}

class SettingsReader {
public:
    explicit SettingsReader(std::vector<std::string>& problems)
        : m_problems(problems)
    {
    }

    std::string name(std::string_view flag, std::string_view value, std::string_view example)
    {
        constexpr std::string_view extra = "-._";
        const auto isAllowed = [&](char character) {
            return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z') || extra.find(character) != std::string_view::npos;
        };
        if (value.empty())
            fail("--{} is missing; set it, for example --{}={}", flag, flag, example);
        else if (!std::ranges::all_of(value, isAllowed))
            fail("--{}: \"{}\" may contain only letters, digits and \"-._\"", flag, value);
        return std::string(value);
    }

    net::SocketAddress address(std::string_view flag, std::string_view value, bool isPortZeroAllowed)
    {
        const auto parsed = parseAddress(value);
        if (value.empty())
            fail("--{} is missing; set it to a numeric address, for example --{}=127.0.0.1:8080", flag, flag);
        else if (!parsed)
            fail("--{}: \"{}\" is not a numeric address with port, like 127.0.0.1:8080 or [::1]:8080", flag,
                value);
        else if (parsed->port == 0 && !isPortZeroAllowed)
            fail("--{}: \"{}\" has port 0; set the port to connect to", flag, value);
        return parsed.value_or(net::SocketAddress {});
    }

    template <typename... Arguments>
    void fail(fmt::format_string<Arguments...> form, Arguments&&... arguments)
    {
        m_problems.push_back(fmt::format(form, std::forward<Arguments>(arguments)...));
    }

private:
    std::vector<std::string>& m_problems;
};

void readPeer(
    SettingsReader& reader, std::string_view item, DaemonOptions& options, std::set<HostId>& seenHosts)
{
    const std::size_t at = item.find('@');
    const std::size_t equals = item.find('=');
    if (at == std::string_view::npos || equals == std::string_view::npos || at > equals) {
        reader.fail("--peers: \"{}\" must have the form host@zone=ip:port", item);
        return;
    }
    const HostId host(reader.name("peers", item.substr(0, at), "e1@zone=10.0.0.1:7000"));
    const AvailabilityZoneId zone(
        reader.name("peers", item.substr(at + 1, equals - at - 1), "e1@zone=10.0.0.1:7000"));
    const auto address = reader.address("peers", item.substr(equals + 1), false);
    if (!seenHosts.insert(host).second)
        reader.fail("--peers: host \"{}\" occurs twice; remove one entry", host.value());
    // Skips the entry of this host, so that all hosts can use the same list.
    if (host == options.settings.host) {
        if (zone != options.settings.zone)
            reader.fail("--peers: this host has zone \"{}\" in the list, but --zone is \"{}\"", zone.value(),
                options.settings.zone.value());
        return;
    }
    options.settings.peers.push_back({ host, zone });
    options.peers.push_back({ host, address });
}

void readWorkers(SettingsReader& reader, std::string_view text, DaemonOptions& options)
{
    for (const std::string_view item : splitList(text)) {
        const std::size_t equals = item.find('=');
        if (equals == std::string_view::npos) {
            reader.fail("--workers-address: \"{}\" must have the form zone=ip:port", item);
            continue;
        }
        const AvailabilityZoneId zone(
            reader.name("workers-address", item.substr(0, equals), "zone=10.0.0.1:7100"));
        const auto address = reader.address("workers-address", item.substr(equals + 1), false);
        if (!options.workers.emplace(zone, address).second)
            reader.fail("--workers-address: zone \"{}\" occurs twice; remove one entry", zone.value());
    }
    if (!options.workers.contains(options.settings.zone))
        reader.fail("--workers-address has no address for this host's zone \"{}\"; add {}=ip:port",
            options.settings.zone.value(), options.settings.zone.value());
}

} // namespace

tl::expected<DaemonOptions, std::vector<std::string>> readSettings(
    const EntrySettings& settings, std::uint64_t operatingSystemSeed)
{
    std::vector<std::string> problems;
    SettingsReader reader(problems);
    DaemonOptions options;
    options.settings.host = HostId(reader.name("host", settings.host, "entry-1"));
    options.settings.zone = AvailabilityZoneId(reader.name("zone", settings.zone, "steyr-north"));
    options.listen = reader.address("listen", settings.listen, true);
    options.peerListen = reader.address("peer-listen", settings.peerListen, true);
    options.platform = reader.address("platform", settings.platform, false);
    std::set<HostId> seenHosts;
    for (const std::string_view item : splitList(settings.peers))
        readPeer(reader, item, options, seenHosts);
    readWorkers(reader, settings.workersAddress, options);
    const auto seed = parseNumber<std::uint64_t>(settings.seed);
    if (!settings.seed.empty() && !seed)
        reader.fail("--seed: \"{}\" is not an unsigned 64-bit integer; omit the flag for a random seed",
            settings.seed);
    options.seed = seed.value_or(operatingSystemSeed);
    const auto level = telemetry::logLevelFrom(settings.logLevel);
    if (!level)
        reader.fail("--log-level: \"{}\" is unknown; use debug, info, warning or error", settings.logLevel);
    options.logLevel = level.value_or(telemetry::LogLevel::Info);
    if (!problems.empty())
        return tl::unexpected(std::move(problems));
    return options;
}

} // namespace anvilmoor::entry
