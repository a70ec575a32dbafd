#pragma once

#include "anvilmoor/batch/configuration.h"
#include "batch/jobs/job_book.h"
#include "batch/jobs/progress_budget.h"
#include "batch/placement/backfill_runs.h"
#include "batch/placement/eviction.h"
#include "batch/placement/less_urgent_share.h"
#include "batch/placement/placement_policy.h"
#include "batch/placement/queue_order.h"
#include "batch/placement/room_forecast.h"
#include "batch/placement/wait_cause.h"
#include "batch/placement/worker_holds.h"
#include "batch/workers/worker_pool.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

struct PlacementDecision {
    PlacementUnit unit;
    std::vector<WorkerLifetime> workers; // one per task
};

// Runs that are stopped to make room for another job.
struct Eviction {
    std::vector<RunId> victims;
    JobId beneficiary;
    double cost = 0; // work lost by the stops, in weighted core-seconds
};

struct PlacementOutcome {
    std::vector<PlacementDecision> placed;
    std::vector<Eviction> evictions;
};

// Considers all waiting units in queue order, places those that fit, and evicts other work to make room for
// urgent units. Room made by an eviction stays reserved for its unit until the unit is placed or the
// reservation expires. Reservations persist from one round to the next.
//
// A step that has to wait gets a hold on the workers where it will fit first (see WorkerHolds), so that work
// behind it does not pass it for good. While no more room may be held, less urgent work may use a bounded
// share of the service only.
//
// Locality, headroom, holds and earlier failures of the job may keep a unit from free room. While the service
// is mostly free, that ends after a bounded time. What then runs in room that is held for a more urgent step
// is stopped when that lets the step start (see BackfillRuns).
class PlacementRound {
public:
    // A run ends within `stopTimeout` after it was ordered to stop.
    PlacementRound(
        const PlacementPolicy&, const QueueOrder&, Milliseconds stopTimeout, const StoreLimits& = {});

