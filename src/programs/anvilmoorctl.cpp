#include "ctl/command.h"
#include "net/socket_address.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

ABSL_FLAG(std::string, entry, "", "entry hosts, IP:PORT[,IP:PORT...]");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(int, timeout_ms, 15'000, "time-out of each call, ms");
ABSL_FLAG(int64_t, base_version, -1, "config apply: version that the change is based on");
ABSL_FLAG(std::string, account, "", "client account");
ABSL_FLAG(std::string, key, "", "idempotency key");
ABSL_FLAG(std::string, caller, "", "name of the caller within the account");
ABSL_FLAG(std::string, zone, "", "availability zone of a job");
ABSL_FLAG(std::string, class, "borrowed", "guaranteed or borrowed");
ABSL_FLAG(int, accelerators, 0, "accelerators of a job, over all members");
ABSL_FLAG(bool, adjacent, true, "whether the members must be in one rack or in consecutive racks");
ABSL_FLAG(int, priority, 0, "0 to 9, higher first");
ABSL_FLAG(std::string, run_time, "", "declared run time, such as 8h");
ABSL_FLAG(std::string, body, "", "body of a request");
ABSL_FLAG(bool, first_copy, false, "request send: no copy of the request was sent before");
ABSL_FLAG(bool, undo, false, "endpoint drain: cancel the drain");

namespace {

using anvilmoor::ctl::ExitCode;

int usageError(const std::string& text)
{
    std::cerr << "anvilmoorctl: " << text << "\n";
    return static_cast<int>(ExitCode::Usage);
}

std::string entriesFromFlagOrEnvironment()
{
    const std::string flag = absl::GetFlag(FLAGS_entry);
    const char* environment = std::getenv("ANVILMOOR_ENTRY");
    return flag.empty() && environment ? environment : flag;
}

} // namespace

int main(int argc, char** argv)
{
    for (int index = 1; index < argc; ++index) {
        if (std::string_view(argv[index]) == "--help") {
            std::cout << anvilmoor::ctl::Command::help();
            return 0;
        }
    }
    const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> words(positional.begin() + 1, positional.end());

    anvilmoor::ctl::Options options;
    for (const absl::string_view item :
        absl::StrSplit(entriesFromFlagOrEnvironment(), ',', absl::SkipEmpty())) {
        const auto address = anvilmoor::net::parseSocketAddress({ item.data(), item.size() });
        if (!address)
            return usageError("--entry: \"" + std::string(item) + "\" does not have the form IP:PORT");
        options.entries.push_back(*address);
    }
    options.timeout = anvilmoor::Milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    if (options.timeout.count() <= 0)
        return usageError("--timeout_ms must be above 0");
    const std::string output = absl::GetFlag(FLAGS_output);
    if (output != "text" && output != "json")
        return usageError("--output must be text or json, not " + output);
    options.isJson = output == "json";
    options.baseVersion = absl::GetFlag(FLAGS_base_version);
    options.account = absl::GetFlag(FLAGS_account);
    options.key = absl::GetFlag(FLAGS_key);
    options.caller = absl::GetFlag(FLAGS_caller);
    options.zone = absl::GetFlag(FLAGS_zone);
    options.jobClass = absl::GetFlag(FLAGS_class);
    options.accelerators = absl::GetFlag(FLAGS_accelerators);
    options.isAdjacent = absl::GetFlag(FLAGS_adjacent);
    options.priority = absl::GetFlag(FLAGS_priority);
    options.runTime = absl::GetFlag(FLAGS_run_time);
    options.body = absl::GetFlag(FLAGS_body);
    options.isFirstCopy = absl::GetFlag(FLAGS_first_copy);
    options.isDrainCancelled = absl::GetFlag(FLAGS_undo);
    return static_cast<int>(anvilmoor::ctl::Command(options, std::cout, std::cerr).run(words));
}
