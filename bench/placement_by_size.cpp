// Measures how placement serves jobs of each size in overload: plays traffic with bursts of gangs in virtual
// time and prints a table by queue and size, over all seeds. Flags choose the fleet and the seeds.

#include "batch/placement/packing_placement.h"
#include "support/placement_play.h"
#include "support/service_by_size.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <cstdint>
#include <fmt/core.h>
#include <string>

ABSL_FLAG(int, racks, 68, "Racks of the fleet, of eight workers each.");
ABSL_FLAG(std::uint64_t, first_seed, 1, "First seed.");
ABSL_FLAG(std::uint64_t, last_seed, 8, "Last seed.");
ABSL_FLAG(
    std::string, bursts, "gang", "Queue whose jobs come in bursts: urgent, gang or small; empty for all.");
ABSL_FLAG(double, load, 1, "Factor of the usual number of jobs.");

namespace anvilmoor::testing {

namespace {

void measure()
{
    ServiceBySize service;
    double lostWork = 0;
    double inUse = 0;
    for (std::uint64_t seed = absl::GetFlag(FLAGS_first_seed); seed <= absl::GetFlag(FLAGS_last_seed);
         ++seed) {
        const PlaySettings settings = burstTraffic(
            absl::GetFlag(FLAGS_racks), absl::GetFlag(FLAGS_load), absl::GetFlag(FLAGS_bursts), seed);
        const batch::PackingPlacement placement;
        const batch::ObjectiveOrder order;
        PlacementPlay play(settings, placement, order, seed);
        play.run();
        service.add(play.jobs());
        lostWork += play.lostWork();
        inUse += play.acceleratorsInUse();
    }
    const auto plays
        = static_cast<double>(absl::GetFlag(FLAGS_last_seed) - absl::GetFlag(FLAGS_first_seed) + 1);
    fmt::print("{}", service.table());
    fmt::print(
        "accelerators in use {:.3f}, lost work {:.0f} core-s a play\n", inUse / plays, lostWork / plays);
}

} // namespace

} // namespace anvilmoor::testing

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    anvilmoor::testing::measure();
}
