#pragma once

#include "anvilmoor/configuration.h"
#include "anvilmoor/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace anvilmoor::measure {

enum class PolicySet { Baseline, Current };

// Requests that arrive between `from` and `until` as a Poisson process.
struct ArrivalStream {
    std::size_t account = 0;
    std::size_t operation = 0;
    int callers = 1; // each request is from a random one of them
    std::string callerPrefix;
    double perSecond = 0;
    Milliseconds from { 0 };
    Milliseconds until { 0 };
    int group = 0; // figures are collected per group
};

struct RequestScenario {
    std::string name;
    Milliseconds length { 0 };
    std::vector<ArrivalStream> streams;
    int failingWorkersPerZone = 0; // they fail every call immediately
    Milliseconds tableDownFrom { 0 };
    Milliseconds tableDownUntil { 0 };
    Milliseconds zoneCutFrom { 0 }; // the last zone is cut off from other zones' endpoints and the table
    Milliseconds zoneCutUntil { 0 };
    std::uint64_t seed = 1;
};

// Totals over the requests of one stream.
struct StreamOutcome {
    std::size_t offered = 0;
    std::size_t good = 0; // answered by an endpoint, without error, before the deadline
    double offeredSlotMs = 0; // requested service time
    double goodSlotMs = 0; // of good requests that ended before the stream did
    std::vector<double> completionMs; // of good requests, from arrival to answer
};

struct RequestResult {
    std::vector<StreamOutcome> streams; // in the order of the scenario
    double busySlotMs = 0;
    double availableSlotMs = 0;
};

// Mean service time of an operation in ms. Urgent operations have the shorter time.
double meanServiceMs(const OperationConfiguration&);

// Simulates six request brokers, two in each of three zones, over all endpoints in virtual time. Requests are
// distributed evenly over the brokers. An endpoint refuses calls beyond its slots; a call to another zone
// takes one link delay more in each direction, in whole ms.
RequestResult runRequests(const Configuration&, const RequestScenario&, PolicySet);

} // namespace anvilmoor::measure
