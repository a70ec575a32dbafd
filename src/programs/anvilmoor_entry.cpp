#include "entry/daemon.h"
#include "entry/entry_settings.h"
#include "entry/reducer_engine.h"
#include "net/event_loop.h"
#include "peer/kj_uv_event_port.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

// Each flag defaults to the environment variable ANVILMOOR_<FLAG>, where the name is in upper case with "_"
// for "-".
ABSL_FLAG(std::string, host, "", "name of this entry host");
ABSL_FLAG(std::string, zone, "", "availability zone of this host");
ABSL_FLAG(std::string, listen, "", "ip:port for callers and operators; port 0 selects a free port");
ABSL_FLAG(std::string, peer_listen, "", "ip:port for other entry daemons; port 0 selects a free port");
ABSL_FLAG(std::string, peers, "", "entry daemons as host@zone=ip:port,...; may include this one");
ABSL_FLAG(std::string, platform, "", "ip:port of the platform's table, object store and host list");
ABSL_FLAG(std::string, workers_address, "", "worker service of each zone as zone=ip:port,...");
ABSL_FLAG(std::string, seed, "", "seed of random decisions; if empty, the system generates one");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace {

using namespace anvilmoor;

constexpr int exitBadSettings = 2;
constexpr int exitCannotListen = 1;

// Must be called before the command line is parsed, so that flags override the environment.
void setFromEnvironment(absl::Flag<std::string>& flag, const char* variable)
{
    if (const char* value = std::getenv(variable))
        absl::SetFlag(&flag, std::string(value));
}

void readEnvironment()
{
    setFromEnvironment(FLAGS_host, "ANVILMOOR_HOST");
    setFromEnvironment(FLAGS_zone, "ANVILMOOR_ZONE");
    setFromEnvironment(FLAGS_listen, "ANVILMOOR_LISTEN");
    setFromEnvironment(FLAGS_peer_listen, "ANVILMOOR_PEER_LISTEN");
    setFromEnvironment(FLAGS_peers, "ANVILMOOR_PEERS");
    setFromEnvironment(FLAGS_platform, "ANVILMOOR_PLATFORM");
    setFromEnvironment(FLAGS_workers_address, "ANVILMOOR_WORKERS_ADDRESS");
    setFromEnvironment(FLAGS_seed, "ANVILMOOR_SEED");
    setFromEnvironment(FLAGS_log_level, "ANVILMOOR_LOG_LEVEL");
}

entry::EntrySettings settingsFromFlags()
{
    return { absl::GetFlag(FLAGS_host), absl::GetFlag(FLAGS_zone), absl::GetFlag(FLAGS_listen),
        absl::GetFlag(FLAGS_peer_listen), absl::GetFlag(FLAGS_peers), absl::GetFlag(FLAGS_platform),
        absl::GetFlag(FLAGS_workers_address), absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_log_level) };
}

// Abseil accepts only underscores in flag names, but the documented flags have hyphens.
std::vector<std::string> withUnderscores(int argc, char** argv)
{
    std::vector<std::string> arguments(argv, argv + argc);
    for (std::string& argument : arguments) {
        if (!argument.starts_with("--"))
            continue;
        const std::size_t end = std::min(argument.find('='), argument.size());
        std::replace(argument.begin() + 2, argument.begin() + static_cast<std::ptrdiff_t>(end), '-', '_');
    }
    return arguments;
}

// Returns the first unknown flag, or an empty string. Checked here because Abseil would exit with code 1.
std::string unknownFlag(const std::vector<std::string>& arguments)
{
    for (const std::string& argument : arguments) {
        if (!argument.starts_with("--") || argument.starts_with("--help"))
            continue;
        const std::string name = argument.substr(2, argument.find('=') - 2);
        if (!absl::FindCommandLineFlag(name))
            return argument;
    }
    return {};
}

std::uint64_t drawRandom()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

int run(entry::DaemonOptions options)
{
    net::EventLoop loop;
    peer::KjUvEventPort kj(loop.handle());
    auto engine = std::make_unique<entry::ReducerEngine>(options.settings, defaultPolicies());
    auto daemon = entry::Daemon::open(loop, kj, std::move(options), std::move(engine));
    if (!daemon) {
        std::cerr << "anvilmoor-entry: " << daemon.error().detail << "\n";
        return exitCannotListen;
    }
    entry::Daemon& running = **daemon;
    const net::SignalWatcher terminate(loop, SIGTERM, [&running] { running.requestShutdown(); });
    const net::SignalWatcher interrupt(loop, SIGINT, [&running] { running.requestShutdown(); });
    running.log().log(telemetry::LogLevel::Info, "listening",
        { { "port", std::to_string(running.port()) }, { "peer_port", std::to_string(running.peerPort()) } });
    loop.run();
    return 0;
}

} // namespace

// Exit codes: 0 after a graceful shutdown, 1 cannot listen, 2 bad settings.
int main(int argc, char** argv)
{
    // By default, --help shows the flags of source files named like the program. The program's name has
    // hyphens, the file's name has underscores.
    absl::FlagsUsageConfig usage;
    usage.contains_help_flags
        = [](absl::string_view file) { return absl::EndsWith(file, "anvilmoor_entry.cpp"); };
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage("the entry daemon of anvilmoor");
    readEnvironment();
    auto arguments = withUnderscores(argc, argv);
    if (const std::string unknown = unknownFlag(arguments); !unknown.empty()) {
        std::cerr << "anvilmoor-entry: unknown flag " << unknown << "; see --help\n";
        return exitBadSettings;
    }
    std::vector<char*> pointers;
    pointers.reserve(arguments.size());
    pointers.reserve(arguments.size());
    for (std::string& argument : arguments)
        pointers.push_back(argument.data());
    const auto positional = absl::ParseCommandLine(argc, pointers.data());
    if (positional.size() > 1) {
        std::cerr << "anvilmoor-entry: unexpected argument \"" << positional[1]
                  << "\"; settings are given as flags\n";
        return exitBadSettings;
    }
    auto options = entry::readSettings(settingsFromFlags(), drawRandom());
    if (!options) {
        for (const std::string& problem : options.error())
            std::cerr << "anvilmoor-entry: " << problem << "\n";
        return exitBadSettings;
    }
    options->settings.incarnation = drawRandom();
    return run(std::move(*options));
}
