#pragma once

#include "anvilmoor/effect.h"
#include "anvilmoor/event.h"
#include "model/worker_model.h"
#include "workers/layout.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilmoor::standin {

enum class WorkerCondition {
    Alive,
    Dead, // lost its tasks and its token
    Unreachable, // does not answer; its tasks continue until their leases end
};

// The workers of one rack, and the sequence numbers of their changes, by which a sync requests later changes.
// Reports may lag behind the actual state of the workers.
class Rack {
public:
    // Changes are numbered from above firstSequence, so that numbers of an earlier process are recognized.
    Rack(const RackLayout&, std::uint64_t firstSequence);

    const RackId& id() const { return m_id; }
    std::size_t size() const { return m_workers.size(); }
    WorkerModel& worker(std::size_t index) { return m_workers[index].model; }
    const WorkerModel& worker(std::size_t index) const { return m_workers[index].model; }

    WorkerCommandResult command(std::size_t index, const WorkerCommand&, TimePoint now);
    WorkerCondition condition(std::size_t index) const { return m_workers[index].condition; }
    void setCondition(std::size_t index, WorkerCondition, TimePoint now);
    // The worker loses its tasks and token, and is alive afterwards.
    void restart(std::size_t index, TimePoint now);
    // Advances all workers, and makes reports visible when their lag has passed.
    void advance(TimePoint now);
    void setReportLag(Milliseconds lag) { m_reportLag = lag; }

    // Returns false and does nothing if a higher token was seen.
    bool beginSync(const SyncRack&, TimePoint now);
    FencingToken highestToken() const { return m_highestToken; }
    // True if the answer to a sync would contain a report of a worker.
    bool hasUpdateSince(std::uint64_t since) const;
    RackSynced report(std::uint64_t since) const;

    bool isSilent = false;

private:
    struct Worker {
        explicit Worker(WorkerModel worker)
            : model(std::move(worker))
            , visible(model.report())
        {
        }

        WorkerModel model;
        WorkerCondition condition = WorkerCondition::Alive;
        WorkerReport visible;
        std::uint64_t changeSequence = 0;
        std::deque<std::pair<TimePoint, WorkerReport>> pending; // actual reports, visible after the lag
    };

    bool isCompleteFor(std::uint64_t since) const;
    void recordChange(std::size_t index, TimePoint now);
    void publishDueReports(Worker&, TimePoint now);

    RackId m_id;
    std::uint64_t m_firstSequence;
    std::uint64_t m_sequence;
    FencingToken m_highestToken = 0;
    Milliseconds m_reportLag { 0 };
    std::vector<Worker> m_workers;
};

} // namespace anvilmoor::standin
