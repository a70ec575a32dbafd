#include "model/table_store.h"

namespace anvilmoor::standin {

TableReply TableStore::execute(const TableTransaction& transaction)
{
    TableReply reply { TableStatus::Ok, {} };
    for (const TableCondition& condition : transaction.conditions) {
        const auto found = m_rows.find(condition.key);
        const RowVersion version = found == m_rows.end() ? 0 : found->second.version;
        if (version == condition.version)
            continue;
        reply.status = TableStatus::Conflict;
        reply.rows.push_back(version ? found->second : TableRow { condition.key, 0, {} });
    }
    if (reply.status == TableStatus::Conflict)
        return reply;

    for (const TableWrite& write : transaction.writes) {
        ++m_writesCommitted;
        if (!write.value) {
            m_rows.erase(write.key);
            reply.rows.push_back({ write.key, 0, {} });
            continue;
        }
        const RowVersion version = ++m_lastVersion;
        m_rows[write.key] = { write.key, version, *write.value };
        reply.rows.push_back({ write.key, version, {} });
    }
    return reply;
}

TableReply TableStore::read(const TableRead& request) const
{
    std::map<std::string, TableRow> found;
    for (const std::string& key : request.keys) {
        const auto row = m_rows.find(key);
        if (row != m_rows.end())
            found.insert(*row);
    }
    for (const std::string& prefix : request.prefixes) {
        for (auto row = m_rows.lower_bound(prefix); row != m_rows.end() && row->first.starts_with(prefix);
             ++row)
            found.insert(*row);
    }
    TableReply reply { TableStatus::Ok, {} };
    for (auto& [key, row] : found)
        reply.rows.push_back(std::move(row));
    return reply;
}

} // namespace anvilmoor::standin
