#include "entry/wire_codec.h"

#include "entry/json_fields.h"
#include "entry/wire_path.h"

#include <absl/time/time.h>
#include <algorithm>
#include <charconv>
#include <cstdint>
#include <fmt/format.h>
#include <limits>
#include <string_view>
#include <utility>

namespace anvilmoor::entry {

namespace {

// Errors are thrown as exceptions only within the decoder; decodeCall() converts them to its return value.
[[noreturn]] void refuse(std::string reason) { throw WireError { 400, std::move(reason), {} }; }

struct Call {
    const net::HttpRequest& request;
    const WirePath& path;
    CallerHandle caller;
};

// Allows only printable ASCII, so that names are safe in headers, table keys and logs.
void checkName(std::string_view subject, std::string_view name)
{
    if (name.empty())
        refuse(fmt::format("{} is missing", subject));
    if (name.size() > maxNameBytes)
        refuse(fmt::format("{} has {} bytes; at most {} are allowed", subject, name.size(), maxNameBytes));
    if (!std::ranges::all_of(name, [](char character) { return character > 0x20 && character < 0x7f; }))
        refuse(fmt::format("{} may contain only printable ASCII characters without spaces", subject));
}

// A client account is part of table keys, in which "/" separates the parts.
ClientAccountId parseAccount(std::string_view subject, std::string_view name)
{
    checkName(subject, name);
    if (name.find('/') != std::string_view::npos)
        refuse(fmt::format("{} must not contain \"/\"", subject));
    return ClientAccountId(std::string(name));
}

std::int64_t parseInteger(
    std::string_view subject, std::string_view text, std::int64_t minimum, std::int64_t maximum)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < minimum || value > maximum)
        refuse(fmt::format("{} must be an integer from {} to {}", subject, minimum, maximum));
    return value;
}

// Accepts milliseconds since the Unix epoch or a time according to RFC 3339.
WallTime parseIssuedAt(std::string_view text)
{
    const auto isDigit = [](char character) { return character >= '0' && character <= '9'; };
    if (std::ranges::all_of(text, isDigit)) {
        constexpr std::int64_t lastYear9999 = 253'402'300'799'999;
        return WallTime(Milliseconds(parseInteger("header Anvilmoor-Issued-At", text, 0, lastYear9999)));
    }
    absl::Time time;
    std::string error;
    if (!absl::ParseTime(absl::RFC3339_full, absl::string_view(text.data(), text.size()), &time, &error)
        || time == absl::InfiniteFuture() || time == absl::InfinitePast())
        refuse("header Anvilmoor-Issued-At must be milliseconds since the Unix epoch, or a time like "
               "2026-01-02T03:04:05Z");
    return WallTime(Milliseconds(absl::ToUnixMillis(time)));
}

EventPayload decodeRequest(const Call& call)
{
    const net::HttpRequest& request = call.request;
    RequestReceived event;
    event.caller = call.caller;
    checkName("the service in the path", call.path.segments[2]);
    checkName("the operation in the path", call.path.segments[3]);
    event.service = ServiceId(call.path.segments[2]);
    event.operation = call.path.segments[3];
    event.identity.account = parseAccount("header Anvilmoor-Account", request.header("Anvilmoor-Account"));
    event.identity.key = std::string(request.header("Idempotency-Key"));
    if (!event.identity.key.empty())
        checkName("header Idempotency-Key", event.identity.key);
    event.callerName = std::string(request.header("Anvilmoor-Caller"));
    if (!event.callerName.empty())
        checkName("header Anvilmoor-Caller", event.callerName);
    const std::string_view issuedAt = request.header("Anvilmoor-Issued-At");
    if (!issuedAt.empty())
        event.issuedAt = parseIssuedAt(issuedAt);
    const std::string_view deadline = request.header("Anvilmoor-Deadline-Ms");
    if (!deadline.empty())
        event.deadline
            = Milliseconds(parseInteger("header Anvilmoor-Deadline-Ms", deadline, 1, maxDeadline.count()));
    const std::string_view firstCopy = request.header("Anvilmoor-First-Copy");
    if (!firstCopy.empty() && firstCopy != "true" && firstCopy != "false")
        refuse("header Anvilmoor-First-Copy must be \"true\" or \"false\"");
    event.isFirstCopy = firstCopy == "true";
    event.body = request.body;
    return event;
}

EventPayload decodeRequestQuery(const Call& call)
{
    checkName("the key in the path", call.path.segments[3]);
    return RequestQueried { call.caller,
        { parseAccount("the account in the path", call.path.segments[2]), call.path.segments[3] } };
}

JobClass parseJobClass(const std::string& text)
{
    if (text != "guaranteed" && text != "borrowed")
        refuse("field \"class\" must be \"guaranteed\" or \"borrowed\"");
    return text == "guaranteed" ? JobClass::Guaranteed : JobClass::Borrowed;
}

