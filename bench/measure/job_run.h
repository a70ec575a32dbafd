#pragma once

#include "anvilmoor/configuration.h"
#include "anvilmoor/job.h"
#include "measure/request_run.h"

#include <cstdint>
#include <vector>

namespace anvilmoor::measure {

// Jobs of one zone during a shift. Loads are fractions of the zone's accelerator-seconds.
struct JobScenario {
    std::string name;
    Milliseconds length { 0 }; // time during which jobs arrive and the zone is measured
    double smallLoad = 0; // jobs of 1 to 8 accelerators, 5 to 40 min
    double gangLoad = 0; // adjacent gangs of half a rack or a whole rack, 10 to 30 min
    int claimsPerGuarantee = 0; // during the shift, each running for 10 to 20 min
    double runTimeError = 10; // declared run times are too long or too short by up to this factor
    std::uint64_t seed = 1;
};

struct JobResult {
    std::vector<double> completionMs; // of finished jobs, from submission
    std::vector<double> gangWaitMs; // until the first start or, if there was none, the end of the run
    std::vector<double> claimWaitMs; // of claims inside a guarantee, until they run
    std::size_t unstartedGangs = 0;
    std::size_t unfinishedJobs = 0;
    std::size_t evictions = 0;
    std::size_t moves = 0; // of running jobs, so that whole shapes stay free
    double freeSeconds = 0; // accelerator-seconds
    double unusableFreeSeconds = 0; // of freeSeconds, not usable for the largest guaranteed shape
    double minUnusableFreeSeconds = 0; // the same, with the free ones in the best racks
    double heldSeconds = 0;
    double availableSeconds = 0;
};

// Simulates one zone of the configuration under PlacementPolicy::plan() in virtual time. A plan is made after
// every arrival and end. An evicted job leaves after the checkpoint grace, keeps its progress and is queued
// again at once. A start takes two rounds of commands.
JobResult runJobs(const Configuration&, std::size_t zone, const JobScenario&, PolicySet);

} // namespace anvilmoor::measure
