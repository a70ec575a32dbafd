#include "batch/store/commit_pipeline.h"

#include "batch/store/tables.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::batch {

namespace {

// Delay before a failed commit is sent again; doubles with each consecutive failure.
constexpr Milliseconds initialResendDelay { 40 };
constexpr int maxDoublings = 3;
// While the store refuses claims, all daemons but the leader would otherwise claim at once, and again on each
// tick.
constexpr Milliseconds claimRetryDelay { 200 };

const Row* findRow(const std::vector<Row>& rows, const RowKey& key)
{
    for (const Row& row : rows) {
        if (row.key == key && row.version)
            return &row;
    }
    return nullptr;
}

bool isSameCommit(const LeaseRecord& stored, const LeaseRecord& attempted)
{
    return stored.holder == attempted.holder && stored.epoch == attempted.epoch
        && stored.sequence == attempted.sequence;
}

} // namespace

CommitPipeline::CommitPipeline(LeaderLease& lease)
    : m_lease(lease)
{
}

Effect CommitPipeline::claim(TimePoint now)
{
    m_earlierLeasesEndBy = m_lease.record().leasesEndBy;
    return send(Purpose::Claim, m_lease.next({}, now), {}, now);
}

Effect CommitPipeline::release(TimePoint now)
{
    return send(Purpose::Release, m_lease.released(now), {}, now);
}

Effect CommitPipeline::submit(CommitBatch batch, WaitingJobs waitingJobs, TimePoint now)
{
    return send(Purpose::Batch, m_lease.next(std::move(waitingJobs), now), std::move(batch), now);
}

Effect CommitPipeline::send(Purpose purpose, LeaseRecord record, CommitBatch batch, TimePoint now)
{
    InFlight inFlight;
    inFlight.purpose = purpose;
    inFlight.batch = batch.number;
    inFlight.hasBatchRows = !batch.writes.empty() || !batch.removals.empty();
    inFlight.transaction.expected.push_back({ leaseKey(), m_lease.version() });
    inFlight.transaction.writes = std::move(batch.writes);
    // The lease row must be the last write: a resend rewrites the last one.
    inFlight.transaction.writes.push_back({ leaseKey(), encodeLease(record) });
    inFlight.transaction.removals = std::move(batch.removals);
    inFlight.record = std::move(record);
    inFlight.operation = ++m_lastOperation | commitOperationBit;
    inFlight.firstSentAt = now;
    inFlight.lastSentAt = now;
    m_lastSentAt = now;
    m_inFlight = std::move(inFlight);
    return Commit { m_inFlight->operation, m_inFlight->transaction };
}

std::optional<Effect> CommitPipeline::resend(TimePoint now)
{
    if (!m_inFlight || !m_inFlight->resendAt || now < *m_inFlight->resendAt)
        return std::nullopt;
    m_inFlight->resendAt.reset();
    m_inFlight->record = m_lease.withCurrentSendTime(std::move(m_inFlight->record), now);
    m_inFlight->transaction.writes.back().value = encodeLease(m_inFlight->record);
    m_inFlight->operation = ++m_lastOperation | commitOperationBit;
    m_inFlight->lastSentAt = now;
    m_lastSentAt = now;
    return Commit { m_inFlight->operation, m_inFlight->transaction };
}

CommitPipeline::Answer CommitPipeline::answered(const CommitAnswered& answer, TimePoint now)
{
    if (!m_inFlight || answer.operation != m_inFlight->operation)
        return {};
    m_lease.noteStoreClock(answer.reply.answeredAt, m_inFlight->lastSentAt, now);
    switch (answer.reply.outcome) {
    case CommitOutcome::Applied:
        return applied(answer.reply.version, m_inFlight->lastSentAt);
    case CommitOutcome::Conflict:
        return conflict(answer.reply, now);
    case CommitOutcome::Unknown:
        m_inFlight->mayHaveBeenApplied = true;
        break;
    case CommitOutcome::Invalid:
        if (m_inFlight->hasBatchRows)
            return rejected();
        [[fallthrough]];
    case CommitOutcome::Refused:
        // A refused claim was certainly not applied. It is dropped, because another daemon may be able to
        // claim.
        if (m_inFlight->purpose == Purpose::Claim && !m_inFlight->mayHaveBeenApplied) {
            m_inFlight.reset();
            m_claimAgainAt = now + claimRetryDelay;
            return {};
        }
        break;
    }
    m_inFlight->resendAt = now + initialResendDelay * (1 << std::min(m_inFlight->failures, maxDoublings));
    ++m_inFlight->failures;
    return {};
}

CommitPipeline::Answer CommitPipeline::conflict(const CommitReply& reply, TimePoint now)
{
    const Row* row = findRow(reply.current, leaseKey());
    if (row) {
        const auto stored = decodeLease(row->value);
        if (stored && isSameCommit(*stored, m_inFlight->record))
            return applied(row->version, m_inFlight->firstSentAt);
    }
    m_inFlight.reset();
    m_lease.markLost();
    m_lease.observe(row ? std::optional<Row>(*row) : std::nullopt, now, reply.answeredAt);
    return { Result::LeaseLost };
}

CommitPipeline::Answer CommitPipeline::rejected()
{
    const std::uint64_t batch = m_inFlight->batch;
    m_inFlight.reset();
    m_lease.skipSequence();
    return { Result::Rejected, batch };
}

CommitPipeline::Answer CommitPipeline::applied(RowVersion version, TimePoint sentAt)
{
    const InFlight done = std::move(*m_inFlight);
    m_inFlight.reset();
    m_lease.committed(done.record, version, sentAt);
    if (done.purpose == Purpose::Claim)
        return { Result::Claimed };
    if (done.purpose == Purpose::Release)
        return { Result::Released };
    return { Result::Applied, done.batch };
}

} // namespace anvilmoor::batch
