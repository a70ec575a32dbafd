#pragma once

#include "anvilmoor/batch/configuration.h"
#include "batch/jobs/job_book.h"
#include "batch/placement/eviction.h"
#include "batch/placement/placement_policy.h"
#include "batch/placement/queue_order.h"
#include "batch/workers/worker_pool.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace anvilmoor::batch {

struct PlacementDecision {
    PlacementUnit unit;
    std::vector<WorkerLifetime> workers; // one for each task
};

// Work that is stopped to make room.
struct Eviction {
    std::vector<RunId> victims;
    JobId beneficiary;
    double cost = 0; // what the stops lose, in weighted core-seconds
};

struct PlacementOutcome {
    std::vector<PlacementDecision> placed;
    std::vector<Eviction> evictions;
};

// One look at everything that waits: offers room in the order of the queue, and makes room for urgent work by
// evicting other work. Room that is made is kept for the unit for which it was made until it arrives there.
class PlacementRound {
public:
    // A run that is told to stop is gone after the stop timeout at the latest.
    PlacementRound(const PlacementPolicy&, const QueueOrder&, Milliseconds stopTimeout);

    PlacementOutcome run(JobBook&, const WorkerPool&, const Configuration&, TimePoint now, WallTime wallTime);
    // Forgets all reserved room.
    void clear()
    {
        m_reservations.clear();
        m_stops.clear();
    }

private:
    struct UnitKey {
        JobId job;
        int occurrence = 0;
        int step = 0;
        int firstTask = 0;

        auto operator<=>(const UnitKey&) const = default;
    };
    struct Reservation {
        std::vector<WorkerLifetime> workers;
        Resources perTask;
        ServiceId service;
        TimePoint until {};
    };
    // One unit of a waiting step.
    struct WaitingUnit {
        PlacementUnit unit;
        const JobProgress* job = nullptr;
        const std::set<WorkerLifetime>* failedOn = nullptr;
        bool isGuaranteed = false;
    };
    // Of a unit that found no room; units that need as much are passed over without another search.
    struct Shape {
        ServiceId service;
        int tasks = 0;
        Resources perTask;
        bool needsOneRack = false;
        bool mayUseSlowPlaces = false;
        std::string label;
        std::string dataRack;

        auto key() const
        {
            return std::tie(service, tasks, perTask.cpuMillicores, perTask.memoryMb, perTask.accelerators,
                needsOneRack, mayUseSlowPlaces, label, dataRack);
        }
        bool operator<(const Shape& other) const { return key() < other.key(); }
    };
    using Views = std::map<ServiceId, CapacityView>;

    static UnitKey keyOf(const PlacementUnit&);
    static UnitKey stepKeyOf(const PlacementUnit&);
    std::vector<WaitingStep> collect(JobBook&, const Configuration&, TimePoint now, WallTime);
    static Shape shapeOf(const WaitingUnit&, const PlacementRequest&);
    void applyReservations(Views&, TimePoint now);
    static void reserve(CapacityView&, const Reservation&, bool isTaken);
    PlacementRequest requestFor(const WaitingUnit&, const CapacityView&, WallTime);
    // Returns whether the unit was placed.
    bool placeUnit(const WaitingUnit&, Views&, PlacementOutcome&, TimePoint now, WallTime);
    void placeStep(const WaitingStep&, Views&, PlacementOutcome&, TimePoint now, WallTime);
    bool needsSlowPlaces(const PlacementRequest&, const Shape&, const CapacityView&);
    // False if no eviction makes room.
    bool evictFor(
        const WaitingUnit&, const PlacementRequest&, CapacityView&, PlacementOutcome&, TimePoint now);
    std::optional<std::vector<WorkerLifetime>> placeWithHeadroom(
        const WaitingUnit&, const PlacementRequest&, CapacityView&, TimePoint now) const;
    void holdFor(const WaitingUnit&, const PlacementRequest&, CapacityView&);
    std::vector<EvictionCandidate> candidatesFor(const WaitingUnit&, TimePoint now) const;
    bool isEnding(const Worker&, const LiveRun&, TimePoint now) const;
    double priceOfStop(const LiveRun&, const StepSpecification&, TimePoint now) const;

    const PlacementPolicy& m_placement;
    const QueueOrder& m_order;
    const Milliseconds m_stopTimeout;
    std::map<UnitKey, Reservation> m_reservations;
    std::map<JobId, int> m_stops; // evictions that a job has suffered
    std::optional<TimePoint> m_urgentSeenAt; // a job of priority 0 that had not ended
    // Of the round at hand.
    const WorkerPool* m_workers = nullptr;
    JobBook* m_jobs = nullptr;
    std::set<Shape> m_failed;
    std::map<Shape, bool> m_needsSlowPlaces;
    std::set<RunId> m_victims;
    std::set<WorkerLifetime> m_held; // for waiting gangs, against less urgent work
    int m_holds = 0;
    // Tasks of steps with a limit per worker that this round has placed.
    std::map<UnitKey, std::map<WorkerLifetime, int>> m_siblings;
};

} // namespace anvilmoor::batch
