#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilmoor {

// The version of a row increases with each write. Version 0 denotes an absent row.
using RowVersion = std::uint64_t;

struct TableRow {
    std::string key;
    RowVersion version = 0;
    std::string value;
};

// Holds if the current version of the row equals `version`.
struct TableCondition {
    std::string key;
    RowVersion version = 0;
};

struct TableWrite {
    std::string key;
    std::optional<std::string> value; // nullopt: delete the row
};

// Applies all writes atomically if all conditions hold; otherwise applies none.
struct TableTransaction {
    std::vector<TableCondition> conditions;
    std::vector<TableWrite> writes;
};

struct TableRead {
    std::vector<std::string> keys;
    std::vector<std::string> prefixes;
};

enum class TableStatus {
    Ok, // committed, or read
    Conflict, // a condition did not hold; nothing was written
    Unavailable, // certain that nothing was written
    Unknown, // no reply: the write may have taken effect or may still do so
};

struct TableReply {
    TableStatus status = TableStatus::Unknown;
    // After a read: the rows found. After a conflict: the current rows of the failed conditions, absent ones
    // with version 0. After a commit: the written rows with their new versions and empty values.
    std::vector<TableRow> rows;
};

} // namespace anvilmoor
