#pragma once

#include "anvilmoor/table.h"

#include <algorithm>
#include <string_view>

namespace anvilmoor {

// Null if the reply does not contain the row. A returned row of version 0 is absent from the table.
inline const TableRow* findRow(const TableReply& reply, std::string_view key)
{
    const auto found = std::ranges::find(reply.rows, key, &TableRow::key);
    return found == reply.rows.end() ? nullptr : &*found;
}

// Null if the reply does not contain the row or if the row is absent from the table.
inline const TableRow* findPresentRow(const TableReply& reply, std::string_view key)
{
    const TableRow* row = findRow(reply, key);
    return row && row->version ? row : nullptr;
}

} // namespace anvilmoor
