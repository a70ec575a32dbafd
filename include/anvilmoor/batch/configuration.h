#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

// The configuration that the operators keep in the platform's store.

namespace anvilmoor::batch {

struct QueueConfiguration {
    std::string name;
    std::string host; // host of the caller's request, without port
    std::string pathPrefix;
    ServiceId service;
    int priority = 0;
    int maxAttempts = 1;
    double stretch = 1;
    Milliseconds latencyTarget { 0 };
    bool isPublic = false; // callers need no API key
};

struct ClientAccountConfiguration {
    ClientAccountId name;
    std::vector<std::string> apiKeys;
    std::int64_t guaranteedAccelerators = 0; // always available to its jobs of priority 0
};

struct Configuration {
    std::uint64_t version = 0;
    std::vector<QueueConfiguration> queues;
    std::vector<ClientAccountConfiguration> accounts;
    std::size_t maxBodyBytes = 0;
};

} // namespace anvilmoor::batch