EventPayload decodeJobSubmission(const Call& call)
{
    const JsonFields fields(call.request.body,
        { "account", "key", "zone", "class", "accelerators", "adjacent", "priority", "run_ms" });
    JobSpecification job;
    job.account = parseAccount("field \"account\"", fields.text("account"));
    job.key = fields.text("key");
    checkName("field \"key\"", job.key);
    if (fields.has("zone")) {
        const std::string zone = fields.text("zone");
        checkName("field \"zone\"", zone);
        job.zone = AvailabilityZoneId(zone);
    }
    if (fields.has("class"))
        job.jobClass = parseJobClass(fields.text("class"));
    job.accelerators = static_cast<int>(fields.integer("accelerators", 1, maxGangAccelerators));
    if (fields.has("adjacent"))
        job.adjacent = fields.boolean("adjacent");
    if (fields.has("priority"))
        job.priority = static_cast<int>(fields.integer("priority", 0, 9));
    job.declaredRunTime = Milliseconds(fields.integer("run_ms", 1, maxDeclaredRunTime.count()));
    return JobSubmitted { call.caller, std::move(job) };
}

EventPayload decodeSiteQuery(const Call& call)
{
    const auto endpoints = call.path.query.find("endpoints");
    if (endpoints == call.path.query.end())
        return SiteQueried { call.caller };
    if (endpoints->second != "true" && endpoints->second != "false")
        refuse("query parameter endpoints must be \"true\" or \"false\"");
    return SiteQueried { call.caller, endpoints->second == "true" };
}

EventPayload decodeJobList(const Call& call)
{
    const auto account = call.path.query.find("account");
    if (account == call.path.query.end())
        return JobsListed { call.caller, {} };
    return JobsListed { call.caller, parseAccount("query parameter account", account->second) };
}

JobId parseJobId(const Call& call)
{
    const std::string& id = call.path.segments[2];
    checkName("the job id in the path", id);
    const std::size_t dot = id.rfind('.');
    const auto isHex
        = [](char digit) { return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f'); };
    if (dot == std::string::npos || dot == 0 || id.size() - dot != 17
        || !std::ranges::all_of(id.substr(dot + 1), isHex) || id.find('/') != std::string::npos)
        refuse("the job id in the path must have the form <zone>.<16 hex digits>");
    return JobId(id);
}

EventPayload decodeConfiguration(const Call& call)
{
    const JsonFields fields(call.request.body, { "expected_version", "document" });
    const auto version = fields.integer("expected_version", 0, std::numeric_limits<std::int64_t>::max());
    return ConfigurationSubmitted { call.caller, fields.object("document").dump(),
        static_cast<ConfigurationVersion>(version) };
}

EventPayload decodeDrain(const Call& call, bool isLeaving)
{
    const std::string& endpoint = call.path.segments[2];
    checkName("the endpoint in the path", endpoint);
    const std::size_t separator = endpoint.find('@');
    if (separator == std::string::npos || separator == 0 || separator + 1 == endpoint.size())
        refuse("the endpoint in the path must have the form <service>@<worker>");
    return DrainRequested { call.caller, EndpointId(endpoint), isLeaving };
}

// A path with one method and its decoder. A segment "*" matches any text.
struct Route {
    std::initializer_list<std::string_view> segments;
    std::string_view method;
    EventPayload (*decode)(const Call&);
};

const std::initializer_list<Route> routes {
    { { "v1", "services", "*", "*" }, "POST", decodeRequest },
    { { "v1", "requests", "*", "*" }, "GET", decodeRequestQuery },
    { { "v1", "jobs" }, "POST", decodeJobSubmission },
    { { "v1", "jobs" }, "GET", decodeJobList },
    { { "v1", "jobs", "*" }, "GET",
        [](const Call& call) -> EventPayload {
            return JobQueried { call.caller, parseJobId(call) };
        } },
    { { "v1", "jobs", "*" }, "DELETE",
        [](const Call& call) -> EventPayload {
            return JobCancelRequested { call.caller, parseJobId(call) };
        } },
    { { "v1", "config" }, "GET",
        [](const Call& call) -> EventPayload { return ConfigurationQueried { call.caller }; } },
    { { "v1", "config" }, "PUT", decodeConfiguration },
    { { "v1", "endpoints", "*", "drain" }, "POST", [](const Call& call) { return decodeDrain(call, true); } },
    { { "v1", "endpoints", "*", "drain" }, "DELETE",
        [](const Call& call) { return decodeDrain(call, false); } },
    { { "v1", "site" }, "GET", decodeSiteQuery },
};

bool matches(const Route& route, const WirePath& path)
{
    return std::ranges::equal(
        route.segments, path.segments, [](std::string_view expected, std::string_view actual) {
            return expected == "*" || expected == actual;
        });
}

EventPayload dispatch(const Call& call)
{
    std::string allowed;
    for (const Route& route : routes) {
        if (!matches(route, call.path))
            continue;
        if (route.method == call.request.method)
            return route.decode(call);
        allowed += (allowed.empty() ? "" : ", ") + std::string(route.method);
    }
    if (allowed.empty())
        throw WireError { 404, "no such path", {} };
    throw WireError { 405, "this path allows " + allowed, allowed };
}

} // namespace

tl::expected<EventPayload, WireError> decodeCall(const net::HttpRequest& request, CallerHandle caller)
{
    const auto path = parsePath(request.path);
    if (!path)
        return tl::unexpected(WireError { 400, "the path is malformed", {} });
    try {
        return dispatch({ request, *path, caller });
    } catch (const WireError& error) {
        return tl::unexpected(error);
    }
}

} // namespace anvilmoor::entry