    PlacementOutcome run(JobBook&, const WorkerPool&, const Configuration&, TimePoint now, WallTime wallTime);
    // Why no unit of the job was placed in the last round. Some unit of the job must be waiting. Takes as
    // long as several placements.
    WaitCause waitCauseOf(
        const JobBook::Entry&, JobBook&, const WorkerPool&, TimePoint now, WallTime wallTime);
    // Since when workers have been held for the step; empty if none are.
    std::optional<TimePoint> heldSince(const JobId&, const StepPosition&) const;
    // Services where a step got no hold in the last round for lack of the share that may be held.
    const std::set<ServiceId>& servicesWithoutMoreHolds() const { return m_holds.exhausted(); }
    std::size_t heldWorkers(const ServiceId& service) const { return m_holds.heldWorkers(service); }
    // Discards all that is known from earlier rounds.
    void clear()
    {
        m_reservations.clear();
        m_evictionCounts.clear();
        m_roomSince.clear();
        m_holds.clear();
        m_backfill.clear();
        m_beyondShare.clear();
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
    // A placement unit of a waiting step.
    struct WaitingUnit {
        PlacementUnit unit;
        const JobProgress* job = nullptr;
        const std::set<WorkerLifetime>* failedOn = nullptr;
        bool isGuaranteed = false;
    };
    // What a task requires, apart from the number of tasks that are placed together. Refers to texts of the
    // job.
    struct Shape {
        std::string_view service;
        Resources perTask;
        bool needsOneRack = false;
        bool mayRelaxLocality = false;
        std::string_view label;
        std::string_view dataRack;

        auto key() const
        {
            return std::tie(service, perTask.cpuMillicores, perTask.memoryMb, perTask.accelerators,
                needsOneRack, mayRelaxLocality, label, dataRack);
        }
        bool operator<(const Shape& other) const { return key() < other.key(); }
    };
    // The smallest number of tasks of a shape that found no room. More tasks of it would not fit either, so
    // no search is made for them.
    using SmallestByShape = std::map<Shape, int>;

    static UnitKey keyOf(const PlacementUnit&);
    static StepId stepOf(const PlacementUnit&);
    // Forgets what is known of the jobs and workers of an earlier round.
    void beginRound(JobBook&, const WorkerPool&);
    bool fits(const PlacementRequest&, CapacityView) const;
    std::vector<WaitingStep> collect(JobBook&, const Configuration&, TimePoint now, WallTime);
    static Resources resourcesOf(const WaitingUnit&); // of all its tasks
    static Shape shapeOf(const WaitingUnit&, const PlacementRequest&);
    void applyReservations(CapacityViews&, TimePoint now);
    static void reserve(CapacityView&, const Reservation&, bool isTaken);
    PlacementRequest requestFor(const WaitingUnit&, const CapacityView&, WallTime);
    // Null if the row with the job's progress has room for all of its tasks.
    ProgressBudget* budgetOf(const JobProgress&);
    std::size_t longestWorkerId();
    // Returns whether the unit was placed.
    bool placeUnit(const WaitingUnit&, CapacityViews&, PlacementOutcome&, TimePoint now, WallTime);
    void placeStep(const WaitingStep&, CapacityViews&, PlacementOutcome&, TimePoint now, WallTime);
    bool mustRelaxLocality(const PlacementRequest&, const Shape&, const CapacityView&);
    static bool isKnownUnplaceable(const SmallestByShape&, const Shape&, int tasks);
    static void noteUnplaceable(SmallestByShape&, const Shape&, int tasks);
    static bool isDecidedByShape(const WaitingUnit&);
    // Returns false if no eviction makes enough room.
    bool evictFor(
        const WaitingUnit&, const PlacementRequest&, CapacityView&, PlacementOutcome&, TimePoint now);
    std::optional<std::vector<WorkerLifetime>> placeWithHeadroom(
        const WaitingUnit&, const PlacementRequest&, CapacityView&, TimePoint now) const;
    std::optional<std::vector<WorkerLifetime>> placeAnywhere(
        const WaitingUnit&, const PlacementRequest&, CapacityView&, TimePoint now);
    std::optional<std::vector<WorkerLifetime>> placeOnOpenWorkers(
        const WaitingUnit&, const PlacementRequest&, CapacityView&, TimePoint now);
    void noteBackfill(const WaitingUnit&, std::span<const WorkerLifetime>, CapacityView&);
    // Stops backfill if the step can then start on what was held for it. Returns false if it can't.
    bool stopBackfillFor(
        const WaitingUnit&, const PlacementRequest&, CapacityView&, PlacementOutcome&, TimePoint now);
    void addEviction(const WaitingUnit&, EvictionPlan&, PlacementOutcome&);
    void makeForecast(int rank, TimePoint now);
    bool isMostlyFree(const ServiceId&);
    bool isWithinLessUrgentShare(const WaitingUnit&, const PlacementRequest&);
    void notePlaced(const WaitingUnit&, std::vector<WorkerLifetime>, CapacityView&, PlacementOutcome&);
    void makeRoomFor(const WaitingUnit&, const PlacementRequest&, CapacityView&, PlacementOutcome&,
        TimePoint now, WallTime);
    void holdFor(const WaitingUnit&, const PlacementRequest&, CapacityView&, TimePoint now);
    // Room on the unit's own hold counts as free.
    std::optional<std::vector<WorkerLifetime>> findWorkers(const WaitingUnit&, const PlacementRequest&,
        const WorkerHold*, CapacityView&, TimePoint now, bool isUnplaceable);
    EvictionCandidates& candidatesFor(const CapacityView&, const ServiceId&, int priority, TimePoint now);

    const PlacementPolicy& m_placement;
    const QueueOrder& m_order;
    const Milliseconds m_stopTimeout;
    const StoreLimits m_storeLimits;
    std::map<UnitKey, Reservation> m_reservations;
    EvictionCounts m_evictionCounts;
    std::optional<TimePoint> m_urgentSeenAt; // last time with an unfinished job of priority 0
    // Since when a waiting step could have been placed in free room from which it was kept: as of this round,
    // and of the round before.
    std::map<StepId, TimePoint> m_roomSince;
    std::map<StepId, TimePoint> m_earlierRoomSince;
    WorkerHolds m_holds;
    BackfillRuns m_backfill;
    // State of the current round.
    const WorkerPool* m_workers = nullptr;
    JobBook* m_jobs = nullptr;
    std::map<JobId, std::optional<ProgressBudget>> m_budgets;
    std::optional<std::size_t> m_longestWorkerId; // in bytes
    SmallestByShape m_unplaceable;
    SmallestByShape m_unplaceableAnywhere; // neither with the preferences of placeAnywhere() left out
    std::map<Shape, int> m_mostTasksWithinLocality;
    using ServicePriority = std::pair<ServiceId, int>;
    // Runs that work of a priority may evict.
    std::map<ServicePriority, EvictionCandidates> m_candidates;
    std::optional<RoomForecast> m_forecast;
    int m_forecastRank = 0;
    std::map<ServiceId, double> m_sharesInUse;
    LessUrgentShare m_lessUrgentShare;
    std::set<StepId> m_beyondShare; // steps that the share for less urgent work has kept from a placement
    // Number of tasks placed in this round per worker, for steps with a limit per worker.
    std::map<StepId, std::map<WorkerLifetime, int>> m_stepTasksByWorker;
};

} // namespace anvilmoor::batch
