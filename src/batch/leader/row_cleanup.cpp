#include "batch/leader/row_cleanup.h"

#include "batch/store/operation_bits.h"
#include "batch/store/tables.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::batch {

namespace {

// The platform accepts 100 entries per transaction, and each request takes three: the removal, and the
// expected versions of its row and of its job's.
constexpr std::size_t maxCancelRequestsPerRemoval = 30;

// 0 if the row is not among them, or does not exist.
RowVersion versionOf(const RowKey& key, std::span<const Row> rows)
{
    const auto found
        = std::find_if(rows.begin(), rows.end(), [&key](const Row& row) { return row.key == key; });
    return found == rows.end() ? 0 : found->version;
}

} // namespace

RowCleanup::RowCleanup(JobBook& jobs)
    : m_jobs(jobs)
{
}

void RowCleanup::tick(Step& step)
{
    if (m_removal)
        return;
    if (const auto job = m_jobs.findExpired(step.now)) {
        send(Kind::JobRows, { *job }, step);
        return;
    }
    auto unused = m_jobs.findUnusedCancelRequests(step.now, maxCancelRequestsPerRemoval);
    if (!unused.empty())
        send(Kind::CancelRequests, std::move(unused), step);
}

void RowCleanup::send(Kind kind, std::vector<JobId> jobs, Step& step)
{
    m_removal = Removal { kind, std::move(jobs), ++m_lastRemoval | removalOperationBit };
    step.emit(Commit { m_removal->operation, transactionFor(*m_removal) });
}

Transaction RowCleanup::transactionFor(const Removal& removal) const
{
    Transaction transaction;
    for (const JobId& job : removal.jobs) {
        transaction.expected.push_back({ cancelKey(job), m_jobs.cancelVersionOf(job) });
        transaction.removals.push_back(cancelKey(job));
        if (removal.kind == Kind::JobRows)
            transaction.removals.push_back(jobKey(job));
        else
            transaction.expected.push_back({ jobKey(job), 0 });
    }
    return transaction;
}

bool RowCleanup::answered(const CommitAnswered& answer, TimePoint now)
{
    if (!m_removal || answer.operation != m_removal->operation)
        return false;
    const Removal removal = std::move(*m_removal);
    m_removal.reset();
    for (const JobId& job : removal.jobs) {
        if (answer.reply.outcome == CommitOutcome::Applied)
            noteRemoved(removal.kind, job);
        else if (answer.reply.outcome == CommitOutcome::Conflict)
            noteCurrent(job, answer.reply.current, now);
    }
    return true;
}

void RowCleanup::noteRemoved(Kind kind, const JobId& job)
{
    if (kind == Kind::JobRows)
        m_jobs.noteRowsRemoved(job);
    else
        m_jobs.noteCancelRequestRemoved(job);
}

void RowCleanup::noteCurrent(const JobId& job, std::span<const Row> current, TimePoint now)
{
    const RowVersion cancel = versionOf(cancelKey(job), current);
    // An earlier removal without an answer has been performed.
    if (!cancel)
        m_jobs.noteCancelRequestRemoved(job);
    // A job row that this leader has not read yet, or cannot read, keeps the cancel request.
    else if (cancel != m_jobs.cancelVersionOf(job) || versionOf(jobKey(job), current))
        m_jobs.requestCancel(job, cancel, now);
}

} // namespace anvilmoor::batch
