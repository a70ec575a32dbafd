#include "common/declared_layout.h"
#include "common/standin_process.h"
#include "platform/platform_service.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on, IP:PORT; port 0 selects a free port");
ABSL_FLAG(std::string, hosts, "", "workers as WORKER:ZONE,...");
ABSL_FLAG(std::string, hosts_file, "", "file of WORKER:ZONE items, separated by commas or white space");
ABSL_FLAG(
    std::vector<std::string>, configuration, {}, "base file and overlays; lists their workers as hosts");
ABSL_FLAG(int, host_list_lag_ms, 0, "delay until a change of a host appears in the host list, ms");

int main(int argc, char** argv)
{
    using namespace anvilmoor;
    absl::SetProgramUsageMessage("Stand-in for the platform: table, object store and host list over HTTP.");
    absl::ParseCommandLine(argc, argv);

    std::string text = absl::GetFlag(FLAGS_hosts);
    if (const std::string name = absl::GetFlag(FLAGS_hosts_file); !name.empty()) {
        std::ifstream file(name);
        if (!file) {
            standin::logLine(
                "invalid_flag", { { "flag", "hosts_file" }, { "detail", "cannot read " + name } });
            return 2;
        }
        text += ',';
        text.append(std::istreambuf_iterator<char>(file), {});
    }
    if (const auto files = absl::GetFlag(FLAGS_configuration); !files.empty()) {
        const auto declared = standin::declaredHosts(files);
        if (!declared) {
            standin::logLine(
                "invalid_flag", { { "flag", "configuration" }, { "detail", declared.error().detail } });
            return 2;
        }
        text += ',' + *declared;
    }
    const auto hosts = standin::parseHosts(text);
    if (!hosts) {
        standin::logLine("invalid_flag", { { "flag", "hosts" }, { "detail", hosts.error().detail } });
        return 2;
    }
    net::EventLoop loop;
    standin::PlatformService service(
        loop, standin::HostDirectory(*hosts, Milliseconds(absl::GetFlag(FLAGS_host_list_lag_ms))));
    return standin::serveUntilStopped(loop, "anvilmoor-standin-platform", absl::GetFlag(FLAGS_listen),
        [&service](const std::shared_ptr<net::HttpExchange>& exchange) { service.handle(exchange); });
}
