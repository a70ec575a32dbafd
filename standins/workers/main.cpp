#include "common/declared_layout.h"
#include "common/standin_process.h"
#include "workers/layout.h"
#include "workers/worker_service.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on, IP:PORT; port 0 selects a free port");
ABSL_FLAG(std::string, zone, "", "availability zone, for the log");
ABSL_FLAG(std::string, layout, "", "JSON file of racks, workers and services; see layout.h");
ABSL_FLAG(std::vector<std::string>, configuration, {},
    "base file and overlays; takes the layout of --zone from them");

namespace {

using namespace anvilmoor;

clients::Decoded<standin::ZoneLayout> readLayout()
{
    if (const auto files = absl::GetFlag(FLAGS_configuration); !files.empty())
        return standin::declaredLayout(files, AvailabilityZoneId(absl::GetFlag(FLAGS_zone)));
    const std::string name = absl::GetFlag(FLAGS_layout);
    std::ifstream file(name);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    if (!file)
        return tl::unexpected(clients::CodecError { "cannot read the file of --layout: " + name });
    return standin::parseLayout(text);
}

} // namespace

int main(int argc, char** argv)
{
    using namespace anvilmoor;
    absl::SetProgramUsageMessage(
        "Stand-in for the workers and endpoints of one availability zone over HTTP.");
    absl::ParseCommandLine(argc, argv);

    const auto layout = readLayout();
    if (!layout) {
        standin::logLine("invalid_flag", { { "detail", layout.error().detail } });
        return 2;
    }
    standin::logLine(
        "starting", { { "zone", absl::GetFlag(FLAGS_zone) }, { "racks", layout->racks.size() } });
    net::EventLoop loop;
    standin::WorkerService service(loop, *layout);
    return standin::serveUntilStopped(loop, "anvilmoor-standin-workers", absl::GetFlag(FLAGS_listen),
        [&service](const std::shared_ptr<net::HttpExchange>& exchange) { service.handle(exchange); });
}
