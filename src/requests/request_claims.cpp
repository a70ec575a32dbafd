#include "requests/record_sweeper.h"
#include "requests/request_broker.h"

#include <algorithm>

namespace anvilmoor {

namespace {

// Tolerates a short outage of the table. After a longer one, the caller is answered and may use another site.
constexpr Seconds claimTimeout { 1 };
constexpr Milliseconds initialRecordRetryDelay { 100 };
constexpr Milliseconds maxRecordRetryDelay { 5'000 };
constexpr std::size_t maxInlineResponseBytes = 16U << 10U;
constexpr Milliseconds callerRetryDelay { 1'000 };

} // namespace

void RequestBroker::startClaim(Execution& execution, Step& step)
{
    RecordProgress& record = execution.record;
    if (record.nonce)
        record.abandonedNonces.push_back(record.nonce);
    record.nonce = std::max<std::uint64_t>(1, step.random());
    record.goal = RecordGoal::Claim;
    ++record.goalNumber;
    record.isOutcomeWritten = false;
    record.isReleased = false;
    record.claimingSince = step.now;
    record.retryDelay = Milliseconds(0);
    setPhase(execution, RequestPhase::Claiming);
    startRecordOperation(execution, step);
}

void RequestBroker::startRecordOperation(Execution& execution, Step& step)
{
    RecordProgress& record = execution.record;
    const bool isWaitingForObject = record.goal == RecordGoal::Outcome && execution.isObjectPending;
    if (record.isInFlight || record.goal == RecordGoal::None || isWaitingForObject)
        return;
    record.isInFlight = true;
    record.inFlightGoalNumber = record.goalNumber;
    record.inFlightNonce = record.nonce;
    std::string key = requestRecordKey(execution.identity);
    if (record.isReadNeeded)
        m_log.read(execution.number, std::move(key), step.now);
    else
        m_log.write(execution.number, std::move(key), record.version, recordValue(execution), step.now);
}

std::string RequestBroker::recordValue(const Execution& execution) const
{
    RequestRecord record;
    record.nonce = execution.record.nonce;
    record.host = m_settings.host;
    record.incarnation = m_settings.incarnation;
    record.digest = execution.digest;
    record.issuedAt = execution.issuedAt;
    if (execution.record.goal == RecordGoal::Outcome) {
        record.reason = execution.answer.reason;
        record.state = RequestRecordState::Unknown;
        if (execution.answer.outcome == RequestOutcome::NotRun)
            record.state = RequestRecordState::NotRun;
        if (execution.answer.outcome == RequestOutcome::Done) {
            record.state = RequestRecordState::Done;
            record.body = execution.answer.body;
            record.objectKey = execution.objectKey;
            if (!record.objectKey.empty())
                record.objectDigest = responseDigest(record.body);
        }
    }
    return formatRequestRecord(record);
}

void RequestBroker::recordOutcome(Execution& execution, Step& step)
{
    RecordProgress& record = execution.record;
    const bool mayHaveRow = record.heldNonce || record.isUncertain || record.isInFlight;
    if (!record.nonce || !mayHaveRow || record.isOutcomeWritten) {
        erase(execution);
        return;
    }
    record.goal = RecordGoal::Outcome;
    record.isReleased = execution.answer.outcome == RequestOutcome::NotRun;
    ++record.goalNumber;
    m_finishedOrder.push_back(execution.number);
    if (execution.answer.outcome == RequestOutcome::Done
        && execution.answer.body.size() > maxInlineResponseBytes)
        storeResponse(execution, step);
    else
        startRecordOperation(execution, step);
}

OperationId RequestBroker::nextObjectOperation(const Execution& execution, Step& step)
{
    const std::uint64_t sequence = objectSequenceBit | ++m_lastObjectOperation;
    m_objectOperations.emplace(sequence, ObjectOperation { execution.number, step.now + objectReplyTimeout });
    return { ModuleId::Requests, sequence };
}

void RequestBroker::storeResponse(Execution& execution, Step& step)
{
    execution.isObjectPending = true;
    step.emit(PutObject { nextObjectOperation(execution, step),
        responseObjectKey(requestRecordKey(execution.identity), execution.record.nonce),
        execution.answer.body });
}

void RequestBroker::handle(const ObjectReplied& event, Step& step)
{
    const auto found = m_objectOperations.find(event.operation.sequence);
    if (event.operation.module != ModuleId::Requests || found == m_objectOperations.end())
        return;
    Execution* execution = find(found->second.request);
    m_objectOperations.erase(found);
    if (!execution)
        return;
    if (execution->phase == RequestPhase::Resolving) {
        // Records written by earlier versions of this software have no digest.
        const bool isIntact = event.isOk
            && (execution->objectDigest.empty() || execution->objectDigest == responseDigest(event.value));
        if (event.isOk && !isIntact)
            step.record("request.damaged_object", { { "request", execution->identity.key } });
        if (isIntact)
            finishAsCopy(*execution, { RequestOutcome::Done, event.value, {}, {}, true }, step);
        else
            finishAsCopy(*execution,
                { RequestOutcome::Unknown, {}, "the request was done, but its stored response cannot be read",
                    callerRetryDelay, true },
                step);
    } else if (execution->isObjectPending) {
        if (event.isOk) {
            execution->isObjectPending = false;
            execution->objectKey
                = responseObjectKey(requestRecordKey(execution->identity), execution->record.nonce);
            startRecordOperation(*execution, step);
        } else {
            m_recordRetries.insert({ step.now + maxRecordRetryDelay, execution->number });
        }
    }
    dispatchAndFlush(step);
}

void RequestBroker::expireObjectOperations(Step& step)
{
    std::vector<std::uint64_t> expired;
    for (const auto& [sequence, operation] : m_objectOperations) {
        if (operation.expiresAt <= step.now)
            expired.push_back(sequence);
    }
    for (const std::uint64_t sequence : expired)
        handle(ObjectReplied { { ModuleId::Requests, sequence }, false, {} }, step);
}

void RequestBroker::handle(const TableReplied& event, Step& step)
{
    if (event.operation.module != ModuleId::Requests)
        return;
    if (event.operation.sequence & recordSweeperSequenceBit)
        return;
    for (const RecordResult& result : m_log.handle(event, step))
        onRecordResult(result, step);
    dispatchAndFlush(step);
}

void RequestBroker::onRecordResult(const RecordResult& result, Step& step)
{
    Execution* execution = find(result.request);
    if (!execution || !execution->record.isInFlight)
        return;
    RecordProgress& record = execution->record;
    record.isInFlight = false;
    if (execution->isQuery) {
        if (result.kind == RecordResultKind::Found)
            onQueriedRow(*execution, result.row, step);
        else
            finish(*execution,
                { RequestOutcome::Unknown, {},
                    "the record cannot be read from the table; query the outcome again", callerRetryDelay,
                    false },
                step);
        return;
    }
    switch (result.kind) {
    case RecordResultKind::Written:
        record.version = result.row.version;
        record.heldNonce = record.inFlightNonce;
        record.isUncertain = false;
        record.retryDelay = Milliseconds(0);
        if (record.inFlightGoalNumber == record.goalNumber)
            onGoalReached(*execution);
        else
            startRecordOperation(*execution, step);
        break;
    case RecordResultKind::Conflict:
    case RecordResultKind::Found:
        record.isReadNeeded = false;
        onRow(*execution, result.row, step);
        break;
    case RecordResultKind::Unavailable:
        onUnavailable(*execution, step);
        break;
    case RecordResultKind::Unknown:
        record.isUncertain = true;
        record.isReadNeeded = true;
        startRecordOperation(*execution, step);
        break;
    }
}

// `version` is the condition of the next write. It is set only to the version of a row that this request may
// overwrite: an absent row, a row with one of its own nonces, or a row that another copy set to "not run".
void RequestBroker::onRow(Execution& execution, const TableRow& row, Step& step)
{
    RecordProgress& record = execution.record;
    record.version = 0;
    if (row.version == 0) {
        const bool isDeletedBySweeper
            = record.heldNonce == record.nonce && record.goal == RecordGoal::Outcome;
        record.heldNonce = 0;
        if (isDeletedBySweeper && execution.phase == RequestPhase::Finished)
            erase(execution);
        else
            // An earlier write may still create the row; this write then conflicts.
            startRecordOperation(execution, step);
        return;
    }
    record.isUncertain = false;
    const std::optional<RequestRecord> found = parseRequestRecord(row.value);
    if (!found) {
        step.record("request.malformed_record", { { "key", row.key } });
        RequestRecord unreadable;
        unreadable.state = RequestRecordState::Unknown;
        unreadable.digest = execution.digest;
        unreadable.reason = "the record of an earlier copy is malformed";
        onForeignRow(execution, unreadable, step);
        return;
    }
    const bool isAbandoned
        = std::find(record.abandonedNonces.begin(), record.abandonedNonces.end(), found->nonce)
        != record.abandonedNonces.end();
    const bool isOwn = found->nonce == record.nonce || isAbandoned;
    const bool isReleased = found->state == RequestRecordState::NotRun && found->digest == execution.digest;
    if (isOwn || isReleased)
        record.version = row.version;
    if (isOwn)
        record.heldNonce = found->nonce;
    if (found->nonce == record.nonce)
        onOwnRow(execution, *found, step);
    else if (isAbandoned)
        startRecordOperation(execution, step);
    else
        onForeignRow(execution, *found, step);
}

void RequestBroker::onOwnRow(Execution& execution, const RequestRecord& found, Step& step)
{
    const bool isClaim = execution.record.goal == RecordGoal::Claim;
    const bool isClaimInRow = found.state == RequestRecordState::Claimed;
    if (isClaim == isClaimInRow)
        onGoalReached(execution);
    else
        startRecordOperation(execution, step);
}

void RequestBroker::onForeignRow(Execution& execution, const RequestRecord& found, Step& step)
{
    RecordProgress& record = execution.record;
    if (record.goal == RecordGoal::Outcome) {
        // Another copy has claimed the row, so an unsent claim of this one can no longer take effect.
        if (execution.answer.outcome != RequestOutcome::NotRun)
            step.record("request.record_overtaken", { { "request", execution.identity.key } });
        record.isOutcomeWritten = true;
        record.heldNonce = 0;
        if (execution.phase == RequestPhase::Finished)
            erase(execution);
        return;
    }
    if (found.digest != execution.digest) {
        finishAsCopy(execution, keyConflictAnswer(), step);
        return;
    }
    if (found.state == RequestRecordState::NotRun)
        startRecordOperation(execution, step);
    else
        resolve(execution, found, step);
}

void RequestBroker::onUnavailable(Execution& execution, Step& step)
{
    RecordProgress& record = execution.record;
    const bool isClaiming = execution.phase == RequestPhase::Claiming;
    if (isClaiming && step.now - record.claimingSince >= claimTimeout) {
        finish(execution,
            { RequestOutcome::NotRun, {},
                "the table is unavailable: this copy of the request could not be claimed within 1 s and was "
                "not sent",
                callerRetryDelay, false },
            step);
        return;
    }
    const bool isWithoutRow = !record.heldNonce && !record.isUncertain;
    if (execution.phase == RequestPhase::Finished && isWithoutRow) {
        erase(execution);
        return;
    }
    record.retryDelay = std::clamp(record.retryDelay * 2, initialRecordRetryDelay, maxRecordRetryDelay);
    // Spreads the retries of many requests after an outage.
    const Milliseconds jitter(step.random() % std::uint64_t(record.retryDelay.count()));
    m_recordRetries.insert({ step.now + record.retryDelay + jitter, execution.number });
}

void RequestBroker::onGoalReached(Execution& execution)
{
    if (execution.record.goal == RecordGoal::Claim) {
        if (execution.phase != RequestPhase::Claiming)
            return;
        setPhase(execution, RequestPhase::Ready);
        m_dispatchQueues[execution.service].ready.push_back(execution.number);
        return;
    }
    execution.record.isOutcomeWritten = true;
    if (execution.phase == RequestPhase::Finished)
        erase(execution);
}

void RequestBroker::retryDueRecords(Step& step)
{
    while (!m_recordRetries.empty() && m_recordRetries.begin()->first <= step.now) {
        Execution* execution = find(m_recordRetries.begin()->second);
        m_recordRetries.erase(m_recordRetries.begin());
        if (!execution)
            continue;
        if (execution->phase == RequestPhase::Finished && execution->isObjectPending)
            storeResponse(*execution, step);
        else
            startRecordOperation(*execution, step);
    }
}

} // namespace anvilmoor
