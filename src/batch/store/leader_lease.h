#pragma once

#include "anvilmoor/batch/rows.h"
#include "anvilmoor/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace anvilmoor::batch {

// How long a leader may act on its last commit, on its own clock. Three renewals, or one whose answer is lost
// and that is sent again.
constexpr Milliseconds leaseDuration { 1'100 };
// A candidate waits this much longer: clocks that differ by 2%, and the way of an order to its worker.
constexpr Milliseconds leaseMargin { 150 };
// A daemon that has had no answer of the store for this long has lost the store: it has one every 1.2 s at
// least, and a slow store takes some 0.4 s.
constexpr Milliseconds contactLostAfter { 2'000 };
// A leader commits at least this often.
constexpr Milliseconds leaseRenewalInterval { 350 };

// The row that names the leader. Every commit of the leader rewrites it.
struct LeaseRecord {
    std::string holder; // empty: released
    std::uint64_t epoch = 0; // rises with each leader; workers refuse orders of a lower one
    std::uint64_t sequence = 0; // of the leader's commits, so that it recognises one whose answer was lost
    std::map<std::string, std::uint64_t> waitingJobs; // by queue: accepted jobs that have not begun
    // When the commit was sent, or a little before; 0: unknown. A daemon that has just started learns from it
    // how old the lease is.
    StoreClock sentAt = 0;

    bool operator==(const LeaseRecord&) const = default;
};

std::string encodeLease(const LeaseRecord&);
tl::expected<LeaseRecord, std::string> decodeLease(std::string_view bytes);

// Follows the store's clock by the answers to this daemon. Never ahead of it, and late by the fastest
// answer's way at most.
class StoreClockReading {
public:
    void note(StoreClock answeredAt, TimePoint now);
    // 0 if no answer has told it yet.
    StoreClock at(TimePoint now) const;

private:
    StoreClock m_clock = 0;
    TimePoint m_readAt {};
};

// A daemon's name: its host, and what tells this process from earlier ones there.
struct DaemonName {
    std::string host;
    std::string process;

    std::string text() const { return host + "/" + process; }
};

// What this daemon knows of the leadership. Only the store decides who leads: a claim and every commit depend
// on the row's version.
class LeaderLease {
public:
    // Candidates with a longer delay leave the lease to others.
    LeaderLease(DaemonName ownName, Milliseconds claimDelay);

    // The row as the store answered it, as far as is known; empty: there is none.
    void observe(const std::optional<Row>&, TimePoint now, StoreClock answeredAt);
    // The store has answered this daemon, about the row or about anything else.
    void noteAnswer(TimePoint now);
    // True once the holder has let it lapse or has released it, and this daemon has been in touch with the
    // store since for its delay at least.
    bool isFree(TimePoint now) const;

    bool isLeader() const { return m_isLeader; }
    // A leader may give orders to workers only while this holds.
    bool mayAct(TimePoint now) const { return m_isLeader && now < m_provenAt + leaseDuration; }
    std::uint64_t epoch() const { return m_record.epoch; }
    RowVersion version() const { return m_version; }
    const LeaseRecord& record() const { return m_record; }

    // The record that claims the lease, or goes on with it. To be committed at version().
    LeaseRecord next(std::map<std::string, std::uint64_t> waitingJobs, TimePoint now) const;
    LeaseRecord released(TimePoint now) const;
    // The record as it is to be sent once more.
    LeaseRecord resent(LeaseRecord, TimePoint now) const;
    // The commit of a record that next() returned was applied; it was sent at the time given.
    void committed(const LeaseRecord&, RowVersion, TimePoint sentAt);
    void noteStoreClock(StoreClock answeredAt, TimePoint now) { m_storeClock.note(answeredAt, now); }
    void lose();

private:
    bool isHeldByPredecessor() const;

    DaemonName m_name;
    Milliseconds m_claimDelay;
    StoreClockReading m_storeClock;
    LeaseRecord m_record;
    RowVersion m_version = 0;
    bool m_hasObserved = false;
    bool m_isLeader = false;
    TimePoint m_answeredAt {};
    TimePoint m_inTouchSince {};
    TimePoint m_changedAt {}; // when the present version was sent, or else first seen
    TimePoint m_provenAt {};
};

} // namespace anvilmoor::batch
