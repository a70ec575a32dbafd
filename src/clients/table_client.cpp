#include "clients/table_client.h"

#include "clients/table_codec.h"

#include <utility>

namespace anvilmoor::clients {

namespace {

// A request that is answered with a 4xx status or 503 had no effect.
bool isRefusal(int status) { return status == 503 || (status >= 400 && status < 500); }

TableReply transactionReply(const net::HttpResult& result, const TableTransaction& transaction)
{
    if (!result) {
        const bool isUnsent = result.error().kind == net::HttpErrorKind::NotSent;
        return { isUnsent ? TableStatus::Unavailable : TableStatus::Unknown, {} };
    }
    if (result->status != 200)
        return { isRefusal(result->status) ? TableStatus::Unavailable : TableStatus::Unknown, {} };
    return decodeTransactionReply(result->body, transaction)
        .value_or(TableReply { TableStatus::Unknown, {} });
}

TableReply readReply(const net::HttpResult& result)
{
    TableReply unavailable { TableStatus::Unavailable, {} };
    if (!result || result->status != 200)
        return unavailable;
    return decodeReadReply(result->body).value_or(std::move(unavailable));
}

class HttpTableClient : public TableClient {
public:
    HttpTableClient(net::HttpClient& client, net::SocketAddress address, Milliseconds timeout)
        : m_client(client)
        , m_address(std::move(address))
        , m_timeout(timeout)
    {
    }

    void execute(TableTransaction transaction, TableCallback callback) override
    {
        net::HttpRequest request = post("/v1/table/txn", encodeTransaction(transaction));
        m_client.call(m_address, std::move(request), m_timeout,
            [transaction = std::move(transaction), callback = std::move(callback)](
                const net::HttpResult& result) { callback(transactionReply(result, transaction)); });
    }

    void read(TableRead read, TableCallback callback) override
    {
        m_client.call(m_address, post("/v1/table/read", encodeRead(read)), m_timeout,
            [callback = std::move(callback)](const net::HttpResult& result) { callback(readReply(result)); });
    }

private:
    // A message that cannot be encoded gets an empty path, so that the HTTP client reports it as not sent.
    static net::HttpRequest post(const char* path, Encoded body)
    {
        return { "POST", body ? path : "", {}, std::move(body).value_or(""), "table" };
    }

    net::HttpClient& m_client;
    net::SocketAddress m_address;
    Milliseconds m_timeout;
};

} // namespace

std::unique_ptr<TableClient> makeTableClient(
    net::HttpClient& client, net::SocketAddress address, Milliseconds timeout)
{
    return std::make_unique<HttpTableClient>(client, std::move(address), timeout);
}

} // namespace anvilmoor::clients
