#include "common/declared_layout.h"

#include "configuration/configuration_document.h"
#include "ctl/declaration_files.h"

namespace anvilmoor::standin {

namespace {

clients::Decoded<Configuration> readFiles(std::span<const std::string> files)
{
    const auto declaration = ctl::readDeclarationFiles(files);
    if (!declaration)
        return tl::unexpected(clients::CodecError { declaration.error().front().text() });
    auto configuration = readConfiguration(declaration->document);
    if (!configuration)
        return tl::unexpected(clients::CodecError { configuration.error().front().text() });
    return std::move(*configuration);
}

} // namespace

clients::Decoded<ZoneLayout> declaredLayout(std::span<const std::string> files, const AvailabilityZoneId& id)
{
    const auto configuration = readFiles(files);
    if (!configuration)
        return tl::unexpected(configuration.error());
    const AvailabilityZoneConfiguration* zone = configuration->findZone(id);
    if (!zone)
        return tl::unexpected(clients::CodecError { "the configuration has no zone \"" + id.value() + "\"" });
    ZoneLayout layout;
    for (const ServiceConfiguration& service : configuration->services) {
        layout.services.push_back(service.id.value());
        layout.slots = service.slotsPerEndpoint;
    }
    for (const RackConfiguration& rack : zone->racks) {
        RackLayout entry { rack.id.value(), {} };
        for (const WorkerConfiguration& worker : rack.workers)
            entry.workers.push_back({ worker.id.value(), worker.accelerators });
        layout.racks.push_back(std::move(entry));
    }
    return layout;
}

clients::Decoded<std::string> declaredHosts(std::span<const std::string> files)
{
    const auto configuration = readFiles(files);
    if (!configuration)
        return tl::unexpected(configuration.error());
    std::string text;
    for (const AvailabilityZoneConfiguration& zone : configuration->zones) {
        for (const RackConfiguration& rack : zone.racks) {
            for (const WorkerConfiguration& worker : rack.workers)
                text += worker.id.value() + ":" + zone.id.value() + ",";
        }
    }
    return text;
}

} // namespace anvilmoor::standin
