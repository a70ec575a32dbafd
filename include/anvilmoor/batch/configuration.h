#pragma once

#include "anvilmoor/identifiers.h"
#include "anvilmoor/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

// The configuration that the operators hold in the store.

namespace anvilmoor::batch {

struct QueueConfiguration {
    std::string name;
    std::string host; // of the caller's request, without port
    std::string pathPrefix;
    ServiceId service;
    int priority = 0;
    int maxAttempts = 1;
    double stretch = 1;
    Milliseconds latencyTarget { 0 };
    bool isPublic = false; // callers need no key
};

struct ClientAccountConfiguration {
    ClientAccountId name;
    std::vector<std::string> apiKeys;
    std::int64_t guaranteedAccelerators = 0; // for jobs of priority 0, at all times
};

struct Configuration {
    std::uint64_t version = 0;
    std::vector<QueueConfiguration> queues;
    std::vector<ClientAccountConfiguration> accounts;
    std::size_t maxBodyBytes = 0;
};

} // namespace anvilmoor::batch
