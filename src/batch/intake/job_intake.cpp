#include "batch/intake/job_intake.h"

#include "batch/jobs/cancel_requests.h"
#include "batch/jobs/job_codec.h"
#include "batch/jobs/progress_codec.h"
#include "batch/jobs/storable_job.h"
#include "batch/store/tables.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

namespace {

// For callers that state no timeout.
constexpr Milliseconds defaultCallerTimeout { 3'000 };
// Time reserved for the answer to reach the caller before its timeout.
constexpr Milliseconds answerMargin { 150 };
// A request is abandoned after this time without an answer from the store, because another daemon may still
// reach the store.
constexpr Milliseconds maxWaitWithoutStore { 1'000 };
constexpr Milliseconds readRetryDelay { 40 };
constexpr int maxDoublings = 4;
// How long a caller waits for the number of waiting jobs, until the next leader knows it.
constexpr Milliseconds maxWaitForCount { 1'000 };
constexpr std::size_t jobIdLength = 16;
constexpr std::size_t maxCachedEndStates = 4'096;
// Cancel requests for jobs that are not stored, within their retention. Each is a row in the store and in the
// leader's memory.
constexpr std::size_t maxUnknownCancels = 2'048;

bool isJobId(std::string_view text)
{
    return text.size() == jobIdLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
    });
}

} // namespace

JobIntake::JobIntake(
    const ConfigurationView& configuration, const JobStateProvider& states, const StoreLimits& storeLimits)
    : m_configuration(configuration)
    , m_states(states)
    , m_storeLimits(storeLimits)
    , m_writer(storeLimits)
{
}

const QueueConfiguration* JobIntake::admit(const CallerRequest& request, Step& step) const
{
    const auto refused = [&](AnswerKind kind, const std::string& detail) -> const QueueConfiguration* {
        refuse(request, kind, detail, step);
        return nullptr;
    };
    if (m_isStopped)
        return refused(AnswerKind::ShuttingDown, "this host is stopping; another one answers");
    if (!m_configuration.hasConfiguration())
        return refused(AnswerKind::NoConfiguration, "no configuration has been read yet");
    if (!m_configuration.isConfirmed(step.now))
        return refused(AnswerKind::NoConfiguration, "the configuration cannot be confirmed at present");
    const QueueConfiguration* queue = m_configuration.findQueue(request.host, request.path);
    if (!queue)
        return refused(AnswerKind::NoSuchQueue, "no queue has this host and path");
    if (!queue->isPublic && !m_configuration.findAccount(request.apiKey))
        return refused(AnswerKind::UnknownKey, "no client account has this key");
    return queue;
}

void JobIntake::requested(const CallerRequest& request, Step& step)
{
    const QueueConfiguration* queue = admit(request, step);
    if (!queue)
        return;
    const std::string id = request.path.substr(queue->pathPrefix.size());
    if (request.action == CallerAction::Query && id.empty()) {
        count(request, *queue, step);
        return;
    }
    if (!isJobId(id)) {
        refuse(request, AnswerKind::Malformed, "the path does not end with a job id of 16 hexadecimal digits",
            step);
        return;
    }
    switch (request.action) {
    case CallerAction::Submit:
        submit(request, *queue, JobId(id), step);
        return;
    case CallerAction::Cancel:
        cancel(request, JobId(id), step);
        return;
    default:
        query(request, JobId(id), step);
        return;
    }
}

void JobIntake::submit(
    const CallerRequest& caller, const QueueConfiguration& queue, const JobId& id, Step& step)
{
    const std::size_t bodyLimit = m_configuration.current().maxBodyBytes;
    if (!caller.problem.empty()) {
        refuse(caller, AnswerKind::Malformed, caller.problem, step);
        return;
    }
    if (bodyLimit && caller.bodyBytes > bodyLimit) {
        refuse(caller, AnswerKind::TooLarge, fmt::format("the body has more than {} bytes", bodyLimit), step);
        return;
    }
    const ClientAccountConfiguration* account = m_configuration.findAccount(caller.apiKey);
    AcceptedJob job { caller.specification, {}, step.wallTime };
    job.specification.id = id;
    job.terms = { queue.name, queue.service, account ? account->name : ClientAccountId(), queue.priority,
        queue.maxAttempts, queue.stretch, queue.latencyTarget };
    Row row { jobKey(id), encodeJob(job) };
    if (const auto reason = reasonNotStorable(job.specification, row, m_storeLimits)) {
        refuse(caller, AnswerKind::TooLarge, *reason, step);
        return;
    }
    Request request { caller.caller, CallerAction::Submit, id };
    request.queue = queue.name;
    request.priority = queue.priority;
    request.account = job.terms.account;
    request.shape = describeShape(job.specification);
    request.row = std::move(row);
    request.answerBy = step.now + (caller.timeout.count() ? caller.timeout : defaultCallerTimeout);
    open(std::move(request), step);
}

bool JobIntake::mayBeStored(const CallerRequest& request, TimePoint now) const
{
    if (request.action != CallerAction::Submit || request.path.size() < jobIdLength)
        return false;
    const std::string id = request.path.substr(request.path.size() - jobIdLength);
    return isJobId(id) && m_writer.mayBeStored(jobKey(JobId(id)), now);
}

void JobIntake::refuse(
    const CallerRequest& caller, AnswerKind kind, const std::string& detail, Step& step) const
{
    const bool deniesJob = kind == AnswerKind::NoConfiguration || kind == AnswerKind::ShuttingDown;
    const bool isUnknown = deniesJob && mayBeStored(caller, step.now);
    step.record("request.refused",
        { { "path", caller.path }, { "reason", detail },
            { "configuration", std::to_string(m_configuration.current().version) },
            { "confirmed_ms_ago", std::to_string(m_configuration.age(step.now).count()) },
            { "may_be_stored", isUnknown ? "yes" : "no" } });
    if (isUnknown)
        kind = AnswerKind::OutcomeUnknown;
    AnswerCaller refusal { caller.caller, kind };
    refusal.detail = detail;
    step.emit(std::move(refusal));
}

void JobIntake::query(const CallerRequest& caller, const JobId& id, Step& step)
{
    Request request { caller.caller, CallerAction::Query, id, Stage::ReadingProgress };
    request.answerBy = step.now + (caller.timeout.count() ? caller.timeout : defaultCallerTimeout);
    const auto ended = m_endStates.find(id);
    if (ended != m_endStates.end()) {
        answer(request, AnswerKind::State, step, ended->second);
        return;
    }
    if (const auto state = m_states.stateOf(id, step.now)) {
        answer(request, AnswerKind::State, step, *state);
        return;
    }
    open(std::move(request), step);
}

void JobIntake::cancel(const CallerRequest& caller, const JobId& id, Step& step)
{
    Request request { caller.caller, CallerAction::Cancel, id, Stage::ReadingJob };
    request.answerBy = step.now + (caller.timeout.count() ? caller.timeout : defaultCallerTimeout);
    open(std::move(request), step);
}

void JobIntake::count(const CallerRequest& caller, const QueueConfiguration& queue, Step& step)
{
    Request request { caller.caller, CallerAction::Query, {}, Stage::AwaitingCount };
    request.queue = queue.name;
    if (answerCount(request, step))
        return;
    const Milliseconds timeout = caller.timeout.count() ? caller.timeout : defaultCallerTimeout;
    request.answerBy = step.now + std::min(timeout, maxWaitForCount);
    open(std::move(request), step);
}

bool JobIntake::answerCount(const Request& request, Step& step) const
{
    const auto waiting = m_states.waitingJobs(request.queue, step.now);
    if (!waiting)
        return false;
    AnswerCaller answer { request.caller, AnswerKind::Count };
    answer.count = *waiting;
    step.emit(std::move(answer));
    return true;
}

void JobIntake::open(Request request, Step& step)
{
    const RequestId id = ++m_lastRequest;
    Request& opened = m_requests.emplace(id, std::move(request)).first->second;
    opened.receivedAt = step.now;
    opened.answerBy -= answerMargin;
    if (opened.stage == Stage::Storing)
        store(id, opened, step);
    else if (opened.stage != Stage::AwaitingCount)
        read(id, opened, step);
}

void JobIntake::store(RequestId id, Request& request, Step& step)
{
    request.stage = Stage::Storing;
    const bool mustBeNew = request.action == CallerAction::Submit;
    // The row is sent at least once, also for a caller whose timeout is shorter than the margin.
    const TimePoint sendBefore = std::max(request.answerBy, step.now + tickInterval);
    m_writer.write(id, *request.row, mustBeNew, sendBefore, step);
}

void JobIntake::read(RequestId id, Request& request, Step& step)
{
    request.read = ++m_lastOperation | intakeOperationBit;
    request.readAgainAt.reset();
    m_reads.emplace(request.read, id);
    const RowKey from
        = request.stage == Stage::ReadingProgress ? progressKey(request.job) : jobKey(request.job);
    step.emit(ReadRows { request.read, from, from.key + '!' });
}

void JobIntake::callerGone(const CallerGone& gone)
{
    for (auto& [id, request] : m_requests) {
        if (request.caller == gone.caller)
            request.answerBy = TimePoint::min();
    }
}

void JobIntake::answer(const Request& request, AnswerKind kind, Step& step, JobState state)
{
    AnswerCaller result { request.caller, kind, state };
    step.emit(std::move(result));
    if (kind == AnswerKind::OutcomeUnknown)
        step.warn("request.outcome_unknown",
            { { "job", request.job.value() }, { "failed_reads", std::to_string(request.failedReads) },
                { "waited_ms", std::to_string((step.now - request.receivedAt).count()) } });
}

void JobIntake::finish(RequestId id)
{
    const auto found = m_requests.find(id);
    m_reads.erase(found->second.read);
    m_writer.forget(id);
    m_requests.erase(found);
}

void JobIntake::recordAcceptance(const Request& request, Step& step)
{
    step.record("job.accepted",
        { { "job", request.job.value() }, { "queue", request.queue },
            { "priority", std::to_string(request.priority) }, { "account", request.account.value() },
            { "shape", request.shape },
            { "waited_ms", std::to_string((step.now - request.receivedAt).count()) } });
}

void JobIntake::commitAnswered(const CommitAnswered& answered, Step& step)
{
    const RowWriter::Result result = m_writer.answered(answered, step);
    for (const RowWriter::Ticket ticket : result.stored)
        stored(ticket, step);
    for (const RowWriter::Ticket ticket : result.rejected)
        rejected(ticket, step);
}

void JobIntake::rejected(RequestId id, Step& step)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    const Request& request = found->second;
    step.warn("request.row_rejected",
        { { "job", request.job.value() }, { "bytes", std::to_string(request.row->value.size()) } });
    AnswerCaller refusal { request.caller, AnswerKind::TooLarge };
    refusal.detail = "the store does not take the job";
    step.emit(std::move(refusal));
    finish(id);
}

