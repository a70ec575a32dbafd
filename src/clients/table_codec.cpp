#include "clients/table_codec.h"

#include "clients/json_reader.h"

#include <algorithm>

namespace anvilmoor::clients {

using nlohmann::json;

namespace {

json rowsToJson(const std::vector<TableRow>& rows)
{
    json array = json::array();
    for (const TableRow& row : rows) {
        json object { { "key", row.key }, { "version", row.version } };
        putBytes(object, "value", row.version ? std::optional(row.value) : std::nullopt);
        array.push_back(std::move(object));
    }
    return array;
}

std::vector<TableRow> readRows(JsonReader& reader, std::string_view field)
{
    std::vector<TableRow> rows;
    for (JsonReader& item : reader.items(field))
        rows.push_back({ item.text("key"), item.number("version"), item.bytes("value").value_or("") });
    return rows;
}

} // namespace

Encoded encodeTransaction(const TableTransaction& transaction)
{
    json message { { "conditions", json::array() }, { "writes", json::array() } };
    for (const TableCondition& condition : transaction.conditions)
        message["conditions"].push_back({ { "key", condition.key }, { "version", condition.version } });
    for (const TableWrite& write : transaction.writes) {
        json object { { "key", write.key } };
        putBytes(object, "value", write.value);
        message["writes"].push_back(std::move(object));
    }
    return toText(message);
}

Decoded<TableTransaction> decodeTransaction(std::string_view text)
{
    JsonReader reader(text);
    TableTransaction transaction;
    for (JsonReader& item : reader.items("conditions"))
        transaction.conditions.push_back({ item.text("key"), item.number("version") });
    for (JsonReader& item : reader.items("writes"))
        transaction.writes.push_back({ item.text("key"), item.bytes("value") });
    return reader.result(std::move(transaction));
}

Encoded encodeTransactionReply(const TableReply& reply, RowVersion revision)
{
    const bool isCommitted = reply.status == TableStatus::Ok;
    json message { { "committed", isCommitted }, { "revision", revision }, { "conflicts", json::array() },
        { "written", json::array() } };
    if (!isCommitted) {
        message["conflicts"] = rowsToJson(reply.rows);
        return toText(message);
    }
    for (const TableRow& row : reply.rows)
        message["written"].push_back({ { "key", row.key }, { "version", row.version } });
    return toText(message);
}

Decoded<TableReply> decodeTransactionReply(std::string_view text, const TableTransaction& transaction)
{
    JsonReader reader(text);
    TableReply reply { reader.flag("committed") ? TableStatus::Ok : TableStatus::Conflict, {} };
    if (reply.status == TableStatus::Conflict) {
        reply.rows = readRows(reader, "conflicts");
        if (reply.rows.empty())
            reader.fail("conflicts", "is empty although the transaction was not committed");
        return reader.result(std::move(reply));
    }
    for (JsonReader& item : reader.items("written"))
        reply.rows.push_back({ item.text("key"), item.number("version"), {} });
    for (const TableWrite& write : transaction.writes) {
        if (std::ranges::find(reply.rows, write.key, &TableRow::key) == reply.rows.end())
            reader.fail("written", "lacks a key of the transaction");
    }
    return reader.result(std::move(reply));
}

Encoded encodeRead(const TableRead& read)
{
    return toText({ { "keys", read.keys }, { "prefixes", read.prefixes } });
}

Decoded<TableRead> decodeRead(std::string_view text)
{
    JsonReader reader(text);
    TableRead read { reader.texts("keys"), reader.texts("prefixes") };
    return reader.result(std::move(read));
}

Encoded encodeReadReply(const TableReply& reply, RowVersion revision)
{
    return toText({ { "revision", revision }, { "rows", rowsToJson(reply.rows) } });
}

Decoded<TableReply> decodeReadReply(std::string_view text)
{
    JsonReader reader(text);
    TableReply reply { TableStatus::Ok, readRows(reader, "rows") };
    return reader.result(std::move(reply));
}

} // namespace anvilmoor::clients
