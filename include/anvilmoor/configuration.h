#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilmoor {

using ConfigurationVersion = std::uint64_t;

// Lesson hours of a room, in local time: [begin, end).
struct LessonHours {
    SecondOfWeek begin = 0;
    SecondOfWeek end = 0;
};

struct RoomConfiguration {
    double limitDb = 200; // sound level limit in lesson hours, dB
    std::vector<LessonHours> lessonHours; // sorted, without overlap
};

// Sound levels of one worker, dB at the room's measuring point.
struct NoiseProfile {
    double idleDb = 0; // worker on, no accelerator active
    double acceleratorDb = 0; // added by each active accelerator
    double throttledAcceleratorDb = 0; // added by each active accelerator while throttled
};

struct WorkerConfiguration {
    WorkerId id;
    RackId rack;
    int cores = 0;
    int memoryGb = 0;
    int accelerators = 0;
    NoiseProfile noise;
};

// Racks of a zone are listed in their physical order: racks next to each other in the list are adjacent.
struct RackConfiguration {
    RackId id;
    std::vector<WorkerConfiguration> workers;
};

struct AvailabilityZoneConfiguration {
    AvailabilityZoneId id;
    std::string region;
    std::string timeZone; // IANA name, for lesson hours
    RoomConfiguration room;
    std::vector<RackConfiguration> racks;
};

struct OperationConfiguration {
    std::string name;
    bool idempotent = false;
    int priority = 0; // higher is more urgent, 0 to 9
    Milliseconds defaultDeadline { 10'000 };
};

struct ServiceConfiguration {
    ServiceId id;
    int slotsPerEndpoint = 8; // concurrent requests that an endpoint executes
    int connectionsPerEndpoint = 64; // concurrent connections that an endpoint accepts
    std::vector<OperationConfiguration> operations;
};

// A shape of adjacent accelerators that the client account can claim at any time.
struct GuaranteeConfiguration {
    std::string name;
    AvailabilityZoneId zone;
    int accelerators = 0; // adjacent: in one rack up to its size, in consecutive racks above
    int count = 1; // maximum number of these shapes held at once
};

struct ClientAccountConfiguration {
    ClientAccountId id;
    double share = 1; // weight among accounts when requests or borrowed accelerators are scarce
    int acceleratorQuota = 0; // maximum held at once in all zones, guaranteed and borrowed together
    std::vector<GuaranteeConfiguration> guarantees;
};

// The operators' declaration, merged from the base file and overlays and validated.
struct Configuration {
    ConfigurationVersion version = 0;
    std::string deployment;
    std::vector<AvailabilityZoneConfiguration> zones;
    std::vector<ServiceConfiguration> services;
    std::vector<ClientAccountConfiguration> accounts;

    // Null if absent.
    const AvailabilityZoneConfiguration* findZone(const AvailabilityZoneId&) const;
    const ServiceConfiguration* findService(const ServiceId&) const;
    const ClientAccountConfiguration* findAccount(const ClientAccountId&) const;
};

// Null if the service has no such operation.
const OperationConfiguration* findOperation(const ServiceConfiguration&, std::string_view operation);

// The endpoint of a service on a worker: "<service>@<worker>".
EndpointId endpointId(const ServiceId&, const WorkerId&);

} // namespace anvilmoor
