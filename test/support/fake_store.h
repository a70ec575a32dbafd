#pragma once

#include "anvilmoor/batch/rows.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace anvilmoor::testing {

// The platform's store: versioned rows, and transactions that apply only if the expected versions match.
class FakeStore {
public:
    // A transaction beyond any of these limits is refused, however often it is sent.
    std::size_t rowBytes = 65'536;
    std::size_t transactionBytes = 1'000'000;
    std::size_t transactionEntries = 100;

    batch::CommitReply commit(const batch::Transaction&);
    std::vector<batch::Row> read(const batch::RowKey& from, const std::string& until) const;
    // Changes to the table after the version, deletions included.
    std::vector<batch::Row> changes(const std::string& table, batch::RowVersion after) const;
    batch::RowVersion version() const { return m_version; }
    bool holds(const batch::RowKey& key) const { return m_rows.contains(key); }

private:
    bool isWithinLimits(const batch::Transaction&) const;

    std::map<batch::RowKey, batch::Row> m_rows;
    std::vector<batch::Row> m_history;
    batch::RowVersion m_version = 0;
};

} // namespace anvilmoor::testing
