#include "batch/intake/row_writer.h"

#include "batch/store/transaction_size.h"

#include <algorithm>
#include <utility>

namespace anvilmoor::batch {

namespace {

// The platform accepts 100 entries per transaction. A row may count twice: as an expected version and as a
// write.
constexpr std::size_t rowsPerTransaction = 45;
constexpr Milliseconds initialRetryDelay { 40 };
constexpr int maxDoublings = 4;

bool isStored(const std::vector<Row>& rows, const RowKey& key)
{
    return std::any_of(
        rows.begin(), rows.end(), [&key](const Row& row) { return row.key == key && row.version != 0; });
}

} // namespace

RowWriter::RowWriter(const StoreLimits& limits)
    : m_maxTransactionBytes(limits.transactionBytes)
{
}

void RowWriter::write(Ticket ticket, Row row, bool mustBeNew, TimePoint sendBefore, Step& step)
{
    Part& part = m_parts[row.key.part];
    part.waiting.push_back({ ticket, std::move(row), mustBeNew, sendBefore });
    sendIfDue(part, step);
}

void RowWriter::forget(Ticket ticket)
{
    for (auto& [name, part] : m_parts) {
        std::erase_if(part.waiting, [ticket](const Entry& entry) { return entry.ticket == ticket; });
        for (Entry& entry : part.inFlight)
            entry.isForgotten = entry.isForgotten || entry.ticket == ticket;
    }
}

void RowWriter::sendIfDue(Part& part, Step& step)
{
    if (part.operation || step.now < part.sendAt)
        return;
    // The process may have been suspended since these rows came.
    std::erase_if(part.waiting, [&step](const Entry& entry) { return step.now >= entry.sendBefore; });
    if (!part.waiting.empty())
        send(part, step);
}

void RowWriter::send(Part& part, Step& step)
{
    Transaction transaction;
    std::size_t bytes = 0;
    while (!part.waiting.empty() && part.inFlight.size() < rowsPerTransaction) {
        const Entry& next = part.waiting.front();
        bytes += encodedBytes(next.row) + encodedBytes(next.row.key);
        const bool isSeparate = next.isSuspect || (!part.inFlight.empty() && part.inFlight.front().isSuspect);
        if (!part.inFlight.empty() && (isSeparate || bytes > m_maxTransactionBytes))
            break;
        Entry entry = std::move(part.waiting.front());
        part.waiting.pop_front();
        if (entry.mustBeNew)
            transaction.expected.push_back({ entry.row.key, 0 });
        transaction.writes.push_back(entry.row);
        part.inFlight.push_back(std::move(entry));
    }
    part.operation = ++m_lastOperation | writerOperationBit;
    m_operations.emplace(part.operation, part.inFlight.front().row.key.part);
    step.emit(Commit { part.operation, std::move(transaction) });
}

RowWriter::Result RowWriter::answered(const CommitAnswered& answer, Step& step)
{
    Result result;
    const auto operation = m_operations.find(answer.operation);
    if (operation == m_operations.end())
        return result;
    Part& part = m_parts[operation->second];
    m_operations.erase(operation);
    std::vector<Entry> entries = std::exchange(part.inFlight, {});
    part.operation = 0;
    if (answer.reply.outcome == CommitOutcome::Invalid) {
        reject(part, std::move(entries), step.now, result);
        delay(part, step);
        return result;
    }
    const bool isApplied = answer.reply.outcome == CommitOutcome::Applied;
    const bool isConflict = answer.reply.outcome == CommitOutcome::Conflict;
    for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
        const bool isEntryStored
            = isApplied || (isConflict && isStored(answer.reply.current, entry->row.key));
        if (isEntryStored || answer.reply.outcome == CommitOutcome::Unknown)
            noteMayBeStored(entry->row.key, step.now);
        if (isEntryStored)
            result.stored.push_back(entry->ticket);
        else if (!entry->isForgotten)
            part.waiting.push_front(std::move(*entry));
    }
    if (isApplied || isConflict)
        part.refusals = 0;
    else
        delay(part, step);
    sendIfDue(part, step);
    return result;
}

// A row that may be stored by an earlier transaction is not given up, but lets the others go first.
void RowWriter::reject(Part& part, std::vector<Entry> entries, TimePoint now, Result& result)
{
    const bool isAlone = entries.size() == 1;
    for (Entry& entry : entries) {
        if (entry.isForgotten)
            continue;
        entry.isSuspect = true;
        if (isAlone && !mayBeStored(entry.row.key, now))
            result.rejected.push_back(entry.ticket);
        else
            part.waiting.push_back(std::move(entry));
    }
}

// Half of the delay is random, so that daemons refused at the same time do not retry at the same time.
void RowWriter::delay(Part& part, Step& step)
{
    const Milliseconds maxDelay = initialRetryDelay * (1 << std::min(part.refusals, maxDoublings));
    ++part.refusals;
    const auto half = static_cast<std::uint64_t>(maxDelay.count() / 2);
    part.sendAt = step.now + maxDelay / 2 + Milliseconds(static_cast<std::int64_t>(step.random % (half + 1)));
}

bool RowWriter::mayBeStored(const RowKey& key, TimePoint now) const
{
    const auto known = m_mayBeStored.find(key);
    if (known != m_mayBeStored.end() && now < known->second + storageUncertainty)
        return true;
    const auto part = m_parts.find(key.part);
    if (part == m_parts.end())
        return false;
    const std::vector<Entry>& inFlight = part->second.inFlight;
    return std::any_of(
        inFlight.begin(), inFlight.end(), [&key](const Entry& entry) { return entry.row.key == key; });
}

void RowWriter::noteMayBeStored(const RowKey& key, TimePoint now)
{
    m_mayBeStored[key] = now;
    m_mayBeStoredByTime.emplace_back(now, key);
}

void RowWriter::forgetOldRows(TimePoint now)
{
    while (!m_mayBeStoredByTime.empty() && now >= m_mayBeStoredByTime.front().first + storageUncertainty) {
        const auto& [time, key] = m_mayBeStoredByTime.front();
        const auto known = m_mayBeStored.find(key);
        if (known != m_mayBeStored.end() && known->second == time)
            m_mayBeStored.erase(known);
        m_mayBeStoredByTime.pop_front();
    }
}

void RowWriter::tick(Step& step)
{
    forgetOldRows(step.now);
    for (auto& [name, part] : m_parts)
        sendIfDue(part, step);
}

} // namespace anvilmoor::batch
