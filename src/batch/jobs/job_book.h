#pragma once

#include "anvilmoor/batch/rows.h"
#include "batch/jobs/cancel_requests.h"
#include "batch/jobs/job_progress.h"
#include "batch/jobs/job_size.h"
#include "batch/jobs/size_counts.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

// How long callers can query a job's state after its end. The platform requires 120 s.
constexpr Milliseconds jobRetention { 150'000 };

// Upper limits of the changes that are stored together. The first one is stored even if it takes more than
// `bytes`; no row takes more than `rowBytes`.
struct ChangeLimits {
    std::size_t rows = 1;
    std::size_t bytes = StoreLimits {}.transactionBytes; // encoded, see transaction_size.h
    std::size_t rowBytes = StoreLimits {}.rowBytes;
};

// The leader's view of all jobs. Tracks which jobs have changes that are not stored yet.
class JobBook {
public:
    struct Entry {
        explicit Entry(AcceptedJob job)
            : progress(std::move(job))
            , sizeClass(sizeClassOf(progress.job().specification))
        {
        }

        JobProgress progress;
        int sizeClass = 0;
        std::optional<bool> isCountedAsServed; // empty if not in sizeCounts()
        JobState storedState = JobState::Pending; // the only state reported to callers
        std::uint64_t change = 0; // number of the latest change
        std::uint64_t storedChange = 0; // number of the latest change that is stored
        std::optional<TimePoint> endedAt;
        std::set<WorkerLifetime> failedOn; // workers on which one of its runs has failed
        // What this leader has done for it.
        std::optional<WallTime> firstPlacedAt;
        int evictedRuns = 0;
        bool isUnreadable = false; // its stored progress cannot be decoded
        bool isSuspect = false; // the store has rejected a commit that contained its progress
        std::size_t maxRowBytes = std::numeric_limits<std::size_t>::max(); // halved when its row is rejected

        bool isStored() const { return storedChange >= change; }
    };

    // Returns null if the job is already known.
    Entry* add(AcceptedJob);
    Entry* find(const JobId&);
    const Entry* find(const JobId&) const;
    // Called if the entry's stored progress cannot be decoded. Its tasks may be running or done, so the job
    // is neither placed nor changed.
    void noteUnreadable(Entry&);
    // Records a cancel request, which may be read before its job. `version`: of its row.
    void requestCancel(const JobId&, RowVersion version, TimePoint now);
    bool isCancelRequested(const JobId& job) const { return m_cancelRequests.contains(job); }
    // Of the row of the job's cancel request; 0 without one.
    RowVersion cancelVersionOf(const JobId& job) const { return m_cancelRequests.versionOf(job); }
    // Returns cancel requests that need not stay in force and whose jobs are not known, all in one part of
    // the table.
    std::vector<JobId> findUnusedCancelRequests(TimePoint now, std::size_t limit) const;
    void noteCancelRequestRemoved(const JobId&);

    // Must be called after an entry's progress has been restored from the store.
    void noteRestored(Entry&, TimePoint now);
    // Must be called after each change of an entry's progress.
    void noteChange(Entry&, TimePoint now);
    // Returns a job whose retention has expired and whose job and cancel rows are still stored. These rows
    // must be removed before the progress row, because a job without progress would run again. A job stays
    // while a cancel request for it has to stay in force.
    std::optional<JobId> findExpired(TimePoint now) const;
    // Must be called when the job and cancel rows of an expired job have been removed.
    void noteRowsRemoved(const JobId&);
    // Changes that are not stored yet: the progress of changed jobs, oldest change first, and the removal of
    // the progress of jobs whose job and cancel rows have been removed.
    struct Changes {
        struct Job {
            JobId id;
            std::uint64_t change = 0;
            JobState state = JobState::Pending;
            std::size_t rowBytes = 0;
        };
        std::vector<Job> jobs;
        std::vector<JobId> unstorable; // not among `jobs`: their progress exceeds the size of a row
        std::vector<JobId> expired;
        std::vector<Row> writes;
        std::vector<RowKey> removals;
    };
    Changes collectChanges(const ChangeLimits&) const;
    // Marks these changes as stored.
    void noteStored(const Changes&);
    // The store will never apply a commit of these changes. Each of them is then stored alone, to find the
    // one that is at fault.
    void noteRejected(const Changes&);
    // Must be called when the store has applied another commit after one was rejected. A job whose row was
    // rejected alone has to do with a smaller row from now on. Returns that job.
    std::optional<JobId> shrinkRejected();
    // The store does not take even the smallest row of the job, so its changes are not stored any more.
    void noteUnwritable(const JobId&);
    bool hasChanges() const { return !m_changed.empty(); }

    // Jobs that have not ended or still have assigned runs.
    std::vector<Entry*> openEntries();
    std::map<std::string, std::uint64_t> waitingJobs() const;
    // Counts the jobs that are or were waiting for their first placement. A job is served while it has runs,
    // and once it has ended other than by a cancel request. Jobs with a schedule are not counted: most of the
    // time they wait for their next due time.
    const SizeCounts& sizeCounts() const { return m_sizeCounts; }
    std::size_t size() const { return m_entries.size(); }

private:
    void noteEnd(Entry&, TimePoint now);
    // Must be called after each change of the entry's progress.
    void recount(Entry&);
    void setCounted(Entry&, std::optional<bool> isServed);
    bool mayBeRemoved(const Entry&) const;

    std::unordered_map<JobId, Entry> m_entries;
    std::set<JobId> m_open;
    SizeCounts m_sizeCounts;
    CancelRequests m_cancelRequests;
    std::map<std::uint64_t, JobId> m_changed; // keyed by the number of the latest change
    std::set<std::pair<TimePoint, JobId>> m_ended; // by the time of the end; their job rows are still stored
    std::set<JobId> m_expired; // their job and cancel rows are removed, and their progress rows are not yet
    std::uint64_t m_lastChange = 0;
    std::optional<Changes::Job> m_rejected; // rejected alone
};

} // namespace anvilmoor::batch
