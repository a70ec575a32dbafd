#include "peer/peer_codec.h"

#include <optional>
#include <string>
#include <string_view>

namespace anvilmoor::peer {

namespace {

capnp::Data::Reader dataOf(const std::string& value)
{
    return { reinterpret_cast<const kj::byte*>(value.data()), value.size() };
}

std::string stringOf(capnp::Data::Reader value)
{
    return { reinterpret_cast<const char*>(value.begin()), value.size() };
}

capnp::Text::Reader textOf(const std::string& value) { return { value.c_str(), value.size() }; }

std::string stringOf(capnp::Text::Reader value) { return { value.begin(), value.size() }; }

void encodeIdentity(const RequestIdentity& identity, wire::RequestIdentity::Builder out)
{
    out.setAccount(textOf(identity.account.value()));
    out.setKey(dataOf(identity.key));
}

RequestIdentity decodeIdentity(wire::RequestIdentity::Reader in)
{
    return { ClientAccountId(stringOf(in.getAccount())), stringOf(in.getKey()) };
}

wire::RequestOutcome encodeOutcome(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Done:
        return wire::RequestOutcome::DONE;
    case RequestOutcome::NotRun:
        return wire::RequestOutcome::NOT_RUN;
    case RequestOutcome::Unknown:
        return wire::RequestOutcome::UNKNOWN;
    case RequestOutcome::Refused:
        return wire::RequestOutcome::REFUSED;
    }
    return wire::RequestOutcome::UNKNOWN;
}

std::optional<RequestOutcome> decodeOutcome(wire::RequestOutcome outcome)
{
    switch (outcome) {
    case wire::RequestOutcome::DONE:
        return RequestOutcome::Done;
    case wire::RequestOutcome::NOT_RUN:
        return RequestOutcome::NotRun;
    case wire::RequestOutcome::UNKNOWN:
        return RequestOutcome::Unknown;
    case wire::RequestOutcome::REFUSED:
        return RequestOutcome::Refused;
    }
    return std::nullopt;
}

struct Encoder {
    wire::Message::Builder out;

    void operator()(const PeerHeartbeat& message)
    {
        auto heartbeat = out.initHeartbeat();
        heartbeat.setHost(textOf(message.host.value()));
        heartbeat.setZone(textOf(message.zone.value()));
        heartbeat.setIncarnation(message.incarnation);
        heartbeat.setIsReady(message.isReady);
        heartbeat.setIsStopping(message.isStopping);
        heartbeat.setConfigurationVersion(message.configurationVersion);
        heartbeat.setKnownConfigurationVersion(message.knownConfigurationVersion);
        heartbeat.setDrainVersion(message.drainVersion);
        heartbeat.setHeldToken(message.heldToken);
        auto summary = heartbeat.initSummary();
        summary.setFreeAccelerators(message.summary.freeAccelerators);
        summary.setLargestFreeShape(message.summary.largestFreeShape);
        summary.setQueuedJobs(message.summary.queuedJobs);
        summary.setRunningTasks(message.summary.runningTasks);
    }

    void operator()(const ConfigurationPush& message)
    {
        auto push = out.initConfigurationPush();
        push.setVersion(message.version);
        push.setDocument(dataOf(message.document));
    }

    void operator()(const DrainPush& message)
    {
        auto push = out.initDrainPush();
        push.setVersion(message.version);
        auto endpoints = push.initEndpoints(static_cast<unsigned>(message.endpoints.size()));
        for (unsigned i = 0; i < endpoints.size(); ++i)
            endpoints.set(i, textOf(message.endpoints[i].value()));
    }

    void operator()(const JobNotice& message)
    {
        auto notice = out.initJobNotice();
        notice.setZone(textOf(message.zone.value()));
        notice.setJob(textOf(message.job.value()));
    }

    void operator()(const RequestLookup& message)
    {
        auto lookup = out.initRequestLookup();
        lookup.setLookup(message.lookup);
        encodeIdentity(message.identity, lookup.initIdentity());
    }