void JobIntake::stored(RequestId id, Step& step)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    const Request& request = found->second;
    const bool isSubmission = request.action == CallerAction::Submit;
    if (isSubmission)
        recordAcceptance(request, step);
    const AnswerKind cancelled = request.isUnknownJob ? AnswerKind::NoSuchJob : AnswerKind::Cancelled;
    answer(request, isSubmission ? AnswerKind::Accepted : cancelled, step);
    finish(id);
}

void JobIntake::readAnswered(const ReadAnswered& answered, Step& step)
{
    const auto awaited = m_reads.find(answered.operation);
    if (awaited == m_reads.end())
        return;
    const RequestId id = awaited->second;
    m_reads.erase(awaited);
    Request& request = m_requests.at(id);
    if (!answered.reply.isOk) {
        const Milliseconds delay = readRetryDelay * (1 << std::min(request.failedReads, maxDoublings));
        ++request.failedReads;
        request.readAgainAt = step.now + delay;
        return;
    }
    if (request.stage == Stage::ReadingProgress)
        progressRead(id, request, answered.reply.rows, step);
    else
        jobRead(id, request, !answered.reply.rows.empty(), step);
}

void JobIntake::progressRead(RequestId id, Request& request, const std::vector<Row>& rows, Step& step)
{
    if (rows.empty()) {
        // No progress is stored before the job's first run.
        request.stage = Stage::ReadingJob;
        read(id, request, step);
        return;
    }
    const auto state = decodeJobState(rows.front().value);
    if (state) {
        if (isTerminal(*state) && m_endStates.size() < maxCachedEndStates)
            m_endStates.emplace(request.job, *state);
        answer(request, AnswerKind::State, step, *state);
    } else {
        step.warn(
            "store.unreadable_row", { { "job", request.job.value() }, { "reason", state.error().detail } });
        answer(request, AnswerKind::OutcomeUnknown, step);
    }
    finish(id);
}

