#pragma once

#include "batch/placement/capacity_view.h"
#include "batch/placement/placement_policy.h"
#include "batch/placement/queue_order.h"
#include "batch/placement/room_forecast.h"

#include <map>
#include <set>
#include <span>
#include <vector>

namespace anvilmoor::batch {

using CapacityViews = std::map<ServiceId, CapacityView>;

// Room on workers that is kept for a waiting step until the step fits there.
struct WorkerHold {
    std::vector<WorkerLifetime> workers; // one per task
    Resources perTask;
    ServiceId service;
    int rank = 0; // see urgencyRank()
    TimePoint since {}; // when room was first kept for the step
    TimePoint chosenAt {};
    TimePoint exclusiveUntil {}; // until then, the step is about to start, and no other work may use the room
};

// The urgency of work, most urgent first. Work may use room that is held for work of a higher rank.
int urgencyRank(bool isGuaranteed, int priority);

// The holds of waiting steps. A step has a hold until it is placed, whatever comes later, so that other work
// does not take the room piece by piece as it becomes free. Holds are given in queue order, and only a
// bounded share of a service is held, because held room stays idle until the last of it is free. Once a step
// gets no hold for lack of that share, no step behind it gets one in the same round: narrow steps would
// otherwise leave nothing for a wide one.
class WorkerHolds {
public:
    // Forgets the holds of steps that do not wait any more, and those of which a worker is gone.
    void beginRound(std::span<const WaitingStep>, CapacityViews&);
    // From now on, the views do not contain the room of holds up to this rank.
    void applyUpTo(int rank, CapacityViews&);
    // Tries to give the step a hold, where it is expected to fit first. The view must not contain the room of
    // other holds that the step has to leave alone.
    void add(const StepId&, int rank, const PlacementRequest&, const ServiceId&, CapacityView&, RoomForecast&,
        TimePoint now);
    // Moves the hold of a step that still does not fit if other room is expected to be free sooner. The view
    // must not contain the room of the hold, and does not contain it afterwards either.
    void reconsider(const StepId&, const PlacementRequest&, CapacityView&, RoomForecast&, TimePoint now);
    // Moves the step's hold to these workers, where the step is about to start. No other work may use the
    // room before the given time.
    void makeExclusive(const StepId&, std::vector<WorkerLifetime>, TimePoint until, TimePoint now);
    void erase(const StepId& step) { m_holds.erase(step); }
    void clear();

    // Null if the step has none.
    const WorkerHold* find(const StepId&) const;
    using Selection = std::vector<const WorkerHold*>;
    // Those that are applied, but not the step's own, and that it need not leave alone once it has waited
    // long beside free room.
    Selection open(const ServiceId&, const StepId&, TimePoint now) const;
    // Whether a step of the service is about to start, so that no other work may use its room.
    bool hasExclusive(const ServiceId&, TimePoint now) const;
    // The steps of a lower rank that hold room on the worker.
    std::vector<StepId> moreUrgentOn(const WorkerLifetime&, int rank) const;
    // Services where a step of the round got no hold for lack of the share that may be held.
    const std::set<ServiceId>& exhausted() const { return m_exhausted; }
    // Number of workers on which room is held.
    std::size_t heldWorkers(const ServiceId&) const;
    // Whether the step has a hold, or had one and still waits.
    bool isWaiting(const StepId& step) const { return m_heldSince.contains(step); }
    // All up to this rank, but not the step's own.
    Selection upTo(int rank, const ServiceId&, const StepId&) const;
    // Take the room of holds out of a view, or put it back.
    static void take(std::span<const WorkerHold* const>, CapacityView&);
    static void putBack(std::span<const WorkerHold* const>, CapacityView&);
    static void take(const WorkerHold&, CapacityView&);
    static void putBack(const WorkerHold&, CapacityView&);
    // Takes the room of the step's tasks out of the view and returns true if all of it is free.
    static bool fill(const WorkerHold&, const PlacementRequest&, CapacityView&);

private:
    static constexpr int nothingApplied = -1;

    bool isWithinShare(const WorkerHold&, const CapacityView&) const;
    // Workers on which holds up to this rank keep room.
    std::set<WorkerLifetime> workersHeldIn(const ServiceId&, int rank) const;
    template <typename Predicate> Selection select(const ServiceId&, Predicate) const;

    std::map<StepId, WorkerHold> m_holds;
    std::map<StepId, TimePoint> m_heldSince; // of steps that wait, also while their hold is chosen anew
    int m_appliedRank = nothingApplied;
    std::set<ServiceId> m_exhausted;
};

} // namespace anvilmoor::batch
