#include "batch/store/transaction_size.h"

namespace anvilmoor::batch {

namespace {

// The names of the fields, the version and the punctuation.
constexpr std::size_t entryOverhead = 128;
// A character of a key may be encoded as an escape sequence.
constexpr std::size_t bytesPerKeyCharacter = 6;

} // namespace

std::size_t encodedBytes(const RowKey& key)
{
    const std::size_t characters = key.table.size() + key.part.size() + key.key.size();
    return entryOverhead + characters * bytesPerKeyCharacter;
}

// Values are sent as base64.
std::size_t encodedBytes(const Row& row) { return encodedBytes(row.key) + (row.value.size() + 2) / 3 * 4; }

} // namespace anvilmoor::batch
