#pragma once

#include "support/test_cluster.h"

namespace anvilmoor::test {

// One entry daemon of the cluster. Its settings persist across restarts.
struct TestCluster::Host {
    DaemonSettings settings;
    std::unique_ptr<Reducer> reducer; // null while the process is dead
    bool isPaused = false;
    bool isReady = false;
    bool hasStopped = false;
    std::deque<EventPayload> inbox; // events that arrived while paused
};

// One rack, with the sequence number that syncs of the rack return.
struct TestCluster::Rack {
    std::string zone;
    std::vector<WorkerId> workers;
    std::uint64_t sequence = 1;
};

} // namespace anvilmoor::test
