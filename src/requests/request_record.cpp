#include "requests/request_record.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <array>
#include <charconv>
#include <utility>

namespace anvilmoor {

namespace {

constexpr std::array<std::pair<RequestRecordState, std::string_view>, 4> stateNames { {
    { RequestRecordState::Claimed, "claimed" },
    { RequestRecordState::Done, "done" },
    { RequestRecordState::NotRun, "not_run" },
    { RequestRecordState::Unknown, "unknown" },
} };

std::string toHex(std::string_view bytes)
{
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const char byte : bytes)
        fmt::format_to(std::back_inserter(hex), "{:02x}", static_cast<unsigned char>(byte));
    return hex;
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc() || end != text.data() + text.size())
        return {};
    return value;
}

std::optional<std::string> fromHex(std::string_view hex)
{
    if (hex.size() % 2)
        return {};
    std::string bytes;
    bytes.reserve(hex.size() / 2);
    for (std::size_t position = 0; position < hex.size(); position += 2) {
        const std::optional<std::uint64_t> byte = parseHex(hex.substr(position, 2));
        if (!byte)
            return {};
        bytes.push_back(static_cast<char>(*byte));
    }
    return bytes;
}

std::string stringField(const nlohmann::json& document, const char* name)
{
    const auto found = document.find(name);
    return found != document.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

std::string requestRecordKey(const RequestIdentity& identity)
{
    return fmt::format("{}{}/{}", requestRecordPrefix, identity.account.value(), identity.key);
}

std::string responseObjectKey(std::string_view recordKey, std::uint64_t nonce)
{
    return fmt::format("response/{}/{}", recordKey.substr(requestRecordPrefix.size()), nonce);
}

std::string formatRequestRecord(const RequestRecord& record)
{
    nlohmann::json document;
    for (const auto& [state, name] : stateNames) {
        if (state == record.state)
            document["state"] = name;
    }
    document["nonce"] = fmt::format("{:016x}", record.nonce);
    document["host"] = record.host.value();
    document["incarnation"] = fmt::format("{:016x}", record.incarnation);
    document["digest"] = record.digest;
    document["issued_at"] = record.issuedAt.time_since_epoch().count();
    if (!record.reason.empty())
        document["reason"] = record.reason;
    if (!record.objectKey.empty()) {
        document["object"] = record.objectKey;
        document["object_digest"] = record.objectDigest;
    } else if (record.state == RequestRecordState::Done) {
        document["body"] = record.body;
    }
    try {
        return document.dump();
    } catch (const nlohmann::json::type_error&) {
        // The record has text that is not UTF-8. The reason may quote the endpoint, so invalid bytes in it
        // are replaced.
        document.erase("body");
        document["body_hex"] = toHex(record.body);
        return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
}

std::optional<RequestRecord> parseRequestRecord(const std::string& text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return {};
    RequestRecord record;
    const std::string state = stringField(document, "state");
    bool isStateKnown = false;
    for (const auto& [value, name] : stateNames) {
        if (name != state)
            continue;
        record.state = value;
        isStateKnown = true;
    }
    const std::optional<std::uint64_t> nonce = parseHex(stringField(document, "nonce"));
    const std::optional<std::uint64_t> incarnation = parseHex(stringField(document, "incarnation"));
    const auto issuedAt = document.find("issued_at");
    if (!isStateKnown || !nonce || !incarnation || issuedAt == document.end()
        || !issuedAt->is_number_integer())
        return {};
    record.nonce = *nonce;
    record.incarnation = *incarnation;
    record.host = HostId(stringField(document, "host"));
    record.digest = stringField(document, "digest");
    record.issuedAt = WallTime(Milliseconds(issuedAt->get<std::int64_t>()));
    record.objectKey = stringField(document, "object");
    record.objectDigest = stringField(document, "object_digest");
    record.reason = stringField(document, "reason");
    record.body = stringField(document, "body");
    if (document.contains("body_hex")) {
        std::optional<std::string> body = fromHex(stringField(document, "body_hex"));
        if (!body)
            return {};
        record.body = std::move(*body);
    }
    return record;
}

std::string responseDigest(std::string_view response)
{
    return fmt::format("{}:{:016x}", response.size(), XXH64(response.data(), response.size(), 0));
}

std::string requestDigest(const ServiceId& service, std::string_view operation, std::string_view body)
{
    // The lengths make the boundaries between the parts unambiguous.
    std::string text
        = fmt::format("{}:{} {}:{} ", service.value().size(), service.value(), operation.size(), operation);
    text += body;
    return fmt::format("{:016x}", XXH64(text.data(), text.size(), 0));
}

} // namespace anvilmoor
