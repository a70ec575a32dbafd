#include "requests/request_broker.h"

#include <algorithm>
#include <string_view>

namespace anvilmoor {

namespace {

constexpr std::chrono::minutes maxClockLead { 5 }; // of a caller's clock over this daemon's clock
constexpr std::chrono::minutes maxDeadline { 10 };
constexpr std::size_t maxKeyBytes = 200;
constexpr std::size_t maxCallers = 32'768;
// Bodies and unwritten responses together. Leaves most of a daemon's 128 MB for its other data.
constexpr std::size_t maxHeldBytes = 32U << 20U;
// The other half of the held bytes stays available to new requests while responses cannot be stored.
constexpr std::size_t maxUnwrittenBytes = maxHeldBytes / 2;
constexpr std::size_t maxUnwrittenOutcomes = 8'192;
// At shutdown, for recording outcomes after the last request is answered.
constexpr Seconds outcomeTimeout { 10 };
constexpr Milliseconds callerRetryDelay { 1'000 };

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

RequestAnswer makeAnswer(RequestOutcome outcome, std::string reason, Milliseconds retryAfter = {})
{
    return { outcome, {}, std::move(reason), retryAfter, false };
}

} // namespace

RequestBroker::RequestBroker(const DaemonSettings& settings, const ConfigurationView& configuration,
    const EndpointDirectory& directory, EndpointObserver& observer, const PeerDirectory& peers,
    AdmissionPolicy& admission, RoutingPolicy& routing)
    : m_settings(settings)
    , m_configuration(configuration)
    , m_directory(directory)
    , m_observer(observer)
    , m_peers(peers)
    , m_admission(admission)
    , m_routing(routing)
    // The first ids are hashed from the incarnation, so that different incarnations do not use the same ids.
    , m_lastCall(settings.incarnation * 0x9e3779b97f4a7c15ULL)
    , m_lastLookup(settings.incarnation * 0xbf58476d1ce4e5b9ULL)
{
}

RequestBroker::Execution& RequestBroker::create(RequestIdentity identity)
{
    const RequestNumber number = ++m_lastNumber;
    Execution& execution = m_executions[number];
    execution.number = number;
    execution.identity = std::move(identity);
    ++m_unfinished;
    return execution;
}

void RequestBroker::erase(Execution& execution)
{
    if (execution.phase != RequestPhase::Finished)
        setPhase(execution, RequestPhase::Finished);
    const auto byIdentity = m_byIdentity.find(execution.identity);
    if (byIdentity != m_byIdentity.end() && byIdentity->second == execution.number)
        m_byIdentity.erase(byIdentity);
    m_withInboundLookups.erase(execution.number);
    m_heldBytes -= execution.body.size() + execution.answer.body.size();
    m_unwrittenBytes -= execution.answer.body.size();
    const RequestNumber number = execution.number; // copied, as erasing the entry invalidates the reference
    m_executions.erase(number);
}

RequestBroker::Execution* RequestBroker::find(RequestNumber number)
{
    const auto found = m_executions.find(number);
    return found == m_executions.end() ? nullptr : &found->second;
}

RequestBroker::Execution* RequestBroker::find(const RequestIdentity& identity)
{
    const auto found = m_byIdentity.find(identity);
    return found == m_byIdentity.end() ? nullptr : find(found->second);
}

void RequestBroker::setPhase(Execution& execution, RequestPhase phase)
{
    if (execution.phase == RequestPhase::Claiming)
        --m_dispatchQueues[execution.service].claiming;
    if (execution.phase == RequestPhase::Calling)
        --m_dispatchQueues[execution.service].calling;
    if (phase == RequestPhase::Claiming)
        ++m_dispatchQueues[execution.service].claiming;
    if (phase == RequestPhase::Calling)
        ++m_dispatchQueues[execution.service].calling;
    if (execution.phase == RequestPhase::Finished && phase != RequestPhase::Finished)
        ++m_unfinished;
    if (execution.phase != RequestPhase::Finished && phase == RequestPhase::Finished)
        --m_unfinished;
    execution.phase = phase;
}

std::optional<RequestAnswer> RequestBroker::rejectionFor(
    const RequestReceived& event, const OperationConfiguration* operation, const Step& step) const
{
    const Configuration* configuration = m_configuration.current();
    if (!configuration)
        return makeAnswer(RequestOutcome::NotRun, "this daemon has no configuration yet", callerRetryDelay);
    if (!operation)
        return makeAnswer(RequestOutcome::Refused,
            "no operation \"" + event.operation + "\" of service \"" + event.service.value() + "\"");
    if (!configuration->findAccount(event.identity.account))
        return makeAnswer(
            RequestOutcome::Refused, "unknown account \"" + event.identity.account.value() + "\"");
    if (event.identity.key.size() > maxKeyBytes || !isPrintable(event.identity.key))
        return makeAnswer(
            RequestOutcome::Refused, "Idempotency-Key must be at most 200 printable ASCII characters");
    if (!operation->idempotent) {
        if (event.identity.key.empty())
            return makeAnswer(RequestOutcome::Refused, "this operation needs an Idempotency-Key");
        if (!event.issuedAt)
            return makeAnswer(RequestOutcome::Refused, "this operation needs Anvilmoor-Issued-At");
        if (step.wallTime - *event.issuedAt > maxRequestAge)
            return makeAnswer(RequestOutcome::NotRun, "the request was issued more than 24 h ago");
        if (*event.issuedAt - step.wallTime > maxClockLead)
            return makeAnswer(RequestOutcome::NotRun, "the request's issue time is more than 5 min ahead");
    }
    if (m_isStopping)
        return makeAnswer(
            RequestOutcome::NotRun, "this daemon is shutting down; send the request again", callerRetryDelay);
    if (m_callers.size() >= maxCallers || m_heldBytes + event.body.size() > maxHeldBytes)
        return makeAnswer(RequestOutcome::NotRun,
            "this daemon is at its limit of waiting callers or request bytes", callerRetryDelay);
    return {};
}

void RequestBroker::handle(const RequestReceived& event, Step& step)
{
    if (m_callers.contains(event.caller))
        return; // the event was delivered twice
    ++m_counters.received;
    const Configuration* configuration = m_configuration.current();
    const ServiceConfiguration* service = configuration ? configuration->findService(event.service) : nullptr;
    const OperationConfiguration* operation = service ? findOperation(*service, event.operation) : nullptr;
    if (configuration && configuration->version != m_configuredVersion) {
        m_configuredVersion = configuration->version;
        m_admission.configure(*configuration);
    }
    const Milliseconds timeout
        = event.deadline.count() > 0 || !operation ? event.deadline : operation->defaultDeadline;
    const TimePoint deadline = step.now + std::min<Milliseconds>(timeout, maxDeadline);
    m_callers.emplace(event.caller, Caller { 0, deadline });
    if (std::optional<RequestAnswer> answer = rejectionFor(event, operation, step)) {
        const bool isResendSafe = event.identity.key.empty() || (operation && operation->idempotent);
        answerCaller(event.caller,
            isResendSafe || event.isFirstCopy ? std::move(*answer) : withoutRecord(std::move(*answer)), step);
        return;
    }
    m_retryBudget.onRequest();

    if (!operation->idempotent) {
        if (Execution* earlier = find(event.identity)) {
            join(*earlier, event, deadline, step);
            dispatchAndFlush(step);
            return;
        }
    }
    Execution& execution = create(event.identity);
    execution.service = event.service;
    execution.operation = event.operation;
    execution.callerName = event.callerName;
    execution.body = event.body;
    m_heldBytes += event.body.size();
    execution.priority = operation->priority;
    execution.isIdempotent = operation->idempotent;
    if (!operation->idempotent) {
        execution.digest = requestDigest(event.service, event.operation, event.body);
        execution.issuedAt = *event.issuedAt;
        m_byIdentity.emplace(event.identity, execution.number);
    }
    addWaiter(execution, { event.caller, deadline, false, event.isFirstCopy });
    enqueue(execution, step);
    dispatchAndFlush(step);
}

void RequestBroker::join(Execution& execution, const RequestReceived& event, TimePoint deadline, Step& step)
{
    if (execution.digest != requestDigest(event.service, event.operation, event.body)) {
        answerCaller(event.caller, keyConflictAnswer(), step);
        return;
    }
    if (execution.phase != RequestPhase::Finished) {
        addWaiter(execution, { event.caller, deadline, true, event.isFirstCopy });
        return;
    }
    if (execution.answer.outcome != RequestOutcome::NotRun) {
        RequestAnswer answer = execution.answer;
        answer.isFromRecord = true;
        answerCaller(event.caller, std::move(answer), step);
        return;
    }
    constexpr std::size_t maxAbandonedClaims = 32;
    if (execution.record.abandonedNonces.size() >= maxAbandonedClaims) {
        answerCaller(event.caller,
            withoutRecord(makeAnswer(RequestOutcome::NotRun,
                "the outcomes of earlier copies are not recorded yet", callerRetryDelay)),
            step);
        return;
    }
    // The earlier copies were answered "not run". This copy makes a claim of its own.
    setPhase(execution, RequestPhase::Queued);
    execution.body = event.body;
    m_heldBytes += event.body.size();
    execution.issuedAt = *event.issuedAt;
    execution.callCount = 0;
    execution.failedEndpoints.clear();
    execution.deadline = deadline;
    addWaiter(execution, { event.caller, deadline, false, event.isFirstCopy });
    enqueue(execution, step);
}

void RequestBroker::addWaiter(Execution& execution, RequestWaiter waiter)
{
    m_callers[waiter.caller] = { execution.number, waiter.deadline };
    m_deadlines.insert({ waiter.deadline, waiter.caller });
    execution.deadline = std::max(execution.deadline, waiter.deadline);
    execution.waiters.push_back(waiter);
}

void RequestBroker::enqueue(Execution& execution, Step& step)
{
    const DispatchQueue& queue = m_dispatchQueues[execution.service];
    const AdmissionItem item { execution.number, execution.service, execution.identity.account,
        execution.callerName, execution.priority, execution.deadline,
        m_serviceTimes.expected(execution.service, execution.operation) };
    const AdmissionVerdict verdict = m_admission.enqueue(item, int(queue.calling + queue.claiming), step.now);
    if (!verdict.isQueued)
        finish(execution, makeAnswer(RequestOutcome::NotRun, verdict.reason, verdict.retryAfter), step);
    if (!verdict.displaced)
        return;
    if (Execution* displaced = find(*verdict.displaced))
        abandon(*displaced, "the queue is full and this account or caller has the largest part of it", step);
}

void RequestBroker::answerCaller(CallerHandle caller, RequestAnswer answer, Step& step)
{
    const auto found = m_callers.find(caller);
    if (found == m_callers.end())
        return;
    m_deadlines.erase({ found->second.deadline, caller });
    m_callers.erase(found);
    switch (answer.outcome) {
    case RequestOutcome::Done:
        ++m_counters.done;
        break;
    case RequestOutcome::NotRun:
        ++m_counters.notRun;
        break;
    case RequestOutcome::Unknown:
        ++m_counters.unknown;
        break;
    case RequestOutcome::Refused:
        ++m_counters.refused;
        break;
    }
    if (answer.isFromRecord)
        ++m_counters.copies;
    step.emit(AnswerRequest { caller, std::move(answer) });
}

// Ends a request that is not at an endpoint and will not be sent again.
void RequestBroker::abandon(Execution& execution, std::string reason, Step& step)
{
    m_admission.remove(execution.number);
    const RequestOutcome outcome
        = execution.isPossiblyExecuted ? RequestOutcome::Unknown : RequestOutcome::NotRun;
    finish(execution, makeAnswer(outcome, std::move(reason), callerRetryDelay), step);
}

void RequestBroker::finish(Execution& execution, RequestAnswer answer, Step& step)
{
    setPhase(execution, RequestPhase::Finished);
    m_heldBytes -= execution.body.size() + execution.answer.body.size();
    m_heldBytes += answer.body.size();
    m_unwrittenBytes += answer.body.size() - execution.answer.body.size();
    execution.body = std::string();
    execution.answer = std::move(answer);
    if (isTraced(execution))
        step.record("request." + std::string(nameOf(execution.answer.outcome)),
            { { "request", execution.identity.key }, { "account", execution.identity.account.value() },
                { "reason", execution.answer.reason } });
    const std::vector<RequestWaiter> waiters = std::move(execution.waiters);
    execution.waiters.clear();
    // While this daemon holds the claim, no other copy can have been sent: before the claim, the row was
    // absent or said "not run". Once "not run" may have been written for the claim, it no longer counts as
    // held.
    const bool isClaimHeld = execution.record.nonce && execution.record.heldNonce == execution.record.nonce
        && !execution.record.isReleased;
    const bool isRecordKnown = execution.isIdempotent || execution.answer.isFromRecord || isClaimHeld;
    for (const RequestWaiter& waiter : waiters) {
        const bool isCertain = isRecordKnown || waiter.isFirstCopy;
        RequestAnswer copy = isCertain ? execution.answer : withoutRecord(execution.answer);
        copy.isFromRecord = copy.isFromRecord || waiter.isCopy;
        answerCaller(waiter.caller, std::move(copy), step);
    }
    answerInboundLookups(execution, step);
    if (execution.isIdempotent || execution.isQuery)
        erase(execution);
    else
        recordOutcome(execution, step);
}

// Answers with the outcome of another copy, so there is no outcome to record.
void RequestBroker::finishAsCopy(Execution& execution, RequestAnswer answer, Step& step)
{
    execution.record = {};
    finish(execution, std::move(answer), step);
}

void RequestBroker::expireCaller(CallerHandle caller, Step& step)
{
    const auto entry = m_callers.find(caller);
    Execution* execution = entry == m_callers.end() ? nullptr : find(entry->second.request);
    if (!execution) {
        answerCaller(
            caller, makeAnswer(RequestOutcome::Unknown, "this daemon no longer has the request"), step);
        return;
    }
    if (execution->waiters.size() > 1 || execution->phase == RequestPhase::Calling) {
        std::erase_if(
            execution->waiters, [&](const RequestWaiter& waiter) { return waiter.caller == caller; });
        const bool isSent = execution->phase == RequestPhase::Calling || execution->isPossiblyExecuted;
        answerCaller(caller,
            makeAnswer(RequestOutcome::Unknown,
                isSent ? "no endpoint answered before the deadline; query the outcome later"
                       : "another copy of the request is still waiting; query the outcome later",
                callerRetryDelay),
            step);
        return;
    }
    if (execution->phase == RequestPhase::Resolving) {
        finishAsCopy(*execution,
            makeAnswer(RequestOutcome::Unknown,
                "the outcome of an earlier copy was not found before the deadline; query it again",
                callerRetryDelay),
            step);
        return;
    }
    const std::span<const EndpointRecord> endpoints = m_directory.endpoints(execution->service);
    const bool hasLiveEndpoint = std::any_of(endpoints.begin(), endpoints.end(),
        [](const EndpointRecord& endpoint) { return endpoint.state == EndpointState::Live; });
    abandon(*execution,
        hasLiveEndpoint ? "the request was not served before its deadline"
                        : "no endpoint of the service is live",
        step);
}

void RequestBroker::handle(const CallerGone& event, Step& step)
{
    const auto entry = m_callers.find(event.caller);
    if (entry == m_callers.end())
        return;
    Execution* execution = find(entry->second.request);
    m_deadlines.erase({ entry->second.deadline, event.caller });
    m_callers.erase(entry);
    if (!execution)
        return;
    std::erase_if(
        execution->waiters, [&](const RequestWaiter& waiter) { return waiter.caller == event.caller; });
    if (!execution->waiters.empty())
        return;
    if (execution->phase == RequestPhase::Resolving) {
        finishAsCopy(*execution, makeAnswer(RequestOutcome::Unknown, {}), step);
    } else if (execution->phase != RequestPhase::Calling) {
        abandon(*execution, "the caller closed its connection", step);
    } else if (execution->isIdempotent) {
        step.emit(CancelEndpointCall { execution->call });
        endCall(execution->call, CallResult::Cancelled, step);
        finish(*execution, makeAnswer(RequestOutcome::Unknown, {}), step);
    }
    dispatchAndFlush(step);
}

void RequestBroker::dropExcessOutcomes(Step& step)
{
    while (!m_finishedOrder.empty()) {
        Execution* oldest = find(m_finishedOrder.front());
        const bool isWaiting = oldest && oldest->phase == RequestPhase::Finished;
        if (isWaiting && unwrittenOutcomes() <= maxUnwrittenOutcomes && m_unwrittenBytes <= maxUnwrittenBytes)
            return;
        m_finishedOrder.pop_front();
        if (!isWaiting)
            continue;
        ++m_counters.droppedOutcomes;
        step.record("request.outcome_dropped",
            { { "account", oldest->identity.account.value() }, { "request", oldest->identity.key } });
        erase(*oldest);
    }
}

void RequestBroker::handle(const Tick&, Step& step)
{
    m_now = step.now;
    m_routing.refresh(step.now);
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= step.now)
        expireCaller(m_deadlines.begin()->second, step);
    expireLookups(step);
    for (const RecordResult& result : m_log.expire(step.now))
        onRecordResult(result, step);
    retryDueRecords(step);
    expireObjectOperations(step);
    expireCalls(step);
    dropExcessOutcomes(step);
    dispatchAndFlush(step);
    if (m_isStopping && !m_drainedAt && m_unfinished == 0)
        m_drainedAt = step.now;
}

void RequestBroker::dispatchAndFlush(Step& step)
{
    for (auto& [service, queue] : m_dispatchQueues)
        dispatch(service, queue, step);
    m_log.flush(step);
}

void RequestBroker::beginShutdown(Step& step)
{
    m_isStopping = true;
    step.record("requests.stopping", { { "unfinished", std::to_string(m_unfinished) } });
}

bool RequestBroker::isIdle() const
{
    if (m_unfinished > 0)
        return false;
    return m_executions.empty() || (m_drainedAt && m_now - *m_drainedAt >= outcomeTimeout);
}

} // namespace anvilmoor
