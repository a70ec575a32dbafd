#pragma once

#include "anvilmoor/batch/rows.h"

#include <map>
#include <string>
#include <vector>

namespace anvilmoor::testing {

// The platform's store: versioned rows, and transactions that apply only if the expected versions match.
class FakeStore {
public:
    batch::CommitReply commit(const batch::Transaction&);
    std::vector<batch::Row> read(const batch::RowKey& from, const std::string& until) const;
    // Changes to the table after the version, deletions included.
    std::vector<batch::Row> changes(const std::string& table, batch::RowVersion after) const;
    batch::RowVersion version() const { return m_version; }
    bool holds(const batch::RowKey& key) const { return m_rows.contains(key); }

private:
    std::map<batch::RowKey, batch::Row> m_rows;
    std::vector<batch::Row> m_history;
    batch::RowVersion m_version = 0;
};

} // namespace anvilmoor::testing
