#pragma once

#include "anvilmoor/batch/effect.h"
#include "anvilmoor/batch/event.h"
#include "batch/intake/configuration_view.h"
#include "batch/intake/row_writer.h"
#include "batch/reducer/step.h"
#include "batch/store/operation_bits.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilmoor::batch {

// Gives access to the leader's state of jobs if the leader runs in this process.
class JobStateProvider {
public:
    virtual ~JobStateProvider() = default;

    // Empty if the state is not known in this process and has to be read from the store.
    virtual std::optional<JobState> stateOf(const JobId&, TimePoint now) const = 0;
    // Number of accepted jobs of the queue that have not begun, as last published by the leader. Empty if
    // that is not known, or was too long ago.
    virtual std::optional<std::uint64_t> waitingJobs(const std::string& queue, TimePoint now) const = 0;
};

// Serves callers on any daemon. A job is accepted once its row is stored, so that an accepted job survives
// the loss of any daemon. Only the store decides whether a job exists: a caller receives "not accepted" or
// "no such job" only on the basis of an answer of the store, and "unknown" if the store does not answer in
// time.
//
// A cancel request is stored before it is answered, also if no such job is stored: a copy of the job may
// still be under way to the store, from any daemon, and must not run.
class JobIntake {
public:
    JobIntake(const ConfigurationView&, const JobStateProvider&, const StoreLimits&);

    void requested(const CallerRequest&, Step&);
    void callerGone(const CallerGone&);
    void commitAnswered(const CommitAnswered&, Step&);
    void readAnswered(const ReadAnswered&, Step&);
    void tick(Step&);
    // Answers all open requests, as the process ends. Later requests are refused.
    void stop(Step&);

    std::size_t openRequests() const { return m_requests.size(); }

private:
    enum class Stage {
        Storing, // the job's row or the cancel request
        ReadingProgress,
        ReadingJob,
        AwaitingCount, // of the waiting jobs
    };

    using RequestId = std::uint64_t;

    struct Request {
        CallerHandle caller = 0;
        CallerAction action = CallerAction::Query;
        JobId job;
        Stage stage = Stage::Storing;
        std::optional<Row> row; // to be stored
        bool isUnknownJob = false; // of a cancel request: no such job is stored
        std::string queue; // of a submission or a count
        // For the log event of a submission.
        int priority = 0;
        ClientAccountId account;
        std::string shape;
        TimePoint receivedAt {};
        TimePoint answerBy {};
        OperationId read = 0; // the read that is awaited
        std::optional<TimePoint> readAgainAt;
        int failedReads = 0;
    };

    // Whether this daemon may have stored the job that the request submits, for an earlier request.
    bool mayBeStored(const CallerRequest&, TimePoint now) const;
    // Null if the request was refused; the caller has then been answered.
    const QueueConfiguration* admit(const CallerRequest&, Step&) const;
    void submit(const CallerRequest&, const QueueConfiguration&, const JobId&, Step&);
    void refuse(const CallerRequest&, AnswerKind, const std::string& detail, Step&) const;
    void query(const CallerRequest&, const JobId&, Step&);
    void cancel(const CallerRequest&, const JobId&, Step&);
    void count(const CallerRequest&, const QueueConfiguration&, Step&);
    // Returns false if the number is not known.
    bool answerCount(const Request&, Step&) const;
    void abandon(RequestId, Step&);
    static void recordAcceptance(const Request&, Step&);
    void open(Request, Step&);
    void store(RequestId, Request&, Step&);
    void read(RequestId, Request&, Step&);
    void stored(RequestId, Step&);
    void rejected(RequestId, Step&);
    void progressRead(RequestId, Request&, const std::vector<Row>&, Step&);
    void jobRead(RequestId, Request&, bool exists, Step&);
    void storeCancel(RequestId, Request&, bool isJobStored, Step&);
    // Returns false if too many cancel requests for unknown jobs are in force.
    bool admitsUnknownCancel(TimePoint now);
    bool shouldAbandon(const Request&, TimePoint now) const;
    static void answer(const Request&, AnswerKind, Step&, JobState = JobState::Pending);
    void finish(RequestId);

    const ConfigurationView& m_configuration;
    const JobStateProvider& m_states;
    const StoreLimits m_storeLimits;
    RowWriter m_writer;
    std::map<RequestId, Request> m_requests;
    std::map<OperationId, RequestId> m_reads;
    std::map<JobId, JobState> m_endStates; // of jobs known to have ended; these states are final
    RequestId m_lastRequest = 0;
    std::deque<TimePoint> m_unknownCancels; // those that may still be in force, oldest first
    bool m_isStopped = false;
    OperationId m_lastOperation = 0;
};

} // namespace anvilmoor::batch
