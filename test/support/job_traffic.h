#pragma once

#include "support/batch_cluster.h"
#include "support/job_sampler.h"

#include <cstdint>
#include <string>
#include <vector>

// Seeded traffic of three classes of jobs: urgent gangs, gangs and jobs of many small tasks. Many gangs ask
// for one rack, and estimates are far off.

namespace anvilmoor::testing {

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
    // Null if no daemon is running.
    std::optional<std::size_t> anyRunningDaemon();

    BatchCluster& m_cluster;
    JobSampler m_sampler;
    double m_load;
    std::vector<Submission> m_jobs;
};

} // namespace anvilmoor::testing
