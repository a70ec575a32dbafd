#include "requests/request_broker.h"

#include <algorithm>

namespace anvilmoor {

namespace {

// Claimed requests beyond the free slots: one full group of the record log, so that slots are not idle while
// the table answers.
constexpr std::size_t maxClaimsAhead = 64;
// Per request. Only reached if all endpoints of a service refuse requests.
constexpr int maxCalls = 64;
// An idempotent request that may have been executed is not sent again after this number of calls.
constexpr int maxIdempotentCalls = 4;
// Every choice of an endpoint searches all of them. Unreachable endpoints become suspect long before this
// many are listed.
constexpr std::size_t maxFailedEndpoints = 16;
// After the caller's deadline. An answer within this time is still recorded.
constexpr Seconds lateAnswerTimeout { 10 };
// After the caller's deadline. The slot of a late idempotent call stays occupied, because the endpoint may
// still be executing it.
constexpr Seconds lateIdempotentAnswerTimeout { 1 };
constexpr Seconds callExpiryDelay { 2 };
// An idempotent call times out after this multiple of the expected service time, but not before half of the
// time until the deadline has passed. The remaining time is for a call to another endpoint.
constexpr int overdueFactor = 4;
constexpr Seconds callCheckInterval { 1 };
constexpr Milliseconds callerRetryDelay { 1'000 };

} // namespace

std::optional<EndpointId> RequestBroker::chooseEndpoint(
    const Execution& execution, const DispatchQueue& queue, Step& step)
{
    const RoutingQuery query { execution.service, execution.isIdempotent,
        m_serviceTimes.expected(execution.service, execution.operation),
        queue.ready.size() + m_admission.queued(execution.service), execution.failedEndpoints };
    return m_routing.choose(query, step.now, step.random());
}

void RequestBroker::dispatchReady(const ServiceId&, DispatchQueue& queue, Step& step)
{
    while (!queue.ready.empty()) {
        Execution* execution = find(queue.ready.front());
        if (execution && execution->phase == RequestPhase::Ready) {
            const std::optional<EndpointId> endpoint = chooseEndpoint(*execution, queue, step);
            if (!endpoint)
                return;
            call(*execution, *endpoint, step);
        }
        queue.ready.pop_front();
    }
}

void RequestBroker::dispatch(const ServiceId& service, DispatchQueue& queue, Step& step)
{
    dispatchReady(service, queue, step);
    while (const std::optional<RequestNumber> number = m_admission.peek(service)) {
        Execution* execution = find(*number);
        if (!execution || execution->phase != RequestPhase::Queued) {
            m_admission.pop(service);
            continue;
        }
        const Milliseconds expected = m_serviceTimes.expected(service, execution->operation);
        const bool isBacklog = m_admission.queued(service) > 1;
        if (isBacklog && step.now + expected / 2 > execution->deadline) {
            abandon(*execution, "the request cannot be served before its deadline", step);
            continue;
        }
        if (!execution->isIdempotent) {
            if (queue.claiming + queue.ready.size() >= maxClaimsAhead + m_routing.freeSlots(service))
                return;
            m_admission.pop(service);
            startClaim(*execution, step);
            continue;
        }
        const std::optional<EndpointId> endpoint = chooseEndpoint(*execution, queue, step);
        if (!endpoint)
            return;
        m_admission.pop(service);
        call(*execution, *endpoint, step);
    }
}

Milliseconds RequestBroker::callTimeout(const Execution& execution, TimePoint now) const
{
    const Milliseconds remaining = std::max(execution.deadline - now, Milliseconds(1));
    if (!execution.isIdempotent)
        return remaining + lateAnswerTimeout;
    const Milliseconds maxTimeout = remaining + lateIdempotentAnswerTimeout;
    if (execution.callCount + 1 >= maxIdempotentCalls)
        return maxTimeout;
    const Milliseconds overdue
        = overdueFactor * m_serviceTimes.expected(execution.service, execution.operation);
    return std::min(maxTimeout, std::max(remaining / 2, overdue));
}

void RequestBroker::call(Execution& execution, EndpointId endpoint, Step& step)
{
    const Milliseconds timeout = callTimeout(execution, step.now);
    setPhase(execution, RequestPhase::Calling);
    execution.call = ++m_lastCall;
    execution.endpoint = std::move(endpoint);
    execution.calledAt = step.now;
    ++execution.callCount;
    ++m_counters.calls;
    m_calls.emplace(execution.call, Call { execution.number, step.now + timeout + callExpiryDelay });
    if (isTraced(execution))
        step.record("request.sent",
            { { "request", execution.identity.key }, { "account", execution.identity.account.value() },
                { "endpoint", execution.endpoint.value() } });
    step.emit(CallEndpoint { execution.call, execution.endpoint, execution.identity, execution.operation,
        execution.body, timeout });
}

// Returns null if the call is not in flight.
RequestBroker::Execution* RequestBroker::endCall(CallId call, CallResult result, Step& step)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        ++m_counters.staleReplies;
        step.record("request.stale_endpoint_reply", { { "call", std::to_string(call) } });
        return nullptr;
    }
    Execution* execution = find(found->second.request);
    m_calls.erase(found);
    if (execution)
        m_routing.finish(execution->service, execution->endpoint, result, step.now);
    return execution;
}

