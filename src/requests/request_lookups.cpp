#include "requests/request_broker.h"

#include <algorithm>

namespace anvilmoor {

namespace {

constexpr Milliseconds lookupTimeout { 500 };
// Shorter than lookupTimeout, so that the reply "still in flight" arrives before the peer's lookup expires.
constexpr Milliseconds maxLookupHold { 400 };
constexpr std::size_t maxInboundLookups = 64; // per request
constexpr Seconds queryTimeout { 2 };
constexpr Milliseconds callerRetryDelay { 1'000 };

RequestAnswer unknownAnswer(std::string reason)
{
    return { RequestOutcome::Unknown, {}, std::move(reason), callerRetryDelay, false };
}

} // namespace

void RequestBroker::handle(const RequestQueried& event, Step& step)
{
    if (m_callers.contains(event.caller))
        return; // the event was delivered twice
    const TimePoint deadline = step.now + queryTimeout;
    m_callers.emplace(event.caller, Caller { 0, deadline });
    if (const Execution* execution = find(event.identity)) {
        RequestAnswer answer = unknownAnswer("the request is still in progress; query the outcome later");
        if (execution->phase == RequestPhase::Finished) {
            answer = execution->answer;
            answer.isFromRecord = true;
        }
        answerCaller(event.caller, std::move(answer), step);
        return;
    }
    Execution& query = create(event.identity);
    query.isQuery = true;
    query.phase = RequestPhase::Resolving;
    addWaiter(query, { event.caller, deadline, true, false });
    query.record.isInFlight = true;
    m_log.read(query.number, requestRecordKey(query.identity), step.now);
    dispatchAndFlush(step);
}

void RequestBroker::onQueriedRow(Execution& query, const TableRow& row, Step& step)
{
    const std::optional<RequestRecord> found = parseRequestRecord(row.value);
    if (found) {
        resolve(query, *found, step);
        return;
    }
    // Another daemon may be creating the record, so its absence does not prove "not run".
    finish(query,
        unknownAnswer(row.version == 0 ? "there is no record of the request; send it again with the same key"
                                       : "the record is malformed"),
        step);
}

// Answers with the outcome in the record of another copy. If the record is only a claim, asks the daemon that
// made it.
void RequestBroker::resolve(Execution& execution, const RequestRecord& found, Step& step)
{
    setPhase(execution, RequestPhase::Resolving);
    switch (found.state) {
    case RequestRecordState::NotRun:
        finishAsCopy(execution, { RequestOutcome::NotRun, {}, found.reason, callerRetryDelay, true }, step);
        return;
    case RequestRecordState::Unknown:
        finishAsCopy(execution, { RequestOutcome::Unknown, {}, found.reason, {}, true }, step);
        return;
    case RequestRecordState::Done:
        if (found.objectKey.empty()) {
            finishAsCopy(execution, { RequestOutcome::Done, found.body, found.reason, {}, true }, step);
        } else {
            execution.objectDigest = found.objectDigest;
            step.emit(GetObject { nextObjectOperation(execution, step), found.objectKey });
        }
        return;
    case RequestRecordState::Claimed:
        break;
    }
    const std::span<const PeerStatus> peers = m_peers.peers();
    const bool isReachable = std::any_of(peers.begin(), peers.end(),
        [&](const PeerStatus& peer) { return peer.host == found.host && peer.isReachable; });
    if (!isReachable) {
        finishAsCopy(execution,
            unknownAnswer(
                "the daemon that claimed an earlier copy is not connected; query the outcome later"),
            step);
        return;
    }
    m_lookups.emplace(++m_lastLookup, Lookup { execution.number, found.host, step.now + lookupTimeout });
    step.emit(SendToPeer { found.host, RequestLookup { m_lastLookup, execution.identity } });
}

void RequestBroker::handle(const RequestLookup& event, const HostId& from, Step& step)
{
    Execution* execution = find(event.identity);
    RequestLookupAnswer reply { event.lookup, false, false, {} };
    // The peer has read a claim of this host in the row, possibly by an earlier incarnation. Only a request
    // whose current nonce was seen in the row is certain to be the one that made this claim.
    const bool isKnown
        = execution && execution->record.nonce && execution->record.heldNonce == execution->record.nonce;
    if (isKnown) {
        reply.isKnown = true;
        reply.isFinished = execution->phase == RequestPhase::Finished;
        if (reply.isFinished)
            reply.answer = execution->answer;
        else if (execution->inboundLookups.size() < maxInboundLookups) {
            execution->inboundLookups.push_back({ from, event.lookup, step.now + maxLookupHold });
            m_withInboundLookups.insert(execution->number);
            return;
        }
    }
    step.emit(SendToPeer { from, std::move(reply) });
}

void RequestBroker::answerInboundLookups(Execution& execution, Step& step)
{
    const bool isKnown = execution.record.nonce && execution.record.heldNonce == execution.record.nonce;
    for (const InboundLookup& inbound : execution.inboundLookups)
        step.emit(SendToPeer { inbound.peer,
            RequestLookupAnswer {
                inbound.lookup, isKnown, isKnown, isKnown ? execution.answer : RequestAnswer {} } });
    execution.inboundLookups.clear();
    m_withInboundLookups.erase(execution.number);
}

void RequestBroker::handle(const RequestLookupAnswer& event, const HostId& from, Step& step)
{
    const auto found = m_lookups.find(event.lookup);
    if (found == m_lookups.end() || found->second.peer != from)
        return;
    Execution* execution = find(found->second.request);
    m_lookups.erase(found);
    if (!execution || execution->phase != RequestPhase::Resolving)
        return;
    if (event.isKnown && event.isFinished) {
        RequestAnswer answer = event.answer;
        answer.isFromRecord = true;
        finishAsCopy(*execution, std::move(answer), step);
    } else {
        finishAsCopy(*execution,
            unknownAnswer(event.isKnown
                    ? "an earlier copy is still in progress; query the outcome later"
                    : "the daemon that claimed an earlier copy does not have its outcome; query it later"),
            step);
    }
    dispatchAndFlush(step);
}

void RequestBroker::abandonLookups(
    const std::function<bool(const Lookup&)>& isSelected, const std::string& reason, Step& step)
{
    for (auto lookup = m_lookups.begin(); lookup != m_lookups.end();) {
        if (!isSelected(lookup->second)) {
            ++lookup;
            continue;
        }
        Execution* execution = find(lookup->second.request);
        lookup = m_lookups.erase(lookup);
        if (execution && execution->phase == RequestPhase::Resolving)
            finishAsCopy(*execution, unknownAnswer(reason), step);
    }
}

void RequestBroker::handle(const PeerLost& event, Step& step)
{
    abandonLookups([&](const Lookup& lookup) { return lookup.peer == event.peer; },
        "the connection to the daemon that claimed an earlier copy was lost; query the outcome later", step);
    dispatchAndFlush(step);
}

void RequestBroker::expireLookups(Step& step)
{
    abandonLookups([&](const Lookup& lookup) { return lookup.expiresAt <= step.now; },
        "the daemon that claimed an earlier copy did not answer in time; query the outcome later", step);
    for (auto number = m_withInboundLookups.begin(); number != m_withInboundLookups.end();) {
        Execution* execution = find(*number);
        if (execution) {
            std::erase_if(execution->inboundLookups, [&](const InboundLookup& inbound) {
                if (inbound.replyBy > step.now)
                    return false;
                step.emit(
                    SendToPeer { inbound.peer, RequestLookupAnswer { inbound.lookup, true, false, {} } });
                return true;
            });
        }
        if (!execution || execution->inboundLookups.empty())
            number = m_withInboundLookups.erase(number);
        else
            ++number;
    }
}

} // namespace anvilmoor
