#pragma once

#include "anvilmoor/configuration.h"
#include "anvilmoor/effect.h"
#include "core/views.h"
#include "placement/placement_policy.h"

#include <string>
#include <variant>
#include <vector>

namespace anvilmoor {

// Validates submissions against the configuration in force, and chooses an availability zone for jobs that do
// not name one.
class JobAdmission {
public:
    JobAdmission(
        const DaemonSettings&, const ConfigurationView&, const PeerDirectory&, const PlacementPolicy&);

    // Returns the specification with its zone filled in, or the refusal. `own` is the summary of this
    // daemon's zone; null if this daemon does not hold the zone's role.
    std::variant<JobSpecification, Refusal> check(const JobSpecification&, const ZoneSummary* own) const;

    // False if the job would be refused under every configuration. Such a job cannot have been accepted
    // earlier.
    static bool isWellFormed(const JobSpecification&);

private:
    std::vector<std::string> fieldErrors(const JobSpecification&, const Configuration&) const;
    // Empty if the zone can take the job.
    std::string zoneError(const JobSpecification&, const AvailabilityZoneId&, const Configuration&) const;
    // Null if no holder of the zone's role is reachable.
    const ZoneSummary* summaryOf(const AvailabilityZoneId&, const ZoneSummary* own) const;

    const DaemonSettings& m_settings;
    const ConfigurationView& m_configuration;
    const PeerDirectory& m_peers;
    const PlacementPolicy& m_placement;
};

} // namespace anvilmoor
