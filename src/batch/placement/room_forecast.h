#pragma once

#include "batch/jobs/job_book.h"
#include "batch/placement/capacity_view.h"
#include "batch/placement/placement_policy.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// Predicts where a unit that does not fit now will fit first, from the expected ends of the runs.
class RoomForecast {
public:
    struct Fit {
        std::vector<WorkerLifetime> workers; // one per task
        TimePoint at {};
    };

    // A run ends within `stopTimeout` after it was ordered to stop. The stoppable runs are taken to be
    // stopped now.
    RoomForecast(const JobBook&, std::set<RunId> stoppable, Milliseconds stopTimeout, TimePoint now);

    // Returns nullopt if the unit would not fit even after the end of all runs. Room that the view lacks for
    // other reasons than runs stays taken.
    std::optional<Fit> earliestFit(const PlacementRequest&, const CapacityView&);

private:
    struct RunEndTime {
        TimePoint at {};
        Resources resources;
    };
    // Room for one task of the unit, from a time on.
    struct Slot {
        TimePoint from {};
        std::size_t worker = 0; // index into the view's workers

        auto operator<=>(const Slot&) const = default;
    };

    std::optional<Fit> earliestFitAmong(
        const PlacementRequest&, const CapacityView&, const std::vector<std::size_t>& workers);
    void addSlots(const PlacementRequest&, const WorkerCapacity&, std::size_t index, std::vector<Slot>&);
    // In order of time.
    const std::vector<RunEndTime>& runEndsOn(const Worker&);
    std::optional<TimePoint> expectedEnd(const Worker&, const LiveRun&) const;

    const JobBook& m_jobs;
    const std::set<RunId> m_stoppable;
    const Milliseconds m_stopTimeout;
    const TimePoint m_now;
    std::map<const Worker*, std::vector<RunEndTime>> m_runEnds;
};

} // namespace anvilmoor::batch
