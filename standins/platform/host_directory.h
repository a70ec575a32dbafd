#pragma once

#include "anvilmoor/event.h"
#include "anvilmoor/time.h"
#include "clients/codec_error.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmoor::standin {

// The hosts of the platform. The list for clients contains each change only after the lag.
class HostDirectory {
public:
    using State = std::optional<HostState>; // empty: gone

    HostDirectory(const std::vector<HostListEntry>& hosts, Milliseconds lag);

    // False if the host was not given to the constructor.
    bool contains(const std::string& host) const { return m_actual.contains(host); }
    void set(const std::string& host, State, TimePoint now);
    // Also applies to earlier changes that are not listed yet.
    void setLag(Milliseconds lag) { m_lag = lag; }
    Milliseconds lag() const { return m_lag; }

    std::vector<HostListEntry> list(TimePoint now);
    std::vector<HostListEntry> actual() const;

private:
    struct Host {
        AvailabilityZoneId zone;
        State state;
    };
    struct Change {
        TimePoint at;
        std::string host;
        State state;
    };
    using Hosts = std::map<std::string, Host>;

    static std::vector<HostListEntry> entries(const Hosts&);

    Milliseconds m_lag;
    Hosts m_actual;
    Hosts m_listed;
    std::deque<Change> m_changes; // not listed yet, oldest first
};

// Reads "worker:zone,worker:zone,...", also with line breaks as separators.
clients::Decoded<std::vector<HostListEntry>> parseHosts(std::string_view);

} // namespace anvilmoor::standin
