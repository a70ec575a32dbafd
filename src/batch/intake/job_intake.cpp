#include "batch/intake/job_intake.h"

#include "batch/jobs/job_codec.h"
#include "batch/store/tables.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>
#include <vector>

namespace anvilmoor::batch {

namespace {

// A caller that states no timeout.
constexpr Milliseconds defaultCallerTimeout { 3'000 };
// The answer has to reach the caller before its timeout.
constexpr Milliseconds answerMargin { 150 };
// While the store does not answer, a request is kept this long; another daemon may still reach the store.
constexpr Milliseconds longestWithoutStore { 900 };
constexpr Milliseconds repeatDelay { 60 };
constexpr std::size_t jobIdLength = 16;
constexpr std::size_t mostEndStates = 4'096;

// "4x8" for a step of four tasks with eight accelerators each; "g" marks a gang, "r" one that needs one rack.
std::string shapeOf(const JobSpecification& job)
{
    std::string shape;
    for (const StepSpecification& step : job.steps)
        shape += fmt::format("{}{}x{}{}{}", shape.empty() ? "" : "+", step.taskCount,
            step.perTask.accelerators, step.isGang ? "g" : "", step.needsOneRack ? "r" : "");
    return shape;
}

bool isJobId(std::string_view text)
{
    return text.size() == jobIdLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
    });
}

} // namespace

JobIntake::JobIntake(const ConfigurationView& configuration, const JobStates& states)
    : m_configuration(configuration)
    , m_states(states)
{
}

const QueueConfiguration* JobIntake::admit(const CallerRequest& request, Step& step) const
{
    const auto refuse = [&](AnswerKind kind, std::string detail) -> const QueueConfiguration* {
        AnswerCaller refusal { request.caller, kind };
        refusal.detail = std::move(detail);
        step.emit(std::move(refusal));
        return nullptr;
    };
    if (!m_configuration.hasConfiguration())
        return refuse(AnswerKind::NoConfiguration, "no configuration has been read yet");
    if (!m_configuration.isConfirmed(step.now))
        return refuse(AnswerKind::NoConfiguration, "the configuration cannot be confirmed at present");
    const QueueConfiguration* queue = m_configuration.findQueue(request.host, request.path);
    if (!queue)
        return refuse(AnswerKind::NoSuchQueue, "no queue has this host and path");
    if (!queue->isPublic && !m_configuration.findAccount(request.apiKey))
        return refuse(AnswerKind::UnknownKey, "no client account has this key");
    return queue;
}

