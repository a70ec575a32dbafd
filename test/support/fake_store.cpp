#include "support/fake_store.h"

namespace anvilmoor::testing {

namespace {

using namespace batch;

// Bytes that a row takes in the body of a request beside its value, which is encoded as base64.
constexpr std::size_t entryOverhead = 60;

std::size_t sizeOf(const RowKey& key)
{
    return key.table.size() + key.part.size() + key.key.size() + entryOverhead;
}

std::size_t base64Size(const std::string& value) { return (value.size() + 2) / 3 * 4; }

} // namespace

bool FakeStore::isWithinLimits(const Transaction& transaction) const
{
    std::size_t bytes = 0;
    for (const ExpectedVersion& expected : transaction.expected)
        bytes += sizeOf(expected.key);
    for (const Row& write : transaction.writes) {
        if (write.value.size() > rowBytes)
            return false;
        bytes += sizeOf(write.key) + base64Size(write.value);
    }
    for (const RowKey& key : transaction.removals)
        bytes += sizeOf(key);
    const std::size_t entries
        = transaction.expected.size() + transaction.writes.size() + transaction.removals.size();
    return bytes <= transactionBytes && entries <= transactionEntries;
}

CommitReply FakeStore::commit(const Transaction& transaction)
{
    if (!isWithinLimits(transaction))
        return { CommitOutcome::Invalid };
    CommitReply reply { CommitOutcome::Applied };
    for (const ExpectedVersion& expected : transaction.expected) {
        const auto row = m_rows.find(expected.key);
        const RowVersion version = row == m_rows.end() ? 0 : row->second.version;
        if (version != expected.version)
            reply.outcome = CommitOutcome::Conflict;
        reply.current.push_back(row == m_rows.end() ? Row { expected.key } : row->second);
    }
    if (reply.outcome == CommitOutcome::Conflict)
        return reply;
    reply.current.clear();
    reply.version = ++m_version;
    for (const Row& write : transaction.writes) {
        Row row = write;
        row.version = m_version;
        m_rows[row.key] = row;
        m_history.push_back(row);
    }
    for (const RowKey& key : transaction.removals) {
        m_rows.erase(key);
        m_history.push_back({ key, {}, m_version, true });
    }
    return reply;
}

std::vector<Row> FakeStore::read(const RowKey& from, const std::string& until) const
{
    std::vector<Row> rows;
    for (auto row = m_rows.lower_bound(from); row != m_rows.end(); ++row) {
        if (row->first.table != from.table || row->first.part != from.part)
            break;
        if (!until.empty() && row->first.key >= until)
            break;
        rows.push_back(row->second);
    }
    return rows;
}

std::vector<Row> FakeStore::changes(const std::string& table, RowVersion after) const
{
    std::vector<Row> rows;
    for (const Row& row : m_history) {
        if (row.key.table == table && row.version > after)
            rows.push_back(row);
    }
    return rows;
}

} // namespace anvilmoor::testing
