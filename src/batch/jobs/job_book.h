#pragma once

#include "anvilmoor/batch/rows.h"
#include "batch/jobs/job_progress.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// For how long a job's state is told after its end; the platform asks for 120 s.
constexpr Milliseconds jobRetention { 150'000 };

// The leader's view of all jobs, and which of them the store does not yet hold as they are.
class JobBook {
public:
    struct Entry {
        explicit Entry(AcceptedJob job)
            : progress(std::move(job))
        {
        }

        JobProgress progress;
        JobState storedState = JobState::Pending; // callers are told no other
        std::uint64_t change = 0; // number of the last change
        std::uint64_t storedChange = 0;
        std::optional<TimePoint> endedAt;
        std::set<WorkerLifetime> failedOn; // workers on which one of its runs has failed
        bool isRowRemoved = false; // the job's own rows; its progress goes after them

        bool isStored() const { return storedChange >= change; }
    };

    // Returns null if the job is known already.
    Entry* add(AcceptedJob);
    Entry* find(const JobId&);
    const Entry* find(const JobId&) const;
    // A cancel request may be read before its job.
    void requestCancel(const JobId&);
    bool isCancelRequested(const JobId& job) const { return m_cancelRequests.contains(job); }

    // To be called once an entry's progress was restored from the store.
    void noteRestored(Entry&, TimePoint now);
    // To be called after each change of an entry's progress.
    void noteChange(Entry&, TimePoint now);
    // A job that is kept no longer and whose own rows are still stored. They go before the progress: a job
    // without progress would run again.
    std::optional<JobId> findExpired(TimePoint now) const;
    // What the store lacks: progress of changed jobs, oldest change first, and the removal of that of jobs
    // whose own rows are gone.
    struct Changes {
        struct Job {
            JobId id;
            std::uint64_t change = 0;
            JobState state = JobState::Pending;
        };
        std::vector<Job> jobs;
        std::vector<JobId> expired;
        std::vector<Row> writes;
        std::vector<RowKey> removals;
    };
    Changes collectChanges(std::size_t limit) const;
    // The store holds these changes now.
    void noteStored(const Changes&);
    bool hasChanges() const { return !m_changed.empty(); }

    // Jobs that have not ended or still have assigned runs.
    std::vector<Entry*> openEntries();
    std::map<std::string, std::uint64_t> waitingJobs() const;
    std::size_t size() const { return m_entries.size(); }

private:
    void noteEnd(Entry&, TimePoint now);
    bool isExpired(const Entry&, TimePoint now) const;

    std::map<JobId, Entry> m_entries;
    std::set<JobId> m_open;
    std::set<JobId> m_cancelRequests;
    std::map<std::uint64_t, JobId> m_changed; // by the number of the last change
    std::set<JobId> m_ended;
    std::uint64_t m_lastChange = 0;
};

} // namespace anvilmoor::batch
