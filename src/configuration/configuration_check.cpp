#include "configuration/configuration_check.h"

#include "noise/sound_power.h"
#include "placement/guarantee_planner.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

namespace anvilmoor {

namespace {

void checkZones(const Configuration& configuration, ConfigurationProblems& problems)
{
    if (configuration.zones.empty())
        problems.push_back({ {}, "zones", "needs at least one zone" });
    if (configuration.services.empty())
        problems.push_back({ {}, "services", "needs at least one service" });
    if (configuration.accounts.empty())
        problems.push_back({ {}, "accounts", "needs at least one client account" });

    // Worker ids are derived from rack ids, so unique rack ids imply unique worker ids.
    std::map<RackId, std::string> zoneNames;
    for (const AvailabilityZoneConfiguration& zone : configuration.zones) {
        const std::string field = fmt::format("zones.{}.racks", zone.id.value());
        for (const RackConfiguration& rack : zone.racks) {
            const auto [existing, isNew] = zoneNames.emplace(rack.id, zone.id.value());
            if (!isNew)
                problems.push_back({ {}, field,
                    fmt::format(
                        "rack \"{}\" is already a rack of zone \"{}\"", rack.id.value(), existing->second) });
        }
    }
}

void checkAccount(const Configuration& configuration, const ClientAccountConfiguration& account,
    ConfigurationProblems& problems)
{
    std::set<std::string> names;
    std::int64_t guaranteed = 0;
    std::size_t index = 0;
    for (const GuaranteeConfiguration& guarantee : account.guarantees) {
        const std::string field = fmt::format("accounts.{}.guarantees[{}]", account.id.value(), index++);
        guaranteed += std::int64_t { guarantee.accelerators } * guarantee.count;
        if (!names.insert(guarantee.name).second)
            problems.push_back({ {}, field + ".name",
                fmt::format("the account already has a guarantee named \"{}\"", guarantee.name) });
        if (!configuration.findZone(guarantee.zone))
            problems.push_back(
                { {}, field + ".zone", fmt::format("there is no zone \"{}\"", guarantee.zone.value()) });
    }
    if (guaranteed > account.acceleratorQuota)
        problems.push_back({ {}, fmt::format("accounts.{}.accelerator_quota", account.id.value()),
            fmt::format("is {}, below the {} accelerators that the account's guarantees add up to",
                account.acceleratorQuota, guaranteed) });
}

struct GuaranteedShapes {
    std::vector<int> shapes;
    std::int64_t totalAccelerators = 0;
    std::string text; // shapes by client account, for the problem's reason
};

GuaranteedShapes guaranteedShapesOf(const Configuration& configuration, const AvailabilityZoneId& zone)
{
    GuaranteedShapes result;
    for (const ClientAccountConfiguration& account : configuration.accounts) {
        for (const GuaranteeConfiguration& guarantee : account.guarantees) {
            if (guarantee.zone != zone)
                continue;
            result.shapes.insert(
                result.shapes.end(), static_cast<std::size_t>(guarantee.count), guarantee.accelerators);
            result.totalAccelerators += std::int64_t { guarantee.accelerators } * guarantee.count;
            result.text += fmt::format("{}{}: {} x {}", result.text.empty() ? "" : ", ", account.id.value(),
                guarantee.count, guarantee.accelerators);
        }
    }
    return result;
}

void checkGuaranteesFit(const Configuration& configuration, const AvailabilityZoneConfiguration& zone,
    ConfigurationProblems& problems)
{
    const GuaranteedShapes guaranteed = guaranteedShapesOf(configuration, zone.id);
    std::vector<int> rackCapacities;
    for (const RackConfiguration& rack : zone.racks) {
        int accelerators = 0;
        for (const WorkerConfiguration& worker : rack.workers)
            accelerators += worker.accelerators;
        rackCapacities.push_back(accelerators);
    }
    if (!packShapes(rackCapacities, guaranteed.shapes))
        problems.push_back({ {}, fmt::format("zones.{}.racks", zone.id.value()),
            fmt::format(
                "the guarantees of the zone ({}) do not fit its racks at the same time; add racks or lower "
                "the guarantees",
                guaranteed.text) });

    const int capacity = lessonHoursCapacity(zone);
    if (!zone.room.lessonHours.empty() && guaranteed.totalAccelerators > capacity)
        problems.push_back({ {}, fmt::format("zones.{}.room.limit_db", zone.id.value()),
            fmt::format(
                "in lesson hours the room allows {} active accelerators at {} dB, and the guarantees of "
                "the zone ({}) need {}",
                capacity, zone.room.limitDb, guaranteed.text, guaranteed.totalAccelerators) });
}

} // namespace

ConfigurationProblems checkConfiguration(const Configuration& configuration)
{
    ConfigurationProblems problems;
    checkZones(configuration, problems);
    for (const ClientAccountConfiguration& account : configuration.accounts)
        checkAccount(configuration, account, problems);
    if (!problems.empty())
        return problems;
    for (const AvailabilityZoneConfiguration& zone : configuration.zones)
        checkGuaranteesFit(configuration, zone, problems);
    return problems;
}

} // namespace anvilmoor
