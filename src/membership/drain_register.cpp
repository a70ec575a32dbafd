#include "membership/drain_register.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace anvilmoor {

namespace {

constexpr std::size_t maxPendingChanges = 256;
constexpr Seconds pollInterval { 1 };
constexpr Milliseconds retryDelay { 200 };
// Longer than the platform client's own time limit. Guards against a reply that never arrives.
constexpr Seconds operationTimeout { 4 };

std::optional<std::set<EndpointId>> parseDrains(const std::string& text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("endpoints") || !document["endpoints"].is_array())
        return {};
    std::set<EndpointId> drained;
    for (const nlohmann::json& endpoint : document["endpoints"]) {
        if (!endpoint.is_string())
            return {};
        drained.insert(EndpointId(endpoint.get<std::string>()));
    }
    return drained;
}

std::string formatDrains(const std::set<EndpointId>& drained)
{
    nlohmann::json endpoints = nlohmann::json::array();
    for (const EndpointId& endpoint : drained)
        endpoints.push_back(endpoint.value());
    return nlohmann::json { { "endpoints", std::move(endpoints) } }.dump();
}

} // namespace

OperationId DrainRegister::nextOperation() { return { ModuleId::Membership, ++m_sequence }; }

void DrainRegister::queueChange(const DrainRequested& request, Step& step)
{
    if (m_changes.size() >= maxPendingChanges) {
        step.emit(AnswerOperator { request.caller,
            Refusal { RefusalKind::Unavailable, { "too many drain requests are pending; try again" } } });
        return;
    }
    m_changes.push_back(
        { request.caller, request.endpoint, request.isLeaving, step.now + operatorTimeout, false });
    // The drains known here may be a second old (pollInterval), so every change starts with a read.
    if (m_operation == Operation::None)
        read(step);
}

void DrainRegister::read(Step& step)
{
    m_operation = Operation::Read;
    m_operationStart = step.now;
    m_nextPoll = step.now + pollInterval;
    m_retryAt.reset();
    step.emit(ReadTable { nextOperation(), TableRead { { rowKey }, {} } });
}

void DrainRegister::write(Step& step)
{
    m_drainedByWrite = m_drained;
    for (const Change& change : m_changes) {
        if (change.isLeaving)
            m_drainedByWrite.insert(change.endpoint);
        else
            m_drainedByWrite.erase(change.endpoint);
    }
    m_changesInWrite = m_changes.size();
    if (m_drainedByWrite == m_drained) {
        answerCompletedChanges(step);
        return;
    }
    for (Change& change : m_changes)
        change.mayHaveCommitted = true;
    m_operation = Operation::Write;
    m_operationStart = step.now;
    step.emit(ExecuteTransaction { nextOperation(),
        TableTransaction { { { rowKey, m_version } }, { { rowKey, formatDrains(m_drainedByWrite) } } } });
}

void DrainRegister::answerCompletedChanges(Step& step)
{
    for (std::size_t index = 0; index < m_changesInWrite; ++index) {
        AnswerOperator answer;
        answer.caller = m_changes[index].caller;
        answer.answer.emplace<DrainAnswer>().version = m_version;
        step.emit(std::move(answer));
    }
    m_changes.erase(m_changes.begin(), m_changes.begin() + std::ptrdiff_t(m_changesInWrite));
    m_changesInWrite = 0;
    if (!m_changes.empty())
        read(step);
}

void DrainRegister::scheduleRetry(Step& step) { m_retryAt = step.now + retryDelay; }

bool DrainRegister::adopt(std::uint64_t version, std::set<EndpointId> drained, Step& step)
{
    if (version <= m_version)
        return false;
    m_version = version;
    m_drained = std::move(drained);
    step.record("drains.adopted",
        { { "version", std::to_string(version) }, { "endpoints", std::to_string(m_drained.size()) } });
    return true;
}

bool DrainRegister::adopt(const TableRow& row, Step& step)
{
    if (row.version <= m_version)
        return false;
    std::optional<std::set<EndpointId>> drained = parseDrains(row.value);
    if (!drained) {
        step.record("drains.malformed", { { "version", std::to_string(row.version) } });
        return false;
    }
    return adopt(row.version, std::move(*drained), step);
}