void JobIntake::jobRead(RequestId id, Request& request, bool exists, Step& step)
{
    if (request.action == CallerAction::Cancel) {
        storeCancel(id, request, exists, step);
        return;
    }
    answer(request, exists ? AnswerKind::State : AnswerKind::NoSuchJob, step, JobState::Pending);
    finish(id);
}

void JobIntake::storeCancel(RequestId id, Request& request, bool isJobStored, Step& step)
{
    if (!isJobStored && !admitsUnknownCancel(step.now)) {
        step.warn("request.too_many_cancels", { { "job", request.job.value() } });
        answer(request, AnswerKind::TooManyCancels, step);
        finish(id);
        return;
    }
    request.isUnknownJob = !isJobStored;
    request.row = Row { cancelKey(request.job), "cancel" };
    store(id, request, step);
}

bool JobIntake::admitsUnknownCancel(TimePoint now)
{
    while (!m_unknownCancels.empty() && now >= m_unknownCancels.front() + cancelRetention)
        m_unknownCancels.pop_front();
    if (m_unknownCancels.size() >= maxUnknownCancels)
        return false;
    m_unknownCancels.push_back(now);
    return true;
}

bool JobIntake::shouldAbandon(const Request& request, TimePoint now) const
{
    const bool isSlow = now >= request.receivedAt + maxWaitWithoutStore;
    return now >= request.answerBy || (isSlow && !m_configuration.isFresh(now, maxWaitWithoutStore));
}

