#pragma once

#include "anvilmoor/batch/event.h"
#include "batch/jobs/job_book.h"
#include "batch/reducer/step.h"

#include <optional>
#include <span>
#include <vector>

namespace anvilmoor::batch {

// Removes the rows of jobs whose retention has expired, and cancel requests of jobs that are not stored, one
// transaction at a time. A removal that is not confirmed is repeated on a later tick. A removal that the
// store performs late has no effect if the rows have changed meanwhile.
class RowCleanup {
public:
    explicit RowCleanup(JobBook&);

    void tick(Step&);
    // Returns false if the answer is not to a removal.
    bool answered(const CommitAnswered&, TimePoint now);
    // Forgets the removal that is in flight.
    void clear() { m_removal.reset(); }

private:
    enum class Kind { JobRows, CancelRequests };
    struct Removal {
        Kind kind = Kind::JobRows;
        std::vector<JobId> jobs;
        OperationId operation = 0;
    };

    void send(Kind, std::vector<JobId>, Step&);
    Transaction transactionFor(const Removal&) const;
    void noteRemoved(Kind, const JobId&);
    // The store has other rows than the removal expected.
    void noteCurrent(const JobId&, std::span<const Row> current, TimePoint now);

    JobBook& m_jobs;
    std::optional<Removal> m_removal; // in flight
    OperationId m_lastRemoval = 0;
};

} // namespace anvilmoor::batch
