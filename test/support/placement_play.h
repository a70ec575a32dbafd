#pragma once

#include "batch/jobs/job_book.h"
#include "batch/placement/placement_round.h"
#include "batch/workers/worker_pool.h"
#include "support/job_sampler.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

// Plays random traffic against placement rounds in virtual time, without daemons: placed runs start at once,
// stopped ones end after the stop timeout, and all workers stay alive.

namespace anvilmoor::testing {

struct TrafficBurst {
    std::string queue; // empty: all queues
    double factor = 1; // by which the number of jobs grows
    Milliseconds begin { 0 };
    Milliseconds end { 0 };
};

struct PlaySettings {
    int racks = 1;
    int workersPerRack = 8;
    std::vector<TrafficClass> classes;
    std::vector<TrafficBurst> bursts;
    Milliseconds trafficTime { 0 };
    Milliseconds timeAfterTraffic { 0 };
};

// A job of the play, and what became of it.
struct PlayedJob {
    JobId id;
    std::string queue;
    batch::StepSpecification step;
    Milliseconds work { 0 }; // of each task on a worker of normal speed
    TimePoint acceptedAt {};
    std::optional<TimePoint> startedAt; // of its first task
    std::optional<TimePoint> completedAt;
    int stops = 0;

    double size() const; // in core-seconds
    // From acceptance, as seen by the caller: with the work that the job really takes.
    Milliseconds objective() const;
};

class PlacementPlay {
public:
    // `settings` must outlive the play.
    PlacementPlay(const PlaySettings& settings, const batch::PlacementPolicy&, const batch::QueueOrder&,
        std::uint64_t seed);

    void run();
    const std::vector<PlayedJob>& jobs() const { return m_jobs; }
    // Mean over the time with traffic.
    double acceleratorsInUse() const;
    // Work that was stopped, in core-seconds.
    double lostWork() const { return m_lostWork; }

private:
    // Tasks that were placed together and have not ended.
    struct RunningUnit {
        batch::PlacementUnit unit;
        std::vector<batch::WorkerLifetime> workers;
        TimePoint startedAt {};
        TimePoint endsAt {};
        Milliseconds duration { 0 };
        bool isStopping = false;
    };

    void addWorkers();
    void submitJobs();
    void submit(const TrafficClass&);
    double loadOf(const TrafficClass&) const;
    void endUnits();
    void end(const RunningUnit&);
    void place();
    void start(const batch::PlacementDecision&);
    void stop(const batch::Eviction&);
    void reportProgress();
    void noteUse();
    Milliseconds durationOn(const PlayedJob&, const std::vector<batch::WorkerLifetime>&);
    PlayedJob& played(const JobId& job) { return m_jobs[m_indexes.at(job)]; }

    const PlaySettings& m_settings;
    batch::PlacementRound m_round;
    JobSampler m_sampler;
    batch::WorkerPool m_pool;
    batch::JobBook m_book;
    batch::Configuration m_configuration;
    std::map<batch::WorkerLifetime, double> m_slowness; // factor of the duration, by worker
    std::vector<PlayedJob> m_jobs;
    std::map<JobId, std::size_t> m_indexes;
    std::vector<RunningUnit> m_running;
    TimePoint m_begin { Seconds(100) };
    TimePoint m_now { m_begin };
    double m_useSum = 0;
    int m_useSamples = 0;
    double m_lostWork = 0;
};

} // namespace anvilmoor::testing
