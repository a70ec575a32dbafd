#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

// Rows of the platform's store, and transactions on them.

namespace anvilmoor::batch {

using RowVersion = std::uint64_t; // from one counter that rises with each transaction; 0: no such row

// ms on the store's own steady clock, as an answer states it; 0: not stated.
using StoreClock = std::int64_t;

struct RowKey {
    std::string table;
    std::string part; // rows of one transaction share it
    std::string key;

    auto operator<=>(const RowKey&) const = default;
};

struct Row {
    RowKey key;
    std::string value; // bytes
    RowVersion version = 0;
    bool isDeleted = false;
};

struct ExpectedVersion {
    RowKey key;
    RowVersion version = 0;
};

// Applied as a whole if every row has its expected version, or not at all.
struct Transaction {
    std::vector<ExpectedVersion> expected;
    std::vector<Row> writes; // versions are ignored
    std::vector<RowKey> removals;
};

enum class CommitOutcome {
    Applied,
    Conflict, // not applied; current rows are given
    Refused, // certainly not applied
    Unknown, // no answer: it may have been applied, or be applied later
};

struct CommitReply {
    CommitOutcome outcome = CommitOutcome::Unknown;
    RowVersion version = 0; // if applied
    std::vector<Row> current; // on a conflict: the expected rows as they are
    StoreClock answeredAt = 0;
};

struct ReadReply {
    bool isOk = false;
    std::vector<Row> rows;
};

} // namespace anvilmoor::batch
