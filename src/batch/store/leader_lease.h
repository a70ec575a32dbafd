#pragma once

#include "anvilmoor/batch/rows.h"
#include "anvilmoor/batch/worker.h"
#include "anvilmoor/time.h"
#include "batch/clock/remote_clock_estimate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace anvilmoor::batch {

// How long a leader may act after it sent its last applied commit, on its own clock. Long enough for three
// renewals, or for one renewal whose answer is lost and that is sent again.
constexpr Milliseconds leaseDuration { 1'100 };
// Additional time that a candidate waits. It covers clock rates that differ by 2% and the transit time of an
// order to its worker.
constexpr Milliseconds leaseMargin { 150 };
// A daemon that has received no answer from the store for this long has lost contact with it. Answers
// normally arrive at least every 1.2 s, and a slow store takes about 0.4 s to answer.
constexpr Milliseconds storeContactTimeout { 2'000 };
// A leader commits at least this often.
constexpr Milliseconds leaseRenewalInterval { 350 };

// Numbers of accepted jobs of which no task has begun.
struct WaitingJobs {
    std::map<std::string, std::uint64_t> byQueue; // 0 for queues that are missing
    StoreClock countedAt = 0; // 0: they are not known

    bool operator==(const WaitingJobs&) const = default;
};

// When the leases that leaders have granted to a worker have expired for certain; 0: unknown.
using LeaseEnds = std::map<WorkerLifetime, StoreClock>;

// The row that names the leader. Every commit of the leader rewrites it.
struct LeaseRecord {
    std::string holder; // empty: released
    std::uint64_t epoch = 0; // increases with each leader; workers refuse orders of a lower epoch
    std::uint64_t sequence = 0; // counts the leader's commits; identifies a commit whose answer was lost
    WaitingJobs waitingJobs; // as counted by this leader or, until it has read all jobs, by an earlier one
    // When the commit was sent, or slightly earlier; 0: unknown. A daemon that has just started derives the
    // age of the lease from it.
    StoreClock sentAt = 0;
    // By then every lease of a worker has expired that an earlier leader has granted, or this one until its
    // next commit; 0: unknown.
    StoreClock leasesEndBy = 0;
    // Workers with stored runs to which this leader has granted no lease.
    LeaseEnds silentWorkers;

    bool operator==(const LeaseRecord&) const = default;
};

std::string encodeLease(const LeaseRecord&);
tl::expected<LeaseRecord, std::string> decodeLease(std::string_view bytes);

// Name of a daemon: its host, and a text that distinguishes this process from earlier ones on the host.
struct DaemonName {
    std::string host;
    std::string process;

    std::string text() const { return host + "/" + process; }
};

// This daemon's view of the leader lease. Only the store decides who leads: claims and all other commits are
// applied only if the lease row has the expected version.
class LeaderLease {
public:
    // A candidate waits for `claimDelay` before it claims a free lease, and so leaves it to those with a
    // shorter delay. `workerLease`: longest lease that a leader grants to a worker, in real time; 0: unknown.
    LeaderLease(DaemonName ownName, Milliseconds claimDelay, Milliseconds workerLease = Milliseconds(0));

    // Takes in the lease row from an answer of the store; empty if there is no such row. Outdated rows are
    // ignored.
    void observe(const std::optional<Row>&, TimePoint now, StoreClock answeredAt);
    // Records that the store has answered a request of this daemon, about the lease row or any other.
    void noteAnswer(TimePoint now);
    // True if the lease has expired or been released, and this daemon has been in contact with the store for
    // at least its claim delay and this additional one since then.
    bool isFree(TimePoint now, Milliseconds additionalDelay = Milliseconds(0)) const;

    bool isLeader() const { return m_isLeader; }
    // A leader may send orders to workers only while this is true.
    bool mayAct(TimePoint now) const { return m_isLeader && now < m_confirmedAt + leaseDuration; }
    std::uint64_t epoch() const { return m_record.epoch; }
    RowVersion version() const { return m_version; }
    const LeaseRecord& record() const { return m_record; }

    // The record that claims the lease or, for the leader, renews it. Its commit must expect version().
    LeaseRecord next(WaitingJobs, TimePoint now) const;
    LeaseRecord released(TimePoint now) const;
    // The record with its send time updated, for sending the commit again.
    LeaseRecord withCurrentSendTime(LeaseRecord, TimePoint now) const;
    // Records that the commit of a record from next() or released() was applied; it was sent at `sentAt`.
    void committed(const LeaseRecord&, RowVersion, TimePoint sentAt);
    // The store's clock at this time, or slightly earlier; 0: unknown.
    StoreClock storeClock(TimePoint now) const { return m_storeClock.at(now); }
    // Records the store's clock in the answer to a commit.
    void noteStoreClock(StoreClock answeredAt, TimePoint sentAt, TimePoint now);
    // The latest time at which the store's clock shows this reading; empty if that is not known.
    std::optional<TimePoint> timeOf(StoreClock, TimePoint now) const;
    // By then on the store's clock, every lease has expired that a leader grants whose last applied commit is
    // sent until now; 0: unknown.
    StoreClock leasesEndBy(TimePoint now) const;
    // What the following records state about leases of workers. `hasLaterLeases`: some may end after
    // leasesEndBy().
    void setSilentWorkers(LeaseEnds silentWorkers) { m_silentWorkers = std::move(silentWorkers); }
    void setHasLaterLeases(bool hasLaterLeases) { m_hasLaterLeases = hasLaterLeases; }
    // Gives up the sequence number of the next commit. Must be called before a commit that may have been
    // applied is replaced by another one, so that they are not taken for the same.
    void skipSequence() { ++m_record.sequence; }
    void markLost();

private:
    bool isHeldByPredecessor() const;

    DaemonName m_name;
    Milliseconds m_claimDelay;
    Milliseconds m_workerLease;
    RemoteClockEstimate m_storeClock;
    // Reading of the store's clock after a commit was sent, and when it was sent.
    StoreClock m_storeReading = 0;
    TimePoint m_readingAskedAt {};
    LeaseEnds m_silentWorkers;
    bool m_hasLaterLeases = false;
    LeaseRecord m_record;
    RowVersion m_version = 0;
    bool m_hasObserved = false;
    bool m_isLeader = false;
    TimePoint m_answeredAt {};
    TimePoint m_contactSince {};
    TimePoint m_changedAt {}; // when the current version was sent or, if unknown, first seen
    TimePoint m_confirmedAt {};
};

} // namespace anvilmoor::batch
