#include "entry/wire_answer.h"

#include "net/url_path.h"
#include "telemetry/event_log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace anvilmoor::entry {

namespace {

using Json = nlohmann::ordered_json;

net::HttpResponse jsonResponse(int status, const Json& body)
{
    net::HttpResponse response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    return response;
}

// Rounds up to whole seconds, which Retry-After requires, and to at least one.
std::string retryAfterSeconds(Milliseconds delay)
{
    return std::to_string(std::max<std::int64_t>(1, (delay.count() + 999) / 1000));
}

int statusOf(const RequestAnswer& answer)
{
    switch (answer.outcome) {
    case RequestOutcome::Done:
        return 200;
    case RequestOutcome::NotRun:
        return 503;
    case RequestOutcome::Unknown:
        return 504;
    case RequestOutcome::Refused:
        return answer.isConflict ? 409 : 400;
    }
    return 504;
}

std::string_view nameOf(JobState state)
{
    constexpr std::string_view names[] = { "queued", "placed", "running", "finished", "cancelled", "failed" };
    return names[static_cast<int>(state)];
}

std::string_view nameOf(EndpointState state)
{
    constexpr std::string_view names[] = { "live", "suspect", "leaving", "lost" };
    return names[static_cast<int>(state)];
}

Json timeOrNull(WallTime time)
{
    return time == WallTime() ? Json(nullptr) : Json(telemetry::utcTimestamp(time));
}

Json toJson(const JobStatus& status)
{
    const JobSpecification& job = status.specification;
    Json members = Json::array();
    for (const GangMember& member : status.members)
        members.push_back({ { "worker", member.worker.value() }, { "accelerators", member.accelerators } });
    return { { "id", job.id.value() }, { "account", job.account.value() }, { "key", job.key },
        { "zone", job.zone.value() },
        { "class", job.jobClass == JobClass::Guaranteed ? "guaranteed" : "borrowed" },
        { "accelerators", job.accelerators }, { "adjacent", job.adjacent }, { "priority", job.priority },
        { "run_ms", job.declaredRunTime.count() }, { "state", nameOf(status.state) },
        { "attempt", status.attempt }, { "members", std::move(members) }, { "reason", status.reason },
        { "checkpoint_ms", status.checkpointed.count() }, { "submitted_at", timeOrNull(status.submittedAt) },
        { "finished_at", timeOrNull(status.finishedAt) } };
}

Json toJson(const PeerStatus& peer)
{
    Json host { { "host", peer.host.value() }, { "zone", peer.zone.value() },
        { "reachable", peer.isReachable }, { "ready", peer.isReady },
        { "config_version", peer.configurationVersion }, { "held_token", peer.heldToken } };
    if (peer.heldToken != 0)
        host["summary"] = { { "free_accelerators", peer.summary.freeAccelerators },
            { "largest_free_shape", peer.summary.largestFreeShape },
            { "queued_jobs", peer.summary.queuedJobs }, { "running_tasks", peer.summary.runningTasks } };
    return host;
}

struct RefusalEncoding {
    int status;
    std::string_view name;
};

RefusalEncoding encodingOf(RefusalKind kind)
{
    switch (kind) {
    case RefusalKind::Invalid:
        return { 400, "invalid" };
    case RefusalKind::NotFound:
        return { 404, "not_found" };
    case RefusalKind::Conflict:
        return { 409, "conflict" };
    case RefusalKind::Unavailable:
        return { 503, "unavailable" };
    case RefusalKind::Unknown:
        return { 504, "unknown" };
    }
    return { 504, "unknown" };
}

struct OperatorEncoder {
    net::HttpResponse operator()(const Refusal& refusal) const
    {
        const auto [status, name] = encodingOf(refusal.kind);
        auto response = jsonResponse(status, { { "error", name }, { "reasons", refusal.reasons } });
        if (refusal.kind == RefusalKind::Unavailable)
            response.headers.push_back({ "Retry-After", "1" });
        return response;
    }

