#include "telemetry/timeline.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>
#include <fstream>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, job, "", "only events of this job id");
ABSL_FLAG(std::string, request, "", "only events of this request: its id or its idempotency key");
ABSL_FLAG(std::string, host, "", "only events of this host");
ABSL_FLAG(std::string, event, "", "only events of this name, or whose name starts with it and a dot");
ABSL_FLAG(std::string, format, "text", "text, or trace for trace-event JSON");

// Exit codes: 0 done, 1 a file cannot be read, 2 wrong usage.
int main(int argc, char** argv)
{
    using namespace anvilmoor::telemetry;

    // By default, --help shows the flags of source files named like the program. The program's name has
    // hyphens, the file's name has underscores.
    absl::FlagsUsageConfig usage;
    usage.contains_help_flags
        = [](absl::string_view file) { return absl::EndsWith(file, "anvilmoor_timeline.cpp"); };
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage("merges JSON-line event files into one time line\n"
                                 "usage: anvilmoor-timeline [flags] FILE... (- for standard input)");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const std::string format = absl::GetFlag(FLAGS_format);
    if (format != "text" && format != "trace") {
        std::cerr << "--format is \"" << format << "\"; use text or trace\n";
        return 2;
    }
    if (arguments.size() < 2) {
        std::cerr << "no input file given; pass event log files, or - for standard input\n";
        return 2;
    }
    Timeline timeline;
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        const std::string name = arguments[i];
        std::ifstream file;
        if (name != "-")
            file.open(name);
        if (name != "-" && !file) {
            std::cerr << "cannot read " << name << "\n";
            return 1;
        }
        timeline.read(name == "-" ? std::cin : file, name);
    }
    const auto events = timeline.merged({ absl::GetFlag(FLAGS_job), absl::GetFlag(FLAGS_request),
        absl::GetFlag(FLAGS_host), absl::GetFlag(FLAGS_event) });
    if (format == "trace")
        printTrace(std::cout, events, timeline.processes());
    else
        printText(std::cout, events);
    if (timeline.skippedLines() > 0)
        std::cerr << timeline.skippedLines()
                  << " lines were skipped because they are truncated or not events\n";
    return 0;
}