void JobIntake::tick(Step& step)
{
    m_writer.tick(step);
    std::vector<RequestId> answered;
    std::vector<RequestId> abandoned;
    for (auto& [id, request] : m_requests) {
        if (shouldAbandon(request, step.now))
            abandoned.push_back(id);
        else if (request.stage == Stage::AwaitingCount && answerCount(request, step))
            answered.push_back(id);
        else if (request.readAgainAt && step.now >= *request.readAgainAt)
            read(id, request, step);
    }
    for (const RequestId id : answered)
        finish(id);
    for (const RequestId id : abandoned)
        abandon(id, step);
}

void JobIntake::stop(Step& step)
{
    m_isStopped = true;
    while (!m_requests.empty())
        abandon(m_requests.begin()->first, step);
}

void JobIntake::abandon(RequestId id, Step& step)
{
    const Request& request = m_requests.at(id);
    const bool isCallerGone = request.answerBy == TimePoint::min();
    if (!isCallerGone && request.stage == Stage::AwaitingCount) {
        step.warn("request.count_unknown",
            { { "queue", request.queue },
                { "waited_ms", std::to_string((step.now - request.receivedAt).count()) } });
        AnswerCaller unknown { request.caller, AnswerKind::CountUnknown };
        unknown.detail = "the number of waiting jobs is not known at present";
        step.emit(std::move(unknown));
    } else if (!isCallerGone) {
        answer(request, AnswerKind::OutcomeUnknown, step);
    }
    finish(id);
}

} // namespace anvilmoor::batch
