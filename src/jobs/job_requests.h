#pragma once

#include "anvilmoor/event.h"
#include "core/step.h"
#include "core/views.h"
#include "jobs/job_admission.h"
#include "jobs/job_store.h"
#include "jobs/operation_counter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace anvilmoor {

// Serves submissions, queries and cancellations on every daemon, whether or not it holds a role. Writes the
// rows of new jobs and cancellations to the table, and reads rows for queries. Reports a job as accepted only
// once its row is known to be in the table.
class JobRequests {
public:
    // Returns the reason why a queued job waits, as known to this daemon as holder of the zone's role. Empty
    // if unknown.
    using WaitReason = std::function<std::string(const JobId&)>;

    JobRequests(const DaemonSettings&, const JobAdmission&, JobStore& own, OperationCounter&, WaitReason);

    void handle(const JobSubmitted&, const ZoneSummary* own, Step&);
    void handle(const JobQueried&, Step&);
    void handle(const JobsListed&, const Configuration*, Step&);
    void handle(const JobCancelRequested&, Step&);
    // False if the operation belongs to none of the open calls.
    bool handle(const TableReplied&, Step&);
    void tick(Step&);

    // Refuses new calls.
    void beginShutdown() { m_isStopping = true; }
    bool isIdle() const { return m_calls.empty(); }

private:
    enum class Stage {
        Writing,
        ReadingBack,
        ReadingExisting,
        ReadingBeforeRefusal,
        Querying,
        Listing,
        ReadingForCancel,
        Cancelling
    };

    // A caller's open call. It has at most one table operation in flight.
    struct Call {
        CallerHandle caller = 0;
        Stage stage = Stage::Querying;
        JobId job;
        JobRecord record; // submission: to be written; cancellation: as read
        std::string digest;
        ClientAccountId account; // listing
        Refusal refusal; // submission: the answer, unless it repeats an accepted job
        int tries = 0;
        bool mayHaveWritten = false;
        TimePoint sentAt {};
    };

    bool accept(CallerHandle, Step&);
    void readJob(CallerHandle, const JobId&, Stage, Step&);
    // Registers the call under a new operation. The caller must emit the operation.
    OperationId open(Call, Step&);
    void sendCreate(Call, Step&);
    void sendRead(Call, std::vector<std::string> keys, Step&);
    void sendCancel(Call, Step&);
    void refuse(const Call&, RefusalKind, std::string reason, Step&);
    void refuseMissing(const Call&, Step&);
    void answer(const Call&, const JobRecord&, Step&);

    // Refuses a submission, unless it repeats one that was accepted under an earlier configuration.
    void refuseUnlessKnown(const JobSubmitted&, Refusal, Step&);
    void beforeRefusalReplied(Call, const TableReply&, Step&);
    void readExisting(Call, const JobKeyRecord&, Step&);
    void refuseOtherContent(const Call&, Step&);
    void createReplied(Call, const TableReply&, Step&);
    void readBackReplied(Call, const TableReply&, Step&);
    void existingReplied(const Call&, const TableReply&, Step&);
    void queryReplied(const Call&, const TableReply&, Step&);
    void listReplied(const Call&, const TableReply&, Step&);
    void cancelReadReplied(Call, const TableReply&, Step&);
    void cancelReplied(Call, const TableReply&, Step&);
    void accepted(const Call&, RowVersion, Step&);
    void notify(const JobId&, Step&);

    const DaemonSettings& m_settings;
    const JobAdmission& m_admission;
    JobStore& m_store;
    OperationCounter& m_counter;
    WaitReason m_waitReason;
    std::map<std::uint64_t, Call> m_calls; // by operation
    bool m_isStopping = false;
};

} // namespace anvilmoor
