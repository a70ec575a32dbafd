#pragma once

#include "anvilmoor/event.h"
#include "core/step.h"
#include "core/views.h"
#include "jobs/job_codec.h"
#include "jobs/operation_counter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace anvilmoor {

// A job row as last read or written.
struct JobEntry {
    JobRecord record;
    RowVersion version = 0;
    std::string value; // the row's content as stored
    bool isCancelRequested = false;
    TimePoint knownAt {}; // the row is not older than this
};

// Keeps a copy of one zone's job rows. Reads rows by prefix or individually, and writes rows until they have
// the desired content. Each write is conditional on the versions of the owner row and the job row. A conflict
// or a lost reply is resolved by reading the row again.
class JobStore {
public:
    JobStore(AvailabilityZoneId, std::string ownerKey, OperationCounter&);

    const std::map<JobId, JobEntry>& jobs() const { return m_jobs; }
    // Null if unknown.
    const JobEntry* find(const JobId&) const;

    // Reads all rows of jobs that have not ended, unless a poll is in flight.
    void poll(Step&);
    // Reads what submitters have written: the markers of new jobs, and cancellations. Does nothing while a
    // poll is in flight. Reads all rows, as poll() does, if no complete poll has succeeded yet or the last
    // one is too old.
    void pollSubmissions(Step&);
    // When the last successful complete poll was sent; empty before the first and after forgetOperations().
    std::optional<TimePoint> lastPoll() const { return m_lastPoll; }
    // When the table last answered a poll; empty before the first answer and after forgetOperations().
    std::optional<TimePoint> lastAnswer() const { return m_lastAnswer; }
    // Reads one job row and its cancellation.
    void read(const JobId&, Step&);
    // Adds a row that this daemon has written or read in a submitter's call.
    void adopt(const TableRow&, Step&);

    // Writes the row until it has this content. Replaces desired content that is not stored yet. Does nothing
    // for an unknown or ended job.
    void put(const JobId&, JobRecord, const HeldRole&, Step&);
    // True while the row may differ from the content last passed to put().
    bool isWriting(const JobId& job) const { return m_writes.contains(job); }
    std::size_t writesPending() const { return m_writes.size(); }

    // Sends the writes and reads that are due, and deletes a batch of markers of jobs that are known.
    void tick(const HeldRole&, Step&);
    // Deletes a batch of rows: those of jobs that ended longer ago than the retention period, and
    // cancellations without a job to cancel. Drops jobs that ended a while ago from memory.
    void removeExpired(const HeldRole&, Step&);

    // To be called when the role has changed hands. Drops pending writes and ignores replies to operations in
    // flight.
    void forgetOperations();

    // False if the operation is not one of the store's.
    bool handle(const TableReplied&, const std::optional<HeldRole>&, Step&);

    // Returns the jobs whose entry has changed or whose write was stored since the last call, in order of id.
    std::set<JobId> takeChanged();
    // True if a write was rejected because the owner row has changed. Reset by forgetOperations().
    bool isFenced() const { return m_isFenced; }
    std::size_t malformedRows() const { return m_malformed.size(); }

private:
    enum class WriteStage { MustWrite, Writing, MustRead, Reading };

    struct PendingWrite {
        JobRecord wanted;
        std::string wantedValue;
        JobRecord sent;
        std::string sentValue;
        WriteStage stage = WriteStage::MustWrite;
        std::uint64_t operation = 0;
        TimePoint sentAt {};
        TimePoint dueAt {};
    };

    void sendWrite(const JobId&, PendingWrite&, const HeldRole&, Step&);
    void sendRead(const JobId&, PendingWrite&, Step&);
    // Registers the write's next operation. The caller must emit it.
    OperationId begin(const JobId&, PendingWrite&, WriteStage, Step&);
    void advance(const JobId&, PendingWrite&, const HeldRole&, Step&);
    void writeReplied(const JobId&, const TableReply&, const std::optional<HeldRole>&, Step&);
    void readBackReplied(const JobId&, const TableReply&, const std::optional<HeldRole>&, Step&);
    void finishWrite(const JobId&);
    void ended(const JobId&, const JobStatus&);

    // Defined in job_store_reads.cpp:
    void pollReplied(const TableReply&, Step&);
    void takeAllRows(const TableReply&);
    void takeMarkers(const TableReply&, Step&);
    void takeExpiries(const TableReply&);
    void readReplied(const JobId&, const TableReply&);
    // Updates the entry of the row's job. Returns the job, or nothing if the row is malformed.
    std::optional<JobId> take(const TableRow&, TimePoint knownAt);
    void takeCancellation(const TableRow&);

    // Defined in job_store_cleanup.cpp:
    void deleteMarkers(const HeldRole&, Step&);
    void forgetEnded(TimePoint now);

    AvailabilityZoneId m_zone;
    std::string m_ownerKey;
    std::string m_jobPrefix;
    std::string m_cancelPrefix;
    std::string m_newPrefix;
    std::string m_expiryPrefix;
    OperationCounter& m_counter;

    std::map<JobId, JobEntry> m_jobs;
    std::map<JobId, PendingWrite> m_writes;
    std::map<std::uint64_t, JobId> m_writeOperations; // writes, and reads after a failed write, in flight
    std::map<std::uint64_t, JobId> m_reads;
    std::map<std::uint64_t, TimePoint> m_removals; // deletions in flight, and when they were sent
    std::uint64_t m_pollOperation = 0; // 0: none in flight
    TimePoint m_pollSentAt {};
    bool m_isPollComplete = false; // the poll in flight reads all rows
    std::optional<TimePoint> m_lastPoll;
    std::optional<TimePoint> m_lastAnswer;
    std::set<JobId> m_changed;
    std::set<JobId> m_deletableMarkers; // of jobs that are known or have ended
    std::uint64_t m_expiryOperation = 0; // read of all expiry rows in a new term; 0: none in flight
    bool m_areExpiriesRead = false;
    TimePoint m_expirySentAt {};
    std::map<JobId, JobExpiryRecord> m_expiries;
    std::set<JobId> m_uselessCancellations;
    std::map<std::string, RowVersion> m_malformed;
    bool m_isFenced = false;
};

} // namespace anvilmoor
