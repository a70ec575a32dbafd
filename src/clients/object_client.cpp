#include "clients/object_client.h"

#include "net/url_path.h"

#include <fmt/format.h>
#include <utility>

namespace anvilmoor::clients {

namespace {

ObjectResult resultOf(const net::HttpResult& result)
{
    const auto failed = [](ObjectErrorKind kind, std::string detail) -> ObjectResult {
        return tl::unexpected(ObjectError { kind, std::move(detail) });
    };
    if (!result) {
        const bool isUnsent = result.error().kind == net::HttpErrorKind::NotSent;
        return failed(
            isUnsent ? ObjectErrorKind::Unavailable : ObjectErrorKind::Unknown, result.error().detail);
    }
    if (result->status == 200)
        return result->body;
    if (result->status == 404)
        return failed(ObjectErrorKind::NotFound, "no such object");
    const bool isRefused = result->status == 503 || result->status < 500;
    return failed(isRefused ? ObjectErrorKind::Unavailable : ObjectErrorKind::Unknown,
        fmt::format("the object store answered with status {}", result->status));
}

class HttpObjectClient : public ObjectClient {
public:
    HttpObjectClient(net::HttpClient& client, net::SocketAddress address, Milliseconds timeout)
        : m_client(client)
        , m_address(std::move(address))
        , m_timeout(timeout)
    {
    }

    void put(const std::string& key, std::string value, ObjectCallback callback) override
    {
        m_client.call(m_address, { "PUT", pathOf(key), {}, std::move(value), "object_store" }, m_timeout,
            [callback = std::move(callback)](const net::HttpResult& result) { callback(resultOf(result)); });
    }

    void get(const std::string& key, ObjectCallback callback) override
    {
        m_client.call(m_address, { "GET", pathOf(key), {}, {}, "object_store" }, m_timeout,
            [callback = std::move(callback)](const net::HttpResult& result) {
                ObjectResult object = resultOf(result);
                // A get changes nothing, so a failed one is never Unknown.
                if (!object && object.error().kind == ObjectErrorKind::Unknown)
                    object.error().kind = ObjectErrorKind::Unavailable;
                callback(std::move(object));
            });
    }

    void remove(const std::string& key, ObjectCallback callback) override
    {
        m_client.call(m_address, { "DELETE", pathOf(key), {}, {}, "object_store" }, m_timeout,
            [callback = std::move(callback)](const net::HttpResult& result) { callback(resultOf(result)); });
    }

private:
    static std::string pathOf(const std::string& key)
    {
        return fmt::format("/v1/objects/{}", net::encodePathSegment(key));
    }

    net::HttpClient& m_client;
    net::SocketAddress m_address;
    Milliseconds m_timeout;
};

} // namespace

std::unique_ptr<ObjectClient> makeObjectClient(
    net::HttpClient& client, net::SocketAddress address, Milliseconds timeout)
{
    return std::make_unique<HttpObjectClient>(client, std::move(address), timeout);
}

} // namespace anvilmoor::clients
