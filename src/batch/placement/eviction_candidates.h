#pragma once

#include "batch/jobs/job_book.h"
#include "batch/placement/capacity_view.h"
#include "batch/workers/worker_pool.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// Runs that can only be stopped together: a single run or all runs of a gang.
struct EvictionCandidate {
    std::vector<RunId> runs; // empty if all of them end within the stop timeout without another stop order
    std::vector<std::pair<WorkerLifetime, Resources>> room; // resources that each run would free
    double cost = 0; // work lost by the stop, in core-seconds
};

// All candidates of a service, indexed by the workers on which they would free resources. Built once for
// several searches.
class EvictionCandidates {
public:
    // Resources that a candidate would free on a worker that accepts new runs.
    struct Freed {
        std::size_t candidate = 0; // index into all()
        std::size_t worker = 0; // index into the view's workers
        Resources resources;
    };

    EvictionCandidates(const CapacityView&, std::vector<EvictionCandidate>);

    const std::vector<EvictionCandidate>& all() const { return m_candidates; }
    std::span<const Freed> onWorker(std::size_t worker) const { return m_byWorker[worker]; }
    std::span<const Freed> byCandidate(std::size_t candidate) const { return m_byCandidate[candidate]; }
    // What all candidates together would free on the worker.
    const Resources& freeableOn(std::size_t worker) const { return m_freeable[worker]; }
    // Marks candidates whose runs are being stopped: waiting for them costs nothing more.
    void noteStopping(std::span<const std::size_t> candidates);

private:
    std::vector<EvictionCandidate> m_candidates;
    std::vector<std::vector<Freed>> m_byCandidate;
    std::vector<std::vector<Freed>> m_byWorker;
    std::vector<Resources> m_freeable; // by worker
};

// Number of earlier evictions per job.
using EvictionCounts = std::map<JobId, int>;

// Collects the runs that work of a priority may evict, and what stopping them would cost.
class EvictionCandidateFinder {
public:
    // A run ends within `stopTimeout` after it was ordered to stop.
    EvictionCandidateFinder(
        const WorkerPool&, const JobBook&, const EvictionCounts&, Milliseconds stopTimeout, TimePoint now);

    // Less urgent runs than work of the priority, and runs that end within the stop timeout anyway.
    std::vector<EvictionCandidate> find(const ServiceId&, int priority) const;
    // The given runs, and runs that end by themselves within the stop timeout.
    std::vector<EvictionCandidate> findAmong(const ServiceId&, const std::set<RunId>&) const;

private:
    using Predicate = std::function<bool(const Worker&, const LiveRun&)>;
    std::vector<EvictionCandidate> findIf(const ServiceId&, const Predicate&) const;
    EvictionCandidate candidateOf(const Worker&, const LiveRun&, const StepSpecification&) const;
    bool endsWithinStopTimeout(const Worker&, const LiveRun&) const;
    double cost(const LiveRun&, const StepSpecification&) const;

    const WorkerPool& m_workers;
    const JobBook& m_jobs;
    const EvictionCounts& m_evictionCounts;
    Milliseconds m_stopTimeout;
    TimePoint m_now;
};

} // namespace anvilmoor::batch
