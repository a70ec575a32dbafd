#pragma once

#include "anvilmoor/configuration.h"
#include "anvilmoor/effect.h"
#include "anvilmoor/job.h"
#include "anvilmoor/table.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace anvilmoor {

// Read-only interfaces through which decision modules access each other's state. The module that owns the
// state implements the interface; other modules receive it in their constructors.

class ConfigurationView {
public:
    virtual ~ConfigurationView() = default;

    // The configuration in force. Null until the first one is adopted.
    virtual const Configuration* current() const = 0;
};

// One endpoint of a service, with its state as determined by the membership module.
struct EndpointRecord {
    EndpointId id;
    ServiceId service;
    WorkerId worker;
    AvailabilityZoneId zone;
    EndpointState state = EndpointState::Live;
};

class EndpointDirectory {
public:
    virtual ~EndpointDirectory() = default;

    // All endpoints of a service, in any state, in configuration order. Valid until the next event. Empty
    // for an unknown service.
    virtual std::span<const EndpointRecord> endpoints(const ServiceId&) const = 0;

    // EndpointState::Lost for an unknown worker.
    virtual EndpointState workerState(const WorkerId&) const = 0;

    // Changes whenever endpoints are added, removed or reordered, not when their states change.
    virtual std::uint64_t generation() const { return 0; }
};

class PeerDirectory {
public:
    virtual ~PeerDirectory() = default;

    // All peers in the settings, excluding this daemon.
    virtual std::span<const PeerStatus> peers() const = 0;
};

// The zone role as held by this daemon.
struct HeldRole {
    FencingToken token = 0;
    RowVersion ownerVersion = 0; // version condition of every table write by the holder
};

class RoleView {
public:
    virtual ~RoleView() = default;

    // Empty if this daemon does not hold its zone's role or if its last renewal is too old to rely on.
    virtual std::optional<HeldRole> held(TimePoint now) const = 0;

    // The table key of the zone's owner row.
    virtual const std::string& ownerKey() const = 0;

    // True if neither this daemon nor a reachable peer holds the zone's role and the platform is
    // unreachable. The daemon then only renews task leases.
    virtual bool isCaretaker(TimePoint now) const = 0;
};

// Settings of a daemon process, from its flags and environment. PeerSetting describes one of its peers.
struct PeerSetting {
    HostId host;
    AvailabilityZoneId zone;
};

struct DaemonSettings {
    HostId host;
    AvailabilityZoneId zone;
    std::vector<PeerSetting> peers; // excluding this daemon
    std::uint64_t incarnation = 0; // drawn at random at each start
};

} // namespace anvilmoor