void RequestBroker::handle(const EndpointAnswered& event, Step& step)
{
    const auto found = m_calls.find(event.call);
    const Execution* caller = found == m_calls.end() ? nullptr : find(found->second.request);
    if (caller && event.identity != caller->identity) {
        ++m_counters.foreignAnswers;
        step.record("request.foreign_answer",
            { { "endpoint", caller->endpoint.value() }, { "account", caller->identity.account.value() },
                { "request", caller->identity.key } });
        handle(EndpointFailed { event.call, EndpointFailure::Lost,
                   "the answer carries the identity of another request" },
            step);
        return;
    }
    Execution* execution = endCall(event.call, CallResult::Succeeded, step);
    if (!execution)
        return;
    m_observer.onEndpointSuccess(execution->endpoint, step);
    m_serviceTimes.add(execution->service, execution->operation, step.now - execution->calledAt);
    finish(*execution, { RequestOutcome::Done, event.body, {}, {}, false }, step);
    dispatchAndFlush(step);
}

void RequestBroker::handle(const EndpointFailed& event, Step& step)
{
    const bool isBusy = event.failure == EndpointFailure::RefusedBeforeExecution;
    Execution* execution = endCall(event.call, isBusy ? CallResult::Busy : CallResult::Failed, step);
    if (!execution)
        return;
    if (isBusy || event.failure == EndpointFailure::Error)
        m_observer.onEndpointSuccess(execution->endpoint, step);
    else
        m_observer.onEndpointFailure(execution->endpoint, step);
    // An endpoint that refused for lack of a free slot may have one later, so it is not listed as failed.
    // The routing excludes it for a while.
    if (!isBusy && execution->failedEndpoints.size() < maxFailedEndpoints)
        execution->failedEndpoints.push_back(execution->endpoint);
    switch (event.failure) {
    case EndpointFailure::NotSent:
        retryUnsent(*execution, "the endpoint could not be reached", step);
        break;
    case EndpointFailure::RefusedBeforeExecution:
        retryUnsent(*execution, "the endpoints refused the request before execution", step);
        break;
    case EndpointFailure::Lost:
        execution->isPossiblyExecuted = true;
        retryPossiblyExecuted(*execution,
            { RequestOutcome::Unknown, {},
                "the request was sent, but the endpoint's answer was lost; query the outcome later",
                callerRetryDelay, false },
            step);
        break;
    case EndpointFailure::Error:
        execution->isPossiblyExecuted = true;
        retryPossiblyExecuted(*execution,
            { RequestOutcome::Done, event.detail, "the endpoint executed the request and reported an error",
                {}, false },
            step);
        break;
    }
    dispatchAndFlush(step);
}

void RequestBroker::retryUnsent(Execution& execution, const std::string& reason, Step& step)
{
    if (execution.waiters.empty() || step.now >= execution.deadline || execution.callCount >= maxCalls) {
        abandon(execution, reason, step);
        return;
    }
    ++m_counters.retries;
    setPhase(execution, RequestPhase::Ready);
    m_dispatchQueues[execution.service].ready.push_back(execution.number);
}

// For requests that may have been executed. Only idempotent ones are sent again.
void RequestBroker::retryPossiblyExecuted(Execution& execution, RequestAnswer fallback, Step& step)
{
    const bool canResend = execution.isIdempotent && !execution.waiters.empty()
        && step.now < execution.deadline && execution.callCount < maxIdempotentCalls
        && m_retryBudget.takeRetry();
    if (!canResend) {
        finish(execution, std::move(fallback), step);
        return;
    }
    ++m_counters.retries;
    setPhase(execution, RequestPhase::Ready);
    m_dispatchQueues[execution.service].ready.push_back(execution.number);
}

// Normally, an event ends every call. Without such an event, the call would occupy its slot and its request
// forever.
void RequestBroker::expireCalls(Step& step)
{
    if (step.now < m_nextCallCheck)
        return;
    m_nextCallCheck = step.now + callCheckInterval;
    std::vector<CallId> expired;
    for (const auto& [id, call] : m_calls) {
        if (call.expiresAt <= step.now)
            expired.push_back(id);
    }
    for (const CallId id : expired) {
        step.emit(CancelEndpointCall { id });
        handle(EndpointFailed { id, EndpointFailure::Lost, "no event ended the call within its time limit" },
            step);
    }
}

} // namespace anvilmoor
