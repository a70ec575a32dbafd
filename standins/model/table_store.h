#pragma once

#include "anvilmoor/table.h"

#include <cstdint>
#include <map>
#include <string>

namespace anvilmoor::standin {

// The platform's transactional table, in memory: versioned rows and conditional transactions.
class TableStore {
public:
    // Returns Ok with the new versions of the written rows, or Conflict with the rows of the failed
    // conditions.
    TableReply execute(const TableTransaction&);

    // Returns the rows that exist, in key order. A row that is requested more than once is returned once.
    TableReply read(const TableRead&) const;

    const std::map<std::string, TableRow>& rows() const { return m_rows; }
    // The highest version assigned so far.
    RowVersion revision() const { return m_lastVersion; }
    std::uint64_t writesCommitted() const { return m_writesCommitted; }

private:
    std::map<std::string, TableRow> m_rows;
    // One counter for all rows, so that a row that is deleted and created again never reuses an old version.
    RowVersion m_lastVersion = 0;
    std::uint64_t m_writesCommitted = 0;
};

} // namespace anvilmoor::standin
