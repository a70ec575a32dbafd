#include "configuration/configuration_document.h"

#include "configuration/configuration_check.h"
#include "configuration/document_reader.h"
#include "configuration/lesson_hours.h"

#include <algorithm>
#include <fmt/format.h>

namespace anvilmoor {

namespace {

using Json = nlohmann::json;

constexpr int maxAcceleratorsPerWorker = 64;
constexpr int maxWorkersPerRack = 64;
constexpr int maxCores = 4'096;
constexpr int maxMemoryGb = 65'536;
constexpr int maxSlotsPerEndpoint = 4'096;
constexpr int maxConnectionsPerEndpoint = 65'536;
constexpr int maxPriority = 9;
constexpr int maxAcceleratorQuota = 1'000'000;
constexpr int maxGuaranteeCount = 1'000;
constexpr double maxDb = 200;
constexpr double maxShare = 1'000'000;
constexpr Milliseconds minDeadline { 1 };
constexpr Milliseconds maxDeadline = std::chrono::hours(1);

// Names are used in table keys, URLs and metrics, so only a small alphabet is allowed.
const std::string nameRule
    = "a name must consist of 1 to 64 lower-case letters, digits and hyphens, without a hyphen at either end";

bool isValidName(std::string_view name)
{
    constexpr std::size_t maxLength = 64;
    const auto isAllowed
        = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !name.empty() && name.size() <= maxLength && std::all_of(name.begin(), name.end(), isAllowed)
        && name.front() != '-' && name.back() != '-';
}

class DocumentDecoder {
public:
    explicit DocumentDecoder(const Json& document)
        : m_root(document, "", m_problems)
    {
    }

    tl::expected<Configuration, ConfigurationProblems> decode()
    {
        m_configuration.deployment = m_root.text("deployment");
        readDefaults();
        for (const auto& [name, table] : m_root.table("zones").items())
            m_configuration.zones.push_back(readZone(name, table));
        for (const auto& [name, table] : m_root.table("services").items())
            m_configuration.services.push_back(readService(name, table));
        for (const auto& [name, table] : m_root.table("accounts").items())
            m_configuration.accounts.push_back(readAccount(name, table));
        m_root.finish();

        // References can be checked only if all parts were read without problems.
        if (m_problems.empty())
            m_problems = checkConfiguration(m_configuration);
        if (!m_problems.empty())
            return tl::unexpected(std::move(m_problems));
        return std::move(m_configuration);
    }

private:
    // Checks the name of an entry of a top-level table.
    void checkName(const std::string& section, const std::string& name)
    {
        if (isValidName(name))
            return;
        DocumentReader reader(m_root.table(section), section, m_problems);
        reader.addProblem(name, nameRule);
    }

    void readDefaults()
    {
        DocumentReader worker(m_root.table("worker"), "worker", m_problems);
        m_defaultWorker = readWorker(worker, {});
        worker.finish();
        DocumentReader room(m_root.table("room"), "room", m_problems);
        m_defaultRoom = readRoom(room, {});
        room.finish();
    }

    static WorkerConfiguration readWorker(DocumentReader& reader, const WorkerConfiguration& defaultValue)
    {
        WorkerConfiguration worker = defaultValue;
        const NoiseProfile& noise = defaultValue.noise;
        worker.cores = reader.integer("cores", 0, maxCores, defaultValue.cores);
        worker.memoryGb = reader.integer("memory_gb", 0, maxMemoryGb, defaultValue.memoryGb);
        worker.accelerators
            = reader.integer("accelerators", 0, maxAcceleratorsPerWorker, defaultValue.accelerators);
        worker.noise.idleDb = reader.number("idle_db", 0, maxDb, noise.idleDb);
        worker.noise.acceleratorDb = reader.number("accelerator_db", 0, maxDb, noise.acceleratorDb);
        worker.noise.throttledAcceleratorDb
            = reader.number("throttled_accelerator_db", 0, maxDb, noise.throttledAcceleratorDb);
        if (worker.noise.throttledAcceleratorDb > worker.noise.acceleratorDb)
            reader.addProblem("throttled_accelerator_db", "must not be above accelerator_db");
        return worker;
    }

    static RoomConfiguration readRoom(DocumentReader& reader, const RoomConfiguration& defaultValue)
    {
        RoomConfiguration room = defaultValue;
        room.limitDb = reader.number("limit_db", 0, maxDb, defaultValue.limitDb);
        if (!reader.has("lesson_hours"))
            return room;
        room.lessonHours.clear();
        for (const Json& item : reader.array("lesson_hours")) {
            const auto parsed = item.is_string() ? parseLessonHours(item.get_ref<const std::string&>())
                                                 : tl::unexpected(std::string("must contain only strings"));
            if (!parsed) {
                reader.addProblem("lesson_hours", parsed.error());
                continue;
            }
            room.lessonHours.insert(room.lessonHours.end(), parsed->begin(), parsed->end());
        }
        room.lessonHours = normalizeLessonHours(std::move(room.lessonHours));
        return room;
    }

    AvailabilityZoneConfiguration readZone(const std::string& name, const Json& table)
    {
        DocumentReader reader(table, "zones." + name, m_problems);
        checkName("zones", name);

        AvailabilityZoneConfiguration zone;
        zone.id = AvailabilityZoneId(name);
        zone.region = reader.text("region");
        zone.timeZone = reader.text("time_zone", "UTC");
        DocumentReader room(reader.table("room"), reader.pathOf("room"), m_problems);
        zone.room = readRoom(room, m_defaultRoom);
        room.finish();
        readRacks(reader, zone);
        readWorkerOverrides(reader, zone);
        reader.finish();
        return zone;
    }

