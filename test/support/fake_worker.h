#pragma once

#include "anvilmoor/batch/effect.h"
#include "anvilmoor/batch/event.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace anvilmoor::testing {

// What the platform's pages allow a worker to do. The defaults are the kindest behavior.
struct WorkerBehavior {
    Milliseconds maxStopTime { 0 }; // a stop takes up to this long; the run is active until its end
    std::optional<Milliseconds> maxLease; // longer leases are shortened to it
    int clockPermille = 980; // rate of the worker's clock
    bool refusesOtherLifetimes = true; // otherwise orders reach any lifetime under the same id
    double refusalShare = 0; // share of start orders that the worker refuses because it is unhealthy
};

// A worker of the platform: runs tasks under a lease on its own clock, and keeps ended runs until a daemon
// acknowledges them.
class FakeWorker {
public:
    FakeWorker(batch::WorkerRecord, std::function<TimePoint()> clock);

    batch::StartAnswered start(const batch::StartRun&);
    batch::StopAnswered stop(const batch::StopRun&);
    batch::HoldAnswered hold(const batch::HoldWorker&);
    batch::HoldAnswered status(const batch::HoldWorker&) const;
    // Advances to the current time: runs make progress, and those end that are done, have failed, lack
    // members of their gang or have no valid lease.
    void advance();
    // Restarts under the same id as a new lifetime; runs, ended runs and the lease are lost.
    void restart();

    // Drops all runs without reporting their ends, and becomes unreachable.
    void leave();
    // Announces that the worker leaves no sooner than after this time.
    void drain(Milliseconds remaining);

    struct Run {
        batch::RunId id;
        Milliseconds worked { 0 };
        Milliseconds duration { 1'000 };
        TimePoint startedAt {};
        std::string checkpoint;
        std::optional<TimePoint> stopsAt;
        bool hasWorked = false; // not if it only waited for its gang so far
    };
    const std::map<batch::TaskId, Run>& runs() const { return m_runs; }
    bool hasEndedRuns() const { return !m_ended.empty(); }

    batch::WorkerRecord record;
    bool isReachable = true; // by the daemons
    bool refusesConnections = false; // orders are not sent
    bool isFailing = false; // every run ends as Failed at the next advance()
    bool isCutFromStore = false; // its registry entry is not renewed, and expires
    int acknowledgedUnread = 0; // ends forgotten because of an order for another lifetime
    WorkerBehavior behavior;
    double speed = 1; // progress per unit of time; 0: runs make no progress
    // How many times as long a run takes, asked when it begins to work. Without it, no run takes longer.
    std::function<double(const batch::RunId&)> slowdownOf;
    // How long a task has to work, and whether all members of a run's gang are running (true without a gang).
    std::function<Milliseconds(const batch::TaskId&)> durationOf;
    std::function<bool(const batch::RunId&)> isGangComplete;
    std::function<void(const batch::RunId&, batch::RunEnd)> onEnd;
    std::function<void(const batch::StartRun&)> onStart;
    // Called for each ended run that a daemon acknowledges. `hasLeaseExpired`: the worker's lease expired
    // between the end and the acknowledgement.
    std::function<void(const batch::EndedRun&, bool hasLeaseExpired)> onAcknowledged;
    std::function<batch::Resources(const batch::TaskId&)> resourcesOf;
    std::function<double()> randomShare; // uniform in [0, 1)

private:
    // Accepted, unless the order is for another lifetime of the worker or from an earlier leader (lower
    // token).
    batch::OrderOutcome outcomeFor(const batch::WorkerLifetime&, std::uint64_t token) const;
    void end(const batch::TaskId&, batch::RunEnd);
    void extendLease(batch::WorkerClock until);
    batch::WorkerClock clock() const;

    std::function<TimePoint()> m_now;
    TimePoint m_startedAt;
    TimePoint m_advancedAt;
    std::uint64_t m_highestToken = 0;
    batch::WorkerClock m_leaseUntil = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_lastEndBeforeExpiry = 0; // the lease expired after this end and all earlier ones
    std::map<batch::TaskId, Run> m_runs;
    std::map<batch::TaskId, int> m_highestEndedRuns; // highest run number that was stopped or ended here
    std::deque<batch::EndedRun> m_ended;
};

} // namespace anvilmoor::testing
