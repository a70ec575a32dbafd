#pragma once

#include "anvilmoor/batch/effect.h"
#include "anvilmoor/batch/event.h"
#include "anvilmoor/batch/rows.h"
#include "batch/store/leader_lease.h"
#include "batch/store/operation_bits.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace anvilmoor::batch {

// The platform accepts 100 entries per transaction, and the lease row takes one of them.
constexpr std::size_t maxRowsPerCommit = 90;
// Of the encoded rows. A host with a link of 20 Mbit/s sends them in a tenth of a second, well within the
// lease.
constexpr std::size_t maxBytesPerCommit = 256 * 1'024;

// The changes that one commit of the leader stores in addition to the lease row.
struct CommitBatch {
    std::uint64_t number = 0; // chosen by the caller of submit() and returned with the answer
    std::vector<Row> writes;
    std::vector<RowKey> removals;
};

// Sends commits for the holder of the lease, or for a daemon that claims it, one at a time. A commit without
// an answer is sent again with its new send time. If the first copy was applied, the second one conflicts
// with the lease record that the first one wrote, and the commit is recognised as applied. A commit with rows
// that the store will never apply is dropped; one of the lease row alone is always valid, and sent again.
class CommitPipeline {
public:
    enum class Result { None, Claimed, Applied, Released, LeaseLost, Rejected };

    struct Answer {
        Result result = Result::None;
        std::uint64_t batch = 0; // if applied or rejected
    };

    explicit CommitPipeline(LeaderLease&);

    bool isBusy() const { return m_inFlight.has_value(); }
    // Whether a release of the lease was sent. It may have been applied, so that another daemon leads.
    bool isReleasing() const { return m_inFlight && m_inFlight->purpose == Purpose::Release; }
    // False while a commit is in flight, and for a short time after the store has refused a claim.
    bool mayClaim(TimePoint now) const { return !isBusy() && now >= m_claimAgainAt; }
    bool isRenewalDue(TimePoint now) const { return now >= m_lastSentAt + leaseRenewalInterval; }

    Effect claim(TimePoint now);
    // What the record that the latest claim replaces states about the leases of workers.
    StoreClock earlierLeasesEndBy() const { return m_earlierLeasesEndBy; }
    Effect release(TimePoint now);
    Effect submit(CommitBatch, WaitingJobs, TimePoint now);
    Answer answered(const CommitAnswered&, TimePoint now);
    // Sends the commit in flight again, if that is due.
    std::optional<Effect> resend(TimePoint now);

private:
    enum class Purpose { Claim, Batch, Release };

    struct InFlight {
        Purpose purpose = Purpose::Batch;
        LeaseRecord record;
        std::uint64_t batch = 0;
        bool hasBatchRows = false;
        Transaction transaction;
        OperationId operation = 0;
        TimePoint firstSentAt {};
        TimePoint lastSentAt {};
        std::optional<TimePoint> resendAt; // when to send again; empty while an answer is awaited
        bool mayHaveBeenApplied = false;
        int failures = 0;
    };

    Effect send(Purpose, LeaseRecord, CommitBatch, TimePoint now);
    Answer conflict(const CommitReply&, TimePoint now);
    Answer applied(RowVersion, TimePoint sentAt);
    Answer rejected();

    LeaderLease& m_lease;
    std::optional<InFlight> m_inFlight;
    OperationId m_lastOperation = 0;
    TimePoint m_lastSentAt {};
    TimePoint m_claimAgainAt {};
    StoreClock m_earlierLeasesEndBy = 0;
};

} // namespace anvilmoor::batch
