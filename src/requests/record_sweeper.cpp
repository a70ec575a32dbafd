#include "requests/record_sweeper.h"

#include "requests/request_record.h"

#include <algorithm>

namespace anvilmoor {

namespace {

constexpr std::size_t maxBatchRows = 64;
// Per sweep. Further expired rows are deleted by the next sweep.
constexpr std::size_t maxExpiredRows = 65'536;
// Per sweep. One sweep every 10 min gives 36,864 per day.
constexpr std::size_t maxObjectDeletions = 256;
constexpr Seconds replyTimeout { 30 };

// Key of the object that may hold the record's response; empty if there can be none. A claimed row may have
// one: if the daemon dies between the two writes, the response is stored but the outcome is not recorded.
std::string objectOf(const std::string& recordKey, const RequestRecord& record)
{
    if (record.state == RequestRecordState::Claimed)
        return responseObjectKey(recordKey, record.nonce);
    return record.objectKey;
}

} // namespace

RecordSweeper::RecordSweeper(const RoleView& role)
    : m_role(role)
{
}

void RecordSweeper::handle(const Tick&, Step& step)
{
    if ((m_isReading || m_isDeleting) && step.now - m_sentAt >= replyTimeout) {
        m_isReading = m_isDeleting = false;
        ++m_sequence; // so that a late reply is ignored
        m_batch.clear();
        m_expired.clear();
    }
    if (!m_role.held(step.now)) {
        m_expired.clear();
        m_objectDeletions.clear();
        return;
    }
    if (m_isReading || m_isDeleting || step.now < m_nextSweep)
        return;
    m_nextSweep = step.now + sweepInterval;
    m_objectDeletions.clear(); // without a reply so far; this sweep finds their rows again
    m_isReading = true;
    m_sentAt = step.now;
    step.emit(ReadTable {
        { ModuleId::Requests, ++m_sequence }, TableRead { {}, { std::string(requestRecordPrefix) } } });
}

void RecordSweeper::handle(const TableReplied& event, Step& step)
{
    if (event.operation.module != ModuleId::Requests || event.operation.sequence != m_sequence)
        return;
    if (m_isReading) {
        m_isReading = false;
        collect(event.reply, step);
    } else if (m_isDeleting) {
        m_isDeleting = false;
        if (event.reply.status == TableStatus::Ok) {
            m_deleted += m_batch.size();
        } else if (event.reply.status == TableStatus::Conflict) {
            // Changed rows are kept; the others are deleted in a later batch.
            for (const TableCondition& condition : m_batch) {
                const bool isChanged = std::any_of(event.reply.rows.begin(), event.reply.rows.end(),
                    [&](const TableRow& row) { return row.key == condition.key; });
                if (!isChanged && !event.reply.rows.empty())
                    m_expired.push_back(condition);
            }
        } else {
            m_expired.clear(); // the next sweep finds them again
        }
        m_batch.clear();
    } else {
        return;
    }
    deleteNext(step);
}

void RecordSweeper::collect(const TableReply& reply, Step& step)
{
    if (reply.status != TableStatus::Ok)
        return;
    for (const TableRow& row : reply.rows) {
        const std::optional<RequestRecord> record = parseRequestRecord(row.value);
        if (!record || step.wallTime - record->issuedAt < requestRecordLifetime)
            continue;
        if (m_expired.size() >= maxExpiredRows)
            break;
        std::string object = objectOf(row.key, *record);
        if (object.empty())
            m_expired.push_back({ row.key, row.version });
        else if (m_objectDeletions.size() < maxObjectDeletions)
            deleteObject({ row.key, row.version }, std::move(object), step);
    }
}

void RecordSweeper::deleteObject(const TableCondition& row, std::string key, Step& step)
{
    m_objectDeletions.emplace(++m_objectSequence, row);
    step.emit(DeleteObject { { ModuleId::Requests, m_objectSequence }, std::move(key) });
}

void RecordSweeper::handle(const ObjectReplied& event, Step& step)
{
    const auto found = m_objectDeletions.find(event.operation.sequence);
    if (event.operation.module != ModuleId::Requests || found == m_objectDeletions.end())
        return;
    if (event.isOk)
        m_expired.push_back(found->second);
    m_objectDeletions.erase(found);
    if (!m_isReading && !m_isDeleting)
        deleteNext(step);
}

void RecordSweeper::deleteNext(Step& step)
{
    if (m_expired.empty() || !m_role.held(step.now))
        return;
    const auto end = m_expired.begin() + std::ptrdiff_t(std::min(m_expired.size(), maxBatchRows));
    m_batch.assign(m_expired.begin(), end);
    m_expired.erase(m_expired.begin(), end);
    TableTransaction transaction;
    for (const TableCondition& condition : m_batch) {
        transaction.conditions.push_back(condition);
        transaction.writes.push_back({ condition.key, {} });
    }
    m_isDeleting = true;
    m_sentAt = step.now;
    step.emit(ExecuteTransaction { { ModuleId::Requests, ++m_sequence }, std::move(transaction) });
}

} // namespace anvilmoor
