#pragma once

#include "ctl/entry_client.h"
#include "ctl/exit_code.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace anvilmoor::ctl {

// Values of the flags of anvilmoorctl.
struct Options {
    std::vector<net::SocketAddress> entries;
    Milliseconds timeout { 15'000 };
    bool isJson = false;
    std::int64_t baseVersion = -1; // for config apply; -1: the version now in force
    std::string account;
    std::string key;
    std::string caller;
    std::string zone;
    std::string jobClass = "borrowed";
    int accelerators = 0;
    bool isAdjacent = true;
    int priority = 0;
    std::string runTime;
    std::string body;
    bool isDrainCancelled = false;
    bool isFirstCopy = false;
};

// Executes one command of anvilmoorctl.
class Command {
public:
    Command(const Options&, std::ostream& out, std::ostream& error);

    // `words` are the positional arguments: the command and its operands.
    ExitCode run(const std::vector<std::string>& words);

    // The text printed by --help.
    static std::string help();

private:
    using Words = std::vector<std::string>;

    ExitCode configCheck(const Words& files);
    ExitCode configApply(const Words& files);
    ExitCode configShow();
    ExitCode jobSubmit();
    ExitCode jobStatus(const Words& ids);
    ExitCode jobCancel(const Words& ids);
    ExitCode jobList();
    ExitCode endpointDrain(const Words& endpoints);
    ExitCode siteStatus();
    ExitCode requestSend(const Words& operands);
    ExitCode requestStatus(const Words& operands);

    // Returns the merged and validated document. If there are problems, prints them and returns nullopt.
    std::optional<nlohmann::json> readDeclaration(const Words& files);
    ExitCode waitUntilInForce(std::uint64_t version);
    EntryClient& client();
    ExitCode fail(const CallError&);
    ExitCode usageError(const std::string& text);
    ExitCode printJob(const tl::expected<CallResult, CallError>&);

    const Options& m_options;
    std::ostream& m_out;
    std::ostream& m_error;
    std::unique_ptr<EntryClient> m_client;
};

} // namespace anvilmoor::ctl
