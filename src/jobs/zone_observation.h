#pragma once

#include "anvilmoor/configuration.h"
#include "anvilmoor/event.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace anvilmoor {

using TaskKey = std::pair<JobId, AttemptNumber>;

// The state of one worker as last reported by its rack.
struct WorkerObservation {
    std::size_t rack = 0;
    bool isReported = false; // at least once under the current token
    bool isLive = false;
    std::map<TaskKey, TaskReport> tasks;
    // Tasks that were ever reported finished. Kept after the worker stops reporting them, so that a holder
    // that could not write to the table for a long time still knows how they ended.
    std::set<TaskKey> finished;
};

// The state of one rack under the current token.
struct RackObservation {
    RackId id;
    std::vector<WorkerId> workers;
    bool isReached = false; // has sent a complete report under the current token
    TimePoint asOf {}; // send time of the last answered sync; the reports are valid at this time
    TimePoint answeredAt {}; // last answer, or first use of the current token if there was none since
};

// The reports of the zone's racks. After a change of token only the finished tasks are kept, since only they
// are certain.
class ZoneObservation {
public:
    // Keeps the state of workers that are in the new configuration as well.
    void configure(const AvailabilityZoneConfiguration&);
    // Called for a new token. Discards the current reports: reports under another token do not show the
    // effect of commands under the new one.
    void reset(TimePoint now);

    // Precondition: the report answers a sync of that rack sent at `asOf`. Returns the tasks whose
    // reports changed.
    std::set<TaskKey> applyReport(std::size_t rack, const RackSynced&, TimePoint asOf, TimePoint now);
    // Discards the record that the worker finished the task.
    void forgetFinished(const WorkerId&, const TaskKey&);

    // Discards finished tasks for which `isNeeded` is false.
    void pruneFinished(const std::function<bool(const TaskKey&)>& isNeeded);

    const std::vector<RackObservation>& racks() const { return m_racks; }
    std::optional<std::size_t> findRack(const RackId&) const;
    // Null if not in the configuration.
    const WorkerObservation* find(const WorkerId&) const;
    const RackObservation& rackOf(const WorkerObservation& worker) const { return m_racks[worker.rack]; }
    const std::map<WorkerId, WorkerObservation>& workers() const { return m_workers; }

private:
    std::vector<RackObservation> m_racks;
    std::map<RackId, std::size_t> m_rackIndex;
    std::map<WorkerId, WorkerObservation> m_workers;
};

// True if the worker still runs the task or holds accelerators for it.
bool isPresent(const TaskReport&);

} // namespace anvilmoor