    net::HttpResponse operator()(const JobsAnswer& answer) const
    {
        if (answer.isSingle && !answer.jobs.empty())
            return jsonResponse(200, toJson(answer.jobs.front()));
        Json jobs = Json::array();
        for (const JobStatus& job : answer.jobs)
            jobs.push_back(toJson(job));
        return jsonResponse(200, { { "jobs", std::move(jobs) } });
    }

    net::HttpResponse operator()(const ConfigurationAnswer& answer) const
    {
        Json body { { "version", answer.version } };
        if (!answer.document.empty()) {
            Json document = Json::parse(answer.document, nullptr, false);
            body["document"] = document.is_discarded() ? Json(answer.document) : std::move(document);
        }
        return jsonResponse(200, body);
    }

    net::HttpResponse operator()(const SiteAnswer& answer) const
    {
        Json hosts = Json::array();
        for (const PeerStatus& host : answer.hosts)
            hosts.push_back(toJson(host));
        Json endpoints = Json::array();
        for (const EndpointStatus& endpoint : answer.endpoints)
            endpoints.push_back({ { "endpoint", endpoint.endpoint.value() },
                { "zone", endpoint.zone.value() }, { "state", nameOf(endpoint.state) } });
        return jsonResponse(200,
            { { "host", answer.host.value() }, { "config_version", answer.configurationVersion },
                { "hosts", std::move(hosts) }, { "endpoints", std::move(endpoints) },
                { "noise_db", answer.noiseDb }, { "noise_limit_db", answer.noiseLimitDb } });
    }

    net::HttpResponse operator()(const DrainAnswer& answer) const
    {
        return jsonResponse(200, { { "version", answer.version } });
    }
};

} // namespace

net::HttpResponse encodeAnswer(const RequestAnswer& answer, const RequestIdentity& identity)
{
    net::HttpResponse response;
    if (answer.outcome == RequestOutcome::Done) {
        response.headers.push_back({ "Content-Type", "application/octet-stream" });
        response.body = answer.body;
    } else {
        Json body { { "outcome", nameOf(answer.outcome) }, { "reason", answer.reason } };
        if (answer.outcome == RequestOutcome::Unknown && !identity.key.empty())
            body["url"] = "/v1/requests/" + net::encodePathSegment(identity.account.value()) + "/"
                + net::encodePathSegment(identity.key);
        response = jsonResponse(statusOf(answer), body);
    }
    response.headers.push_back({ "Anvilmoor-Outcome", std::string(nameOf(answer.outcome)) });
    if (answer.isFromRecord)
        response.headers.push_back({ "Anvilmoor-From-Record", "true" });
    if (answer.outcome == RequestOutcome::NotRun || answer.retryAfter.count() > 0)
        response.headers.push_back({ "Retry-After", retryAfterSeconds(answer.retryAfter) });
    return response;
}

net::HttpResponse encodeOperatorAnswer(const AnswerOperator& answer)
{
    return std::visit(OperatorEncoder {}, answer.answer);
}

net::HttpResponse encodeError(const WireError& error)
{
    const std::string_view name = error.status == 404 ? "not_found"
        : error.status == 405                         ? "method_not_allowed"
        : error.status == 503                         ? "unavailable"
                                                      : "invalid";
    auto response = jsonResponse(error.status, { { "error", name }, { "reasons", { error.reason } } });
    if (!error.allowedMethods.empty())
        response.headers.push_back({ "Allow", error.allowedMethods });
    if (error.status == 503)
        response.headers.push_back({ "Retry-After", "1" });
    return response;
}

RequestAnswer rejectionAnswer(const RequestReceived& request, std::string reason)
{
    RequestAnswer answer;
    answer.outcome = RequestOutcome::NotRun;
    answer.reason = std::move(reason);
    answer.retryAfter = Milliseconds(1'000);
    const bool isCertain = request.identity.key.empty() || request.isFirstCopy;
    return isCertain ? answer : withoutRecord(std::move(answer));
}

} // namespace anvilmoor::entry
