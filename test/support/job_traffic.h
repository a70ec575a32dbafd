#pragma once

#include "support/batch_cluster.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

// Seeded traffic of three classes of jobs: urgent gangs, gangs and jobs of many small tasks. Many gangs ask
// for one rack, and estimates are far off.

namespace anvilmoor::testing {

// Sizes are drawn from a log-normal distribution that is cut off at `max`.
struct SizeDistribution {
    double mean = 1;
    double relativeDeviation = 0;
    double max = 1;
};

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

// Submits jobs to random daemons. A caller whose request was not accepted, or who does not know its outcome,
// repeats it.
class JobTraffic {
public:
    // Configures queues and accounts, and adds `racks` racks of workers of three speeds.
    JobTraffic(BatchCluster&, std::uint64_t seed, double load, int racks, int workersPerRack);

    // Submits the jobs that arrive within one slice of time.
    void submitJobs(Milliseconds slice);
    void repeatRequests();
    // Those that callers know to be accepted.
    std::vector<JobId> acceptedJobs() const;
    std::size_t jobCount() const { return m_jobs.size(); }
    const std::string& queueOf(const JobId&) const;

private:
    struct Submission {
        JobId job;
        const TrafficClass* kind;
        std::string key;
    };

    void addWorkers(int racks, int workersPerRack);
    void submit(const TrafficClass&);
    batch::StepSpecification drawStep(const TrafficClass&);
    double draw(const SizeDistribution&);
    double randomShare() { return std::uniform_real_distribution<>(0, 1)(m_random); }
    // Null if no daemon is running.
    std::optional<std::size_t> anyRunningDaemon();

    BatchCluster& m_cluster;
    std::mt19937_64 m_random;
    double m_load;
    int m_racks;
    std::vector<Submission> m_jobs;
};

} // namespace anvilmoor::testing
