#pragma once

#include "placement/placement_policy.h"
#include "placement/placement_room.h"

#include <vector>

namespace anvilmoor {

// A large gang that has waited this long may evict jobs that overtook it in the queue.
constexpr Milliseconds backfillEvictionDelay { 60 * 1'000 };
// A large gang that has waited this long may evict jobs that have run this long.
constexpr Milliseconds timeSlice { 60 * 60 * 1'000 };

// Reserves racks for the first queued job that finds no room, so that it gets room in bounded time.
//
// Declared run times may be off by a factor of 10, so no time is computed from them. The rules use only known
// facts: which job holds which accelerators, and since when.
// - The racks with the most room that is free, leaving or held by jobs that the gang may evict are reserved.
//   Jobs behind the gang in the queue are placed there only if the gang may evict them. So this room shrinks
//   only by claims and by jobs ahead of the gang, and the reservation moves only to racks with more room.
// - Once the gang has waited backfillEvictionDelay, it may evict borrowed jobs of no higher priority that
//   started after the gang was queued. Such a job has to be at most half as large as the gang: otherwise two
//   jobs could evict each other in turn.
// - Once the gang has waited timeSlice, it may also evict borrowed jobs of no higher priority that have run
//   for timeSlice. Every job in a run of racks has then either run for longer than timeSlice or overtaken the
//   gang. By ageing, the priority of the gang reaches the highest level within 90 minutes. After that, only
//   guaranteed jobs and, in their first hour, jobs larger than half the gang can block it.
class GangReservation {
public:
    // Uses the room as it is at construction: construct a new object when the room has changed. The room and
    // the job must outlive it.
    GangReservation(const PlacementRoom&, const QueuedJob&, TimePoint now);

    // True for a job of at least half a rack that has waited long enough. Smaller jobs find room soon enough
    // without evictions.
    bool mayEvict() const { return m_isLarge && m_waitTime >= backfillEvictionDelay; }
    bool mayEvict(const Holding&) const;

    // False if the job does not fit even after all evictions that are allowed.
    bool canMakeRoom() const;

    // True if the gang could evict the job after a start on reserved racks.
    bool admits(const QueuedJob& backfill) const;

    // Per rack, whether it is reserved. All false if guaranteed work and unusable workers leave no room for
    // the gang.
    std::vector<bool> racks() const;

private:
    int obtainableRoom(std::size_t rack) const;
    std::vector<bool> scatteredRacks() const;

    const PlacementRoom& m_room;
    const QueuedJob& m_job;
    TimePoint m_now;
    Milliseconds m_waitTime;
    int m_priority;
    bool m_isLarge;
    std::vector<int> m_reach; // per rack, free if all borrowed work were evicted
    std::vector<int> m_obtainable; // per rack, see obtainableRoom()
};

} // namespace anvilmoor
