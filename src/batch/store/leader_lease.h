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

// How long a leader may act on its last commit, on its own clock.
constexpr Milliseconds leaseDuration { 1'600 };
// A candidate waits this much longer: its reading of the row's change, and clocks that differ by 2%.
constexpr Milliseconds leaseMargin { 300 };
// A leader commits at least this often.
constexpr Milliseconds leaseRenewalInterval { 350 };

// The row that names the leader. Every commit of the leader rewrites it.
struct LeaseRecord {
    std::string holder; // empty: released
    std::uint64_t epoch = 0; // rises with each leader; workers refuse orders of a lower one
    std::uint64_t sequence = 0; // of the leader's commits, so that it recognises one whose answer was lost
    std::map<std::string, std::uint64_t> waitingJobs; // by queue: accepted jobs that have not begun

    bool operator==(const LeaseRecord&) const = default;
};

std::string encodeLease(const LeaseRecord&);
tl::expected<LeaseRecord, std::string> decodeLease(std::string_view bytes);

// What this daemon knows of the leadership. Only the store decides who leads: a claim and every commit depend
// on the row's version.
class LeaderLease {
public:
    // The name is unique to this process. Candidates with a longer delay leave the lease to others.
    LeaderLease(std::string ownName, Milliseconds claimDelay);

    // The row as it was at the time, as far as is known; empty: there is none.
    void observe(const std::optional<Row>&, TimePoint now);
    // True once the holder has let it lapse or has released it.
    bool isFree(TimePoint now) const;

    bool isLeader() const { return m_isLeader; }
    // A leader may give orders to workers only while this holds.
    bool mayAct(TimePoint now) const { return m_isLeader && now < m_provenAt + leaseDuration; }
    std::uint64_t epoch() const { return m_record.epoch; }
    RowVersion version() const { return m_version; }
    const LeaseRecord& record() const { return m_record; }

    // The record that claims the lease, or goes on with it. To be committed at version().
    LeaseRecord next(std::map<std::string, std::uint64_t> waitingJobs) const;
    LeaseRecord released() const;
    // The commit of a record that next() returned was applied; it was sent at the time given.
    void committed(const LeaseRecord&, RowVersion, TimePoint sentAt);
    void lose();

private:
    std::string m_ownName;
    Milliseconds m_claimDelay;
    LeaseRecord m_record;
    RowVersion m_version = 0;
    bool m_hasObserved = false;
    bool m_isLeader = false;
    TimePoint m_changedAt {}; // when the present version was first seen
    TimePoint m_provenAt {};
};

} // namespace anvilmoor::batch
