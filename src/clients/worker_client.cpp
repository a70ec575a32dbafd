#include "clients/worker_client.h"

#include "clients/worker_codec.h"
#include "net/url_path.h"

#include <fmt/format.h>
#include <utility>

namespace anvilmoor::clients {

namespace {

constexpr int staleTokenStatus = 409;

RackSyncOutcome outcomeOf(const net::HttpResult& result, const RackId& rack, FencingToken token)
{
    const bool isStale = result && result->status == staleTokenStatus;
    if (!result || result->status != 200)
        return RackSyncFailed { rack, isStale };
    auto report = decodeRackReport(result->body, rack, token);
    if (!report)
        return RackSyncFailed { rack, false };
    return std::move(*report);
}

WorkerCommandResult resultOf(const net::HttpResult& result)
{
    if (!result || result->status != 200)
        return WorkerCommandResult::Unreachable;
    return decodeCommandResult(result->body).value_or(WorkerCommandResult::Unreachable);
}

class HttpWorkerClient : public WorkerClient {
public:
    explicit HttpWorkerClient(net::HttpClient& client)
        : m_client(client)
    {
    }

    void sync(const net::SocketAddress& address, const SyncRack& sync, RackSyncCallback callback) override
    {
        const std::string path = fmt::format("/v1/racks/{}/sync", net::encodePathSegment(sync.rack.value()));
        m_client.call(address, post(path, encodeSync(sync), "rack_sync"), sync.wait + syncMargin,
            [rack = sync.rack, token = sync.token, callback = std::move(callback)](
                const net::HttpResult& result) { callback(outcomeOf(result, rack, token)); });
    }

    void command(const net::SocketAddress& address, const WorkerId& worker, const WorkerCommand& command,
        WorkerCommandCallback callback) override
    {
        const std::string path
            = fmt::format("/v1/workers/{}/command", net::encodePathSegment(worker.value()));
        m_client.call(address, post(path, encodeCommand(command), "worker_command"), commandTimeout,
            [callback = std::move(callback)](const net::HttpResult& result) { callback(resultOf(result)); });
    }

private:
    // A message that cannot be encoded gets an empty path, so that the HTTP client reports it as not sent.
    static net::HttpRequest post(const std::string& path, Encoded body, std::string_view trafficKind)
    {
        return { "POST", body ? path : std::string(), {}, std::move(body).value_or(""), trafficKind };
    }

    net::HttpClient& m_client;
};

} // namespace

std::unique_ptr<WorkerClient> makeWorkerClient(net::HttpClient& client)
{
    return std::make_unique<HttpWorkerClient>(client);
}

} // namespace anvilmoor::clients