bool DrainRegister::handle(const TableReplied& event, Step& step)
{
    if (m_operation == Operation::None || event.operation.sequence != m_sequence)
        return false;
    const Operation operation = std::exchange(m_operation, Operation::None);
    return operation == Operation::Read ? handleReadReply(event.reply, step)
                                        : handleWriteReply(event.reply, step);
}

bool DrainRegister::handleReadReply(const TableReply& reply, Step& step)
{
    if (reply.status != TableStatus::Ok) {
        if (!m_changes.empty())
            scheduleRetry(step);
        return false;
    }
    const TableRow row = reply.rows.empty() ? TableRow {} : reply.rows.front();
    const bool isChanged = adopt(row, step);
    if (m_changes.empty())
        return isChanged;
    // If the row is older than the drains pushed by a peer, the read returned outdated data. A malformed row
    // must not be overwritten. In both cases the versions differ, and no change is written.
    if (row.version == m_version)
        write(step);
    else
        scheduleRetry(step);
    return isChanged;
}

bool DrainRegister::handleWriteReply(const TableReply& reply, Step& step)
{
    if (reply.status == TableStatus::Ok && !reply.rows.empty()) {
        const bool isChanged = adopt(reply.rows.front().version, m_drainedByWrite, step);
        if (isChanged) {
            step.emit(SendToAllPeers { makePush() });
        }
        answerCompletedChanges(step);
        return isChanged;
    }
    m_changesInWrite = 0;
    if (reply.status == TableStatus::Conflict || reply.status == TableStatus::Unavailable) {
        for (Change& change : m_changes)
            change.mayHaveCommitted = false;
    }
    if (reply.status == TableStatus::Unavailable)
        scheduleRetry(step);
    else
        read(step);
    return false;
}

DrainPush DrainRegister::makePush() const
{
    return { m_version, std::vector<EndpointId>(m_drained.begin(), m_drained.end()) };
}

void DrainRegister::handle(const PeerHeartbeat& heartbeat, Step& step)
{
    if (heartbeat.drainVersion < m_version)
        step.emit(SendToPeer { heartbeat.host, makePush() });
}

bool DrainRegister::handle(const DrainPush& push, Step& step)
{
    return adopt(push.version, { push.endpoints.begin(), push.endpoints.end() }, step);
}

void DrainRegister::refuseExpiredChanges(Step& step)
{
    std::size_t kept = 0;
    std::size_t keptInWrite = 0;
    for (std::size_t index = 0; index < m_changes.size(); ++index) {
        Change& change = m_changes[index];
        if (step.now < change.deadline) {
            if (kept != index)
                m_changes[kept] = std::move(change);
            ++kept;
            if (index < m_changesInWrite)
                ++keptInWrite;
            continue;
        }
        AnswerOperator answer { change.caller, Refusal { RefusalKind::Unavailable, {} } };
        auto& refusal = std::get<Refusal>(answer.answer);
        if (change.mayHaveCommitted) {
            refusal.kind = RefusalKind::Unknown;
            refusal.reasons.emplace_back(
                "the table did not answer; the change may be in force: check the site status");
        } else {
            refusal.reasons.emplace_back("the table is unavailable; no drain was changed");
        }
        step.emit(std::move(answer));
    }
    m_changes.resize(kept);
    m_changesInWrite = keptInWrite;
}

void DrainRegister::handle(const Tick&, Step& step)
{
    if (m_operation != Operation::None && step.now - m_operationStart >= operationTimeout) {
        m_operation = Operation::None;
        ++m_sequence; // a late reply no longer matches and is ignored
        m_changesInWrite = 0;
        if (!m_changes.empty())
            scheduleRetry(step);
    }
    refuseExpiredChanges(step);
    if (m_operation != Operation::None)
        return;
    if ((m_retryAt && step.now >= *m_retryAt) || step.now >= m_nextPoll)
        read(step);
}

} // namespace anvilmoor