void JobIntake::requested(const CallerRequest& request, Step& step)
{
    const QueueConfiguration* queue = admit(request, step);
    if (!queue)
        return;
    const std::string id = request.path.substr(queue->pathPrefix.size());
    if (request.action == CallerAction::Query && id.empty()) {
        AnswerCaller count { request.caller, AnswerKind::Count };
        count.count = m_states.waitingJobs(queue->name);
        step.emit(std::move(count));
        return;
    }
    if (!isJobId(id)) {
        AnswerCaller malformed { request.caller, AnswerKind::Malformed };
        malformed.detail = "the path does not end with a job id of 16 hexadecimal digits";
        step.emit(std::move(malformed));
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

void JobIntake::submit(const CallerRequest& caller, const QueueConfiguration& queue, JobId id, Step& step)
{
    const std::size_t bodyLimit = m_configuration.current().maxBodyBytes;
    if (!caller.problem.empty() || (bodyLimit && caller.bodyBytes > bodyLimit)) {
        AnswerCaller refusal { caller.caller,
            caller.problem.empty() ? AnswerKind::TooLarge : AnswerKind::Malformed };
        refusal.detail = caller.problem;
        step.emit(std::move(refusal));
        return;
    }
    const ClientAccountConfiguration* account = m_configuration.findAccount(caller.apiKey);
    AcceptedJob job { caller.specification, {}, step.wallTime };
    job.specification.id = id;
    job.terms = { queue.name, queue.service, account ? account->name : ClientAccountId(), queue.priority,
        queue.maxAttempts, queue.stretch, queue.latencyTarget };
    Request request { caller.caller, CallerAction::Submit, id };
    request.queue = queue.name;
    request.priority = queue.priority;
    request.account = job.terms.account;
    request.shape = shapeOf(job.specification);
    request.transaction.expected.push_back({ jobKey(id), 0 });
    request.transaction.writes.push_back({ jobKey(id), encodeJob(job) });
    request.answerBy = step.now + (caller.timeout.count() ? caller.timeout : defaultCallerTimeout);
    open(std::move(request), step);
}

void JobIntake::query(const CallerRequest& caller, JobId id, Step& step)
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

void JobIntake::cancel(const CallerRequest& caller, JobId id, Step& step)
{
    Request request { caller.caller, CallerAction::Cancel, id, Stage::ReadingJob };
    request.answerBy = step.now + (caller.timeout.count() ? caller.timeout : defaultCallerTimeout);
    open(std::move(request), step);
}

void JobIntake::open(Request request, Step& step)
{
    request.receivedAt = step.now;
    request.answerBy -= answerMargin;
    send(request, step);
    m_requests.emplace(request.operation, std::move(request));
}

void JobIntake::send(Request& request, Step& step)
{
    request.operation = ++m_lastOperation | intakeOperationBit;
    request.repeatAt.reset();
    ++request.attempts;
    if (request.stage == Stage::Storing) {
        step.emit(Commit { request.operation, request.transaction });
        return;
    }
    const RowKey from
        = request.stage == Stage::ReadingProgress ? progressKey(request.job) : jobKey(request.job);
    step.emit(ReadRows { request.operation, from, from.key + '!' });
}

void JobIntake::callerGone(const CallerGone& gone)
{
    for (auto& [operation, request] : m_requests) {
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
            { { "job", request.job.value() }, { "attempts", std::to_string(request.attempts) },
                { "waited_ms", std::to_string((step.now - request.receivedAt).count()) } });
}

void JobIntake::finish(OperationId operation) { m_requests.erase(operation); }

void JobIntake::failed(Request& request, Step& step) { request.repeatAt = step.now + repeatDelay; }

void JobIntake::recordAcceptance(const Request& request, Step& step)
{
    step.record("job.accepted",
        { { "job", request.job.value() }, { "queue", request.queue },
            { "priority", std::to_string(request.priority) }, { "account", request.account.value() },
            { "shape", request.shape }, { "attempts", std::to_string(request.attempts) },
            { "waited_ms", std::to_string((step.now - request.receivedAt).count()) } });
}

void JobIntake::commitAnswered(const CommitAnswered& answered, Step& step)
{
    const auto found = m_requests.find(answered.operation);
    if (found == m_requests.end())
        return;
    Request& request = found->second;
    const bool isStored = answered.reply.outcome == CommitOutcome::Applied
        // The row is there already: by this request's first copy, or by an earlier one of the caller.
        || answered.reply.outcome == CommitOutcome::Conflict;
    if (!isStored) {
        failed(request, step);
        return;
    }
    if (request.action == CallerAction::Submit)
        recordAcceptance(request, step);
    answer(
        request, request.action == CallerAction::Submit ? AnswerKind::Accepted : AnswerKind::Cancelled, step);
    finish(answered.operation);
}

void JobIntake::readAnswered(const ReadAnswered& answered, Step& step)
{
    const auto found = m_requests.find(answered.operation);
    if (found == m_requests.end())
        return;
    Request& request = found->second;
    if (!answered.reply.isOk) {
        failed(request, step);
        return;
    }
    const bool exists = !answered.reply.rows.empty();
    if (request.stage == Stage::ReadingJob) {
        jobRead(request, exists, step);
    } else if (exists) {
        const auto state = decodeJobState(answered.reply.rows.front().value);
        if (!state) {
            step.warn("store.unreadable_row",
                { { "job", request.job.value() }, { "reason", state.error().detail } });
            answer(request, AnswerKind::OutcomeUnknown, step);
            finish(answered.operation);
            return;
        }
        if (isTerminal(*state) && m_endStates.size() < mostEndStates)
            m_endStates.emplace(request.job, *state);
        answer(request, AnswerKind::State, step, *state);
        finish(answered.operation);
        return;
    } else {
        // No progress is stored before the job's first run.
        request.stage = Stage::ReadingJob;
        send(request, step);
    }
    if (request.operation == answered.operation) {
        finish(answered.operation);
        return;
    }
    auto node = m_requests.extract(found);
    node.key() = node.mapped().operation;
    m_requests.insert(std::move(node));
}

void JobIntake::jobRead(Request& request, bool exists, Step& step)
{
    if (!exists) {
        answer(request, AnswerKind::NoSuchJob, step);
        return;
    }
    if (request.action == CallerAction::Query) {
        answer(request, AnswerKind::State, step, JobState::Pending);
        return;
    }
    request.stage = Stage::Storing;
    request.transaction.writes.push_back({ cancelKey(request.job), "cancel" });
    send(request, step);
}

void JobIntake::tick(Step& step)
{
    std::vector<OperationId> due;
    for (const auto& [operation, request] : m_requests) {
        const bool isStoreSilent = request.attempts > 1 && request.repeatAt
            && step.now >= request.receivedAt + longestWithoutStore;
        if (step.now >= request.answerBy || isStoreSilent
            || (request.repeatAt && step.now >= *request.repeatAt))
            due.push_back(operation);
    }
    for (const OperationId operation : due) {
        auto node = m_requests.extract(operation);
        Request& request = node.mapped();
        const bool isOver = step.now >= request.answerBy
            || (request.attempts > 1 && step.now >= request.receivedAt + longestWithoutStore);
        if (isOver) {
            if (request.answerBy != TimePoint::min())
                answer(request, AnswerKind::OutcomeUnknown, step);
            continue;
        }
        send(request, step);
        node.key() = request.operation;
        m_requests.insert(std::move(node));
    }
}

} // namespace anvilmoor::batch
