#pragma once

#include "entry/daemon.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace anvilmoor::entry {

// The process settings of an entry daemon as text. Each field has the name of its flag.
struct EntrySettings {
    std::string host;
    std::string zone;
    std::string listen;
    std::string peerListen;
    std::string peers; // "host@zone=ip:port,..."; this daemon's own entry is skipped
    std::string platform;
    std::string workersAddress; // "zone=ip:port,..."
    std::string seed; // empty: drawn from the operating system
    std::string logLevel;
};

// Checks all settings and reports all problems, each with the flag's name and how to correct it. Does not set
// the incarnation, which the caller draws at random.
tl::expected<DaemonOptions, std::vector<std::string>> readSettings(
    const EntrySettings&, std::uint64_t operatingSystemSeed);

} // namespace anvilmoor::entry
