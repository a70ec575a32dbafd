#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

// Rows of the platform's store, and transactions on them.

namespace anvilmoor::batch {

// Taken from one counter that increases with each transaction; 0: the row does not exist.
using RowVersion = std::uint64_t;

// Milliseconds on the store's own steady clock, as reported in an answer; 0: not reported.
using StoreClock = std::int64_t;

struct RowKey {
    std::string table;
    std::string part; // partition; all rows of one transaction are in the same one
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

// Applied atomically: either as a whole, if every row in `expected` has the given version, or not at all.
struct Transaction {
    std::vector<ExpectedVersion> expected;
    std::vector<Row> writes; // their versions are ignored
    std::vector<RowKey> removals;
};

// Limits of the store. It refuses a transaction beyond any of them, however often it is sent.
struct StoreLimits {
    std::size_t rowBytes = 65'536; // of a value
    std::size_t transactionEntries = 100; // expected versions, writes and removals together
    std::size_t transactionBytes = 1'000'000; // of the encoded request
};

enum class CommitOutcome {
    Applied,
    Conflict, // not applied; the reply contains the current rows
    Refused, // certainly not applied; may be applied if it is sent again
    Invalid, // certainly not applied, and refused again however often it is sent
    Unknown, // no answer: it may have been applied, or may still be applied
};

struct CommitReply {
    CommitOutcome outcome = CommitOutcome::Unknown;
    RowVersion version = 0; // if applied
    std::vector<Row> current; // on a conflict: the rows in `expected` as currently stored
    StoreClock answeredAt = 0;
};

struct ReadReply {
    bool isOk = false;
    std::vector<Row> rows;
};

} // namespace anvilmoor::batch
