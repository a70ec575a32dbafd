#pragma once

#include "anvilmoor/batch/configuration.h"
#include "anvilmoor/batch/job.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

// Draws jobs of given kinds from a seeded sequence.

namespace anvilmoor::testing {

// Sizes are drawn from a log-normal distribution that is cut off at `max`.
struct SizeDistribution {
    double mean = 1;
    double relativeDeviation = 0;
    double max = 1;
};

// A kind of job. Jobs of a kind are submitted to one queue.
struct TrafficClass {
    std::string queue;
    double jobsPerSecond = 0; // at load 1
    SizeDistribution tasks;
    SizeDistribution workMs; // of each task
    batch::Resources perTask;
    std::vector<int> accelerators; // of each task; one is drawn
    bool isGang = false;
    double oneRackShare = 0; // share of the jobs that ask for one rack
    double dataRackShare = 0; // share of the jobs that have their data in one rack
    double estimateError = 0; // largest relative error of the estimated duration
};

struct SampledJob {
    batch::StepSpecification step;
    Milliseconds work { 0 }; // of each task
};

class JobSampler {
public:
    JobSampler(std::uint64_t seed, int racks);

    SampledJob draw(const TrafficClass&);
    // Some accounts get far more jobs than others.
    std::size_t drawAccount(std::size_t accounts);
    // A number from 0 to 1.
    double randomShare() { return std::uniform_real_distribution<>(0, 1)(m_random); }
    std::mt19937_64& random() { return m_random; }

private:
    batch::StepSpecification drawStep(const TrafficClass&);
    double draw(const SizeDistribution&);

    std::mt19937_64 m_random;
    int m_racks;
};

// The queues "urgent", "gang" and "small", with priority 0, 1 and 2.
std::vector<batch::QueueConfiguration> trafficQueues();

} // namespace anvilmoor::testing
