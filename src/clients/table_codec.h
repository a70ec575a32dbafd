#pragma once

#include "anvilmoor/table.h"
#include "clients/codec_error.h"

#include <string_view>

namespace anvilmoor::clients {

// Encodes and decodes the requests and replies of the table (design page, section 6). The reply to a
// committed transaction also contains `written:[{key,version}]`.

Encoded encodeTransaction(const TableTransaction&);
Decoded<TableTransaction> decodeTransaction(std::string_view);

// The reply is Ok or Conflict. The revision is the highest version in the table.
Encoded encodeTransactionReply(const TableReply&, RowVersion revision);
// Fails if the reply to a committed transaction does not contain every written key.
Decoded<TableReply> decodeTransactionReply(std::string_view, const TableTransaction&);

Encoded encodeRead(const TableRead&);
Decoded<TableRead> decodeRead(std::string_view);

Encoded encodeReadReply(const TableReply&, RowVersion revision);
Decoded<TableReply> decodeReadReply(std::string_view);

} // namespace anvilmoor::clients