    void operator()(const RequestLookupAnswer& message)
    {
        auto lookup = out.initRequestLookupAnswer();
        lookup.setLookup(message.lookup);
        lookup.setIsKnown(message.isKnown);
        lookup.setIsFinished(message.isFinished);
        auto answer = lookup.initAnswer();
        answer.setOutcome(encodeOutcome(message.answer.outcome));
        answer.setBody(dataOf(message.answer.body));
        answer.setReason(dataOf(message.answer.reason));
        answer.setRetryAfterMs(message.answer.retryAfter.count());
        answer.setIsFromRecord(message.answer.isFromRecord);
        answer.setIsConflict(message.answer.isConflict);
    }
};

PeerHeartbeat decodeHeartbeat(wire::Heartbeat::Reader in)
{
    PeerHeartbeat message;
    message.host = HostId(stringOf(in.getHost()));
    message.zone = AvailabilityZoneId(stringOf(in.getZone()));
    message.incarnation = in.getIncarnation();
    message.isReady = in.getIsReady();
    message.isStopping = in.getIsStopping();
    message.configurationVersion = in.getConfigurationVersion();
    message.drainVersion = in.getDrainVersion();
    message.heldToken = in.getHeldToken();
    const auto summary = in.getSummary();
    message.summary = { summary.getFreeAccelerators(), summary.getLargestFreeShape(), summary.getQueuedJobs(),
        summary.getRunningTasks() };
    message.knownConfigurationVersion = in.getKnownConfigurationVersion();
    return message;
}

DrainPush decodeDrainPush(wire::DrainPush::Reader in)
{
    DrainPush message { in.getVersion(), {} };
    for (const auto endpoint : in.getEndpoints())
        message.endpoints.emplace_back(stringOf(endpoint));
    return message;
}

tl::expected<PeerMessage, DecodeError> decodeLookupAnswer(wire::RequestLookupAnswer::Reader in)
{
    const auto answer = in.getAnswer();
    const auto outcome = decodeOutcome(answer.getOutcome());
    if (!outcome)
        return tl::unexpected(DecodeError::Malformed);
    RequestLookupAnswer message { in.getLookup(), in.getIsKnown(), in.getIsFinished(), {} };
    message.answer = { *outcome, stringOf(answer.getBody()), stringOf(answer.getReason()),
        Milliseconds(answer.getRetryAfterMs()), answer.getIsFromRecord(), answer.getIsConflict() };
    return message;
}

} // namespace

void encode(const PeerMessage& message, wire::Message::Builder out) { std::visit(Encoder { out }, message); }

tl::expected<PeerMessage, DecodeError> decode(wire::Message::Reader in)
{
    switch (in.which()) {
    case wire::Message::HEARTBEAT:
        return decodeHeartbeat(in.getHeartbeat());
    case wire::Message::CONFIGURATION_PUSH: {
        const auto push = in.getConfigurationPush();
        return ConfigurationPush { push.getVersion(), stringOf(push.getDocument()) };
    }
    case wire::Message::DRAIN_PUSH:
        return decodeDrainPush(in.getDrainPush());
    case wire::Message::JOB_NOTICE: {
        const auto notice = in.getJobNotice();
        return JobNotice { AvailabilityZoneId(stringOf(notice.getZone())), JobId(stringOf(notice.getJob())) };
    }
    case wire::Message::REQUEST_LOOKUP: {
        const auto lookup = in.getRequestLookup();
        return RequestLookup { lookup.getLookup(), decodeIdentity(lookup.getIdentity()) };
    }
    case wire::Message::REQUEST_LOOKUP_ANSWER:
        return decodeLookupAnswer(in.getRequestLookupAnswer());
    }
    return tl::unexpected(DecodeError::UnknownMessageKind);
}

} // namespace anvilmoor::peer