    void readRacks(DocumentReader& zoneReader, AvailabilityZoneConfiguration& zone)
    {
        std::size_t index = 0;
        for (const Json& item : zoneReader.array("racks")) {
            const std::string path = fmt::format("{}[{}]", zoneReader.pathOf("racks"), index++);
            DocumentReader reader(item, path, m_problems);
            RackConfiguration rack;
            rack.id = RackId(reader.text("id"));
            if (!isValidName(rack.id.value()))
                reader.addProblem("id", nameRule);
            const int count = reader.integer("workers", 1, maxWorkersPerRack);
            for (int number = 1; number <= count; ++number) {
                WorkerConfiguration worker = m_defaultWorker;
                worker.id = WorkerId(fmt::format("{}-w{}", rack.id.value(), number));
                worker.rack = rack.id;
                rack.workers.push_back(std::move(worker));
            }
            reader.finish();
            zone.racks.push_back(std::move(rack));
        }
        if (zone.racks.empty())
            zoneReader.addProblem("racks", "needs at least one rack");
    }

    // Applies the fields of zones.<zone>.workers.<worker>, which override the defaults for one worker.
    void readWorkerOverrides(DocumentReader& zoneReader, AvailabilityZoneConfiguration& zone)
    {
        for (const auto& [name, table] : zoneReader.table("workers").items()) {
            DocumentReader reader(table, zoneReader.pathOf("workers") + "." + name, m_problems);
            WorkerConfiguration* worker = findWorker(zone, name);
            if (!worker) {
                zoneReader.addProblem("workers." + name, "no rack of the zone has this worker");
                continue;
            }
            *worker = readWorker(reader, *worker);
            reader.finish();
        }
    }

    static WorkerConfiguration* findWorker(AvailabilityZoneConfiguration& zone, const std::string& name)
    {
        for (RackConfiguration& rack : zone.racks) {
            for (WorkerConfiguration& worker : rack.workers) {
                if (worker.id.value() == name)
                    return &worker;
            }
        }
        return nullptr;
    }

    ServiceConfiguration readService(const std::string& name, const Json& table)
    {
        DocumentReader reader(table, "services." + name, m_problems);
        checkName("services", name);

        ServiceConfiguration service;
        service.id = ServiceId(name);
        service.slotsPerEndpoint = reader.integer("slots_per_endpoint", 1, maxSlotsPerEndpoint);
        service.connectionsPerEndpoint
            = reader.integer("connections_per_endpoint", 1, maxConnectionsPerEndpoint);
        for (const auto& [operationName, operationTable] : reader.table("operations").items()) {
            DocumentReader operationReader(
                operationTable, reader.pathOf("operations") + "." + operationName, m_problems);
            if (!isValidName(operationName))
                operationReader.addProblem("", nameRule);
            OperationConfiguration operation;
            operation.name = operationName;
            operation.idempotent = operationReader.boolean("idempotent");
            operation.priority = operationReader.integer("priority", 0, maxPriority, 0);
            operation.defaultDeadline
                = operationReader.duration("deadline", minDeadline, maxDeadline, operation.defaultDeadline);
            operationReader.finish();
            service.operations.push_back(std::move(operation));
        }
        if (service.operations.empty())
            reader.addProblem("operations", "needs at least one operation");
        reader.finish();
        return service;
    }

    ClientAccountConfiguration readAccount(const std::string& name, const Json& table)
    {
        DocumentReader reader(table, "accounts." + name, m_problems);
        checkName("accounts", name);

        constexpr double minShare = 0.001;
        ClientAccountConfiguration account;
        account.id = ClientAccountId(name);
        account.share = reader.number("share", minShare, maxShare, 1.0);
        account.acceleratorQuota = reader.integer("accelerator_quota", 0, maxAcceleratorQuota);
        std::size_t index = 0;
        for (const Json& item : reader.array("guarantees")) {
            const std::string path = fmt::format("{}[{}]", reader.pathOf("guarantees"), index++);
            DocumentReader guaranteeReader(item, path, m_problems);
            GuaranteeConfiguration guarantee;
            guarantee.name = guaranteeReader.text("name");
            guarantee.zone = AvailabilityZoneId(guaranteeReader.text("zone"));
            guarantee.accelerators = guaranteeReader.integer("accelerators", 1, 512);
            guarantee.count = guaranteeReader.integer("count", 1, maxGuaranteeCount, 1);
            guaranteeReader.finish();
            account.guarantees.push_back(std::move(guarantee));
        }
        reader.finish();
        return account;
    }

    ConfigurationProblems m_problems;
    DocumentReader m_root;
    Configuration m_configuration;
    WorkerConfiguration m_defaultWorker;
    RoomConfiguration m_defaultRoom;
};

} // namespace

tl::expected<Configuration, ConfigurationProblems> readConfiguration(const nlohmann::json& document)
{
    return DocumentDecoder(document).decode();
}

tl::expected<Configuration, ConfigurationProblems> readConfigurationText(std::string_view text)
{
    const Json document = Json::parse(text, nullptr, false);
    if (document.is_discarded())
        return tl::unexpected(ConfigurationProblems { { {}, {}, "the document is not valid JSON" } });
    return readConfiguration(document);
}

} // namespace anvilmoor
