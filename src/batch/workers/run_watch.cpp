#include "batch/workers/run_supervisor.h"

#include <algorithm>
#include <string>

// What a leader concludes from looks at a worker, beyond the ends that the worker lists.

namespace anvilmoor::batch {

namespace {

// An entry of a draining worker that disappears this soon after its last change was withdrawn by the worker;
// one that lapses has been silent for three heartbeats of 1.5 s. Holds only while the registry is read
// without gaps.
constexpr Milliseconds withdrawnWithin { 2'500 };
constexpr Milliseconds longestReadGap { 1'500 };

} // namespace

// A run is over without an end if it was confirmed, or its stop was, before the worker was asked, and the
// worker does not list it.
void RunSupervisor::findVanished(Worker& worker, std::span<const ActiveRun> active, Step& step)
{
    std::vector<RunId> vanished;
    for (const auto& entry : worker.runs) {
        const LiveRun& run = entry.second;
        const auto isListed = [&run](const ActiveRun& listed) { return listed.run == run.id; };
        if (std::any_of(active.begin(), active.end(), isListed))
            continue;
        const auto& confirmedAt
            = run.phase == RunPhase::Stopping && run.stopAcceptedAt ? run.stopAcceptedAt : run.acceptedAt;
        if (confirmedAt && *confirmedAt < worker.holdSentAt && run.phase != RunPhase::Starting)
            vanished.push_back(run.id);
    }
    for (const RunId& run : vanished)
        finish(worker, run, RunEnd::Stopped, {}, step);
}

void RunSupervisor::workerGone(const WorkerId& id, Step& step)
{
    const bool isReadWithoutGap = m_followedAt && step.now < *m_followedAt + longestReadGap;
    for (const WorkerLifetime& lifetime : m_workers.unlist(id)) {
        Worker* worker = m_workers.find(lifetime);
        const bool isWithdrawn
            = worker->record.isDraining && isReadWithoutGap && step.now < worker->listedAt + withdrawnWithin;
        if (isWithdrawn)
            lifetimeOver(*worker, "it has left", step);
    }
}

} // namespace anvilmoor::batch
