#include "clients/endpoint_codec.h"

#include "net/url_path.h"

#include <fmt/format.h>

namespace anvilmoor::clients {

namespace {

constexpr const char* accountHeader = "Anvilmoor-Account";
constexpr const char* keyHeader = "Idempotency-Key";
constexpr const char* operationHeader = "Anvilmoor-Operation";

template <typename Message> RequestIdentity identityOf(const Message& message)
{
    return { ClientAccountId(std::string(message.header(accountHeader))),
        std::string(message.header(keyHeader)) };
}

EndpointFailure failureOf(net::HttpErrorKind kind)
{
    return kind == net::HttpErrorKind::NotSent ? EndpointFailure::NotSent : EndpointFailure::Lost;
}

} // namespace

net::HttpRequest endpointRequest(const CallEndpoint& call)
{
    return { "POST", fmt::format("/v1/endpoints/{}/call", net::encodePathSegment(call.endpoint.value())),
        { { accountHeader, call.identity.account.value() }, { keyHeader, call.identity.key },
            { operationHeader, call.operation } },
        call.body };
}

Decoded<CallEndpoint> decodeEndpointRequest(const net::HttpRequest& request, const EndpointId& endpoint)
{
    CallEndpoint call;
    call.endpoint = endpoint;
    call.identity = identityOf(request);
    call.operation = std::string(request.header(operationHeader));
    call.body = request.body;
    if (call.identity.account.isEmpty())
        return tl::unexpected(CodecError { fmt::format("header {} is missing", accountHeader) });
    if (call.operation.empty())
        return tl::unexpected(CodecError { fmt::format("header {} is missing", operationHeader) });
    return call;
}

net::HttpResponse endpointResponse(const RequestIdentity& identity, int status, std::string body)
{
    return { status, { { accountHeader, identity.account.value() }, { keyHeader, identity.key } },
        std::move(body) };
}

EndpointOutcome decodeEndpointResponse(const net::HttpResult& result, const CallEndpoint& call)
{
    const auto failed = [&call](EndpointFailure failure, std::string detail) -> EndpointOutcome {
        return EndpointFailed { call.call, failure, std::move(detail) };
    };
    if (!result)
        return failed(failureOf(result.error().kind), result.error().detail);
    const RequestIdentity identity = identityOf(*result);
    const bool isAnonymous = identity == RequestIdentity {};
    const bool isForeign = identity != call.identity;
    if (isForeign && !isAnonymous)
        return failed(EndpointFailure::Lost, "the response carries the identity of another request");
    if (result->status == 503)
        return failed(
            EndpointFailure::RefusedBeforeExecution, "the endpoint refused the request with status 503");
    if (result->status >= 500)
        return failed(
            EndpointFailure::Error, fmt::format("the endpoint failed with status {}", result->status));
    if (result->status != 200)
        return failed(
            EndpointFailure::Lost, fmt::format("the endpoint answered with status {}", result->status));
    if (isForeign)
        return failed(EndpointFailure::Lost, "the response does not carry the identity of its request");
    if (result->header("Content-Length") != std::to_string(result->body.size()))
        return failed(
            EndpointFailure::Lost, "Content-Length of the response is missing or does not match its body");
    return EndpointAnswered { call.call, identity, result->body };
}

} // namespace anvilmoor::clients
