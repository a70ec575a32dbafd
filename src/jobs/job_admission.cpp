#include "jobs/job_admission.h"

#include <fmt/format.h>

#include <algorithm>

namespace anvilmoor {

namespace {

constexpr std::size_t maxKeyBytes = 200;
constexpr int maxPriority = 9;
// 31 days; a longer declared run time is most likely given in the wrong unit.
constexpr Milliseconds maxRunTime { std::chrono::hours(24 * 31) };
// Each plan of the role holder considers the whole queue and would take too long with more jobs.
constexpr int maxQueuedJobs = 20'000;

bool isPrintable(const std::string& text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool isKey(const std::string& key) { return !key.empty() && key.size() <= maxKeyBytes && isPrintable(key); }

} // namespace

JobAdmission::JobAdmission(const DaemonSettings& settings, const ConfigurationView& configuration,
    const PeerDirectory& peers, const PlacementPolicy& placement)
    : m_settings(settings)
    , m_configuration(configuration)
    , m_peers(peers)
    , m_placement(placement)
{
}

std::variant<JobSpecification, Refusal> JobAdmission::check(
    const JobSpecification& specification, const ZoneSummary* own) const
{
    const Configuration* configuration = m_configuration.current();
    if (!configuration)
        return Refusal { RefusalKind::Unavailable, { "no configuration is in force yet; submit again" } };
    std::vector<std::string> errors = fieldErrors(specification, *configuration);
    if (!errors.empty())
        return Refusal { RefusalKind::Invalid, std::move(errors) };

    JobSpecification chosen = specification;
    if (!specification.zone.isEmpty()) {
        std::string error = zoneError(specification, specification.zone, *configuration);
        if (!error.empty())
            return Refusal { RefusalKind::Invalid, { std::move(error) } };
    } else {
        int bestFree = -1;
        std::string firstError;
        for (const AvailabilityZoneConfiguration& zone : configuration->zones) {
            std::string error = zoneError(specification, zone.id, *configuration);
            if (!error.empty()) {
                firstError = firstError.empty() ? std::move(error) : firstError;
                continue;
            }
            const ZoneSummary* summary = summaryOf(zone.id, own);
            int free = summary ? summary->freeAccelerators : 0;
            const bool isOwn = zone.id == m_settings.zone;
            // Prefers this daemon's zone if the job can start there at once, or if no other zone has more
            // free accelerators.
            if (isOwn && summary && summary->largestFreeShape >= specification.accelerators)
                free = std::numeric_limits<int>::max();
            if (free > bestFree || (isOwn && free == bestFree)) {
                bestFree = free;
                chosen.zone = zone.id;
            }
        }
        if (chosen.zone.isEmpty())
            return Refusal { RefusalKind::Invalid, { "no zone can take the job: " + firstError } };
    }
    const ZoneSummary* summary = summaryOf(chosen.zone, own);
    if (summary && summary->queuedJobs >= maxQueuedJobs)
        return Refusal { RefusalKind::Unavailable,
            { fmt::format("zone {} has {} jobs queued; submit again later", chosen.zone.value(),
                summary->queuedJobs) } };
    return chosen;
}

bool JobAdmission::isWellFormed(const JobSpecification& specification)
{
    return !specification.account.isEmpty() && isKey(specification.key) && specification.accelerators >= 1
        && specification.accelerators <= maxGangAccelerators && specification.priority >= 0
        && specification.priority <= maxPriority && specification.declaredRunTime >= Milliseconds(1)
        && specification.declaredRunTime <= maxRunTime;
}

std::vector<std::string> JobAdmission::fieldErrors(
    const JobSpecification& specification, const Configuration& configuration) const
{
    std::vector<std::string> errors;
    const ClientAccountConfiguration* account = configuration.findAccount(specification.account);
    if (!account)
        errors.push_back(fmt::format("account: client account \"{}\" does not exist in configuration "
                                     "version {}",
            specification.account.value(), configuration.version));
    if (!isKey(specification.key))
        errors.push_back(
            fmt::format("key: give an idempotency key of 1 to {} printable ASCII characters", maxKeyBytes));
    if (specification.accelerators < 1 || specification.accelerators > maxGangAccelerators)
        errors.push_back(fmt::format(
            "accelerators: {} is not in the range 1 to {}", specification.accelerators, maxGangAccelerators));
    else if (account && specification.accelerators > account->acceleratorQuota)
        errors.push_back(fmt::format("accelerators: {} exceeds the quota of {} of client account \"{}\"",
            specification.accelerators, account->acceleratorQuota, specification.account.value()));
    if (specification.priority < 0 || specification.priority > maxPriority)
        errors.push_back(
            fmt::format("priority: {} is not in the range 0 to {}", specification.priority, maxPriority));
    if (specification.declaredRunTime < Milliseconds(1) || specification.declaredRunTime > maxRunTime)
        errors.push_back(fmt::format("run_ms: {} is not in the range 1 to {}",
            specification.declaredRunTime.count(), maxRunTime.count()));
    if (!specification.zone.isEmpty() && !configuration.findZone(specification.zone))
        errors.push_back(
            fmt::format("zone: availability zone \"{}\" does not exist", specification.zone.value()));
    return errors;
}

std::string JobAdmission::zoneError(const JobSpecification& specification, const AvailabilityZoneId& zoneId,
    const Configuration& configuration) const
{
    const AvailabilityZoneConfiguration* zone = configuration.findZone(zoneId);
    const ClientAccountConfiguration* account = configuration.findAccount(specification.account);
    if (!zone || !account)
        return "zone or client account does not exist";
    if (specification.jobClass == JobClass::Guaranteed) {
        const bool isCovered = std::any_of(
            account->guarantees.begin(), account->guarantees.end(), [&](const GuaranteeConfiguration& g) {
                return g.zone == zoneId && g.accelerators >= specification.accelerators;
            });
        if (!isCovered)
            return fmt::format("class: client account \"{}\" has no guarantee of {} accelerators in zone {}",
                specification.account.value(), specification.accelerators, zoneId.value());
    }
    JobSpecification placed = specification;
    placed.zone = zoneId;
    return m_placement.reasonItCanNeverRun(*zone, configuration, placed);
}

const ZoneSummary* JobAdmission::summaryOf(const AvailabilityZoneId& zone, const ZoneSummary* own) const
{
    if (zone == m_settings.zone && own)
        return own;
    for (const PeerStatus& peer : m_peers.peers()) {
        if (peer.isReachable && peer.heldToken && peer.zone == zone)
            return &peer.summary;
    }
    return nullptr;
}

} // namespace anvilmoor
