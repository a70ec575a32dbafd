#pragma once

#include "anvilmoor/configuration.h"
#include "anvilmoor/job.h"
#include "anvilmoor/request.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace anvilmoor {

// Capacity and load of a zone, as last known to its role holder.
struct ZoneSummary {
    int freeAccelerators = 0;
    int largestFreeShape = 0; // largest adjacent shape available to a borrowed job now
    int queuedJobs = 0;
    int runningTasks = 0;
};

// Sent to all peers once per heartbeat interval.
struct PeerHeartbeat {
    HostId host;
    AvailabilityZoneId zone;
    std::uint64_t incarnation = 0; // drawn at random at each start
    bool isReady = false;
    bool isStopping = false;
    ConfigurationVersion configurationVersion = 0; // in force at the sender
    std::uint64_t drainVersion = 0;
    FencingToken heldToken = 0; // 0: the sender does not hold the role of its zone
    ZoneSummary summary; // valid only if heldToken is not 0
    // The highest version whose document the sender holds, in force or not. 0 if sent by an earlier release.
    ConfigurationVersion knownConfigurationVersion = 0;
};

// The highest version that the sender of the heartbeat holds. Also valid if it runs an earlier release.
inline ConfigurationVersion heldConfigurationVersion(const PeerHeartbeat& heartbeat)
{
    return std::max(heartbeat.knownConfigurationVersion, heartbeat.configurationVersion);
}

// A complete committed configuration.
struct ConfigurationPush {
    ConfigurationVersion version = 0;
    std::string document; // canonical JSON
};

// All endpoints that operators have requested to drain.
struct DrainPush {
    std::uint64_t version = 0;
    std::vector<EndpointId> endpoints;
};

// Notifies the holder of a zone's role that a job row or a cancellation was written.
struct JobNotice {
    AvailabilityZoneId zone;
    JobId job;
};

// Asks the daemon that claimed a request for its outcome.
struct RequestLookup {
    std::uint64_t lookup = 0;
    RequestIdentity identity;
};

struct RequestLookupAnswer {
    std::uint64_t lookup = 0;
    bool isKnown = false; // false: this daemon does not know the request
    bool isFinished = false; // false: still in flight at this daemon
    RequestAnswer answer;
};

using PeerMessage = std::variant<PeerHeartbeat, ConfigurationPush, DrainPush, JobNotice, RequestLookup,
    RequestLookupAnswer>;

} // namespace anvilmoor
