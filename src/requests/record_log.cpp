#include "requests/record_log.h"

#include "core/table_rows.h"

#include <algorithm>
#include <utility>

namespace anvilmoor {

namespace {

constexpr std::size_t maxGroupRows = 64;
constexpr Milliseconds maxGroupDelay { 5 };
// Bounds the work that accumulates in a slow table.
constexpr std::size_t maxGroupsInFlight = 4;
// Longer than the platform client's own timeout. Expires only if the client delivers no reply at all.
constexpr Seconds replyTimeout { 4 };

} // namespace

void RecordLog::write(
    RequestNumber request, std::string key, RowVersion condition, std::string value, TimePoint now)
{
    m_writes.push_back({ request, std::move(key), condition, std::move(value), now });
}

void RecordLog::read(RequestNumber request, std::string key, TimePoint now)
{
    m_reads.push_back({ request, std::move(key), 0, {}, now });
}

bool RecordLog::isWriteDue(TimePoint now) const
{
    if (m_writes.empty() || m_writeGroupsInFlight >= maxGroupsInFlight)
        return false;
    return m_writeGroupsInFlight == 0 || m_writes.size() >= maxGroupRows
        || now - m_writes.front().queuedAt >= maxGroupDelay;
}

std::vector<RecordLog::Entry> RecordLog::takeGroup(std::deque<Entry>& queue)
{
    const auto end = queue.begin() + std::ptrdiff_t(std::min(queue.size(), maxGroupRows));
    std::vector<Entry> entries(std::make_move_iterator(queue.begin()), std::make_move_iterator(end));
    queue.erase(queue.begin(), end);
    return entries;
}

void RecordLog::sendWrites(Step& step)
{
    Group group { false, step.now, takeGroup(m_writes) };
    TableTransaction transaction;
    for (const Entry& entry : group.entries) {
        transaction.conditions.push_back({ entry.key, entry.condition });
        transaction.writes.push_back({ entry.key, entry.value });
    }
    ++m_writeGroupsInFlight;
    step.emit(ExecuteTransaction { { ModuleId::Requests, ++m_sequence }, std::move(transaction) });
    m_inFlight.emplace(m_sequence, std::move(group));
}

void RecordLog::sendReads(Step& step)
{
    Group group { true, step.now, takeGroup(m_reads) };
    TableRead read;
    for (const Entry& entry : group.entries)
        read.keys.push_back(entry.key);
    ++m_readGroupsInFlight;
    step.emit(ReadTable { { ModuleId::Requests, ++m_sequence }, std::move(read) });
    m_inFlight.emplace(m_sequence, std::move(group));
}

void RecordLog::flush(Step& step)
{
    while (isWriteDue(step.now))
        sendWrites(step);
    while (!m_reads.empty() && m_readGroupsInFlight < maxGroupsInFlight)
        sendReads(step);
}

std::vector<RecordResult> RecordLog::handle(const TableReplied& event, Step& step)
{
    const auto found = m_inFlight.find(event.operation.sequence);
    if (found == m_inFlight.end()) {
        step.record("requests.stale_table_reply", {});
        return {};
    }
    Group group = std::move(found->second);
    m_inFlight.erase(found);
    --(group.isRead ? m_readGroupsInFlight : m_writeGroupsInFlight);
    return group.isRead ? finishReads(group, event.reply) : finishWrites(group, event.reply);
}

std::vector<RecordResult> RecordLog::finishWrites(Group& group, const TableReply& reply)
{
    std::vector<RecordResult> results;
    std::vector<Entry> remaining;
    for (Entry& entry : group.entries) {
        const TableRow* row = findRow(reply, entry.key);
        if (reply.status == TableStatus::Conflict && !reply.rows.empty()) {
            if (row)
                results.push_back({ entry.request, RecordResultKind::Conflict, *row });
            else
                remaining.push_back(std::move(entry));
        } else if (reply.status == TableStatus::Ok && row) {
            results.push_back({ entry.request, RecordResultKind::Written, *row });
        } else if (reply.status == TableStatus::Unavailable) {
            results.push_back({ entry.request, RecordResultKind::Unavailable, {} });
        } else {
            // Also for a reply that lacks the expected rows. The broker then reads the row to determine
            // whether the write took effect.
            results.push_back({ entry.request, RecordResultKind::Unknown, {} });
        }
    }
    m_writes.insert(m_writes.begin(), std::make_move_iterator(remaining.begin()),
        std::make_move_iterator(remaining.end()));
    return results;
}

std::vector<RecordResult> RecordLog::finishReads(Group& group, const TableReply& reply)
{
    std::vector<RecordResult> results;
    for (const Entry& entry : group.entries) {
        if (reply.status != TableStatus::Ok) {
            results.push_back({ entry.request, RecordResultKind::Unavailable, {} });
            continue;
        }
        const TableRow* row = findRow(reply, entry.key);
        results.push_back(
            { entry.request, RecordResultKind::Found, row ? *row : TableRow { entry.key, 0, {} } });
    }
    return results;
}

std::vector<RecordResult> RecordLog::expire(TimePoint now)
{
    std::vector<RecordResult> results;
    for (auto group = m_inFlight.begin(); group != m_inFlight.end();) {
        if (now - group->second.sentAt < replyTimeout) {
            ++group;
            continue;
        }
        const bool isRead = group->second.isRead;
        --(isRead ? m_readGroupsInFlight : m_writeGroupsInFlight);
        for (const Entry& entry : group->second.entries) {
            results.push_back(
                { entry.request, isRead ? RecordResultKind::Unavailable : RecordResultKind::Unknown, {} });
        }
        group = m_inFlight.erase(group);
    }
    return results;
}

} // namespace anvilmoor
