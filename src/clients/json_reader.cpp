#include "clients/json_reader.h"

#include <algorithm>
#include <fmt/format.h>

namespace anvilmoor::clients {

namespace {

// About 31 years. Larger durations are rejected as mistakes: sums of them could overflow.
constexpr std::uint64_t maxMilliseconds = 1'000'000'000'000;

constexpr std::string_view hexDigits = "0123456789abcdef";

std::string toHex(std::string_view bytes)
{
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        hex += hexDigits[byte >> 4U];
        hex += hexDigits[byte & 15U];
    }
    return hex;
}

std::optional<std::string> fromHex(std::string_view hex)
{
    if (hex.size() % 2)
        return std::nullopt;
    std::string bytes;
    for (std::size_t i = 0; i < hex.size(); i += 2) {
        const auto high = hexDigits.find(hex[i]);
        const auto low = hexDigits.find(hex[i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        bytes += static_cast<char>(high << 4U | low);
    }
    return bytes;
}

} // namespace

JsonReader::JsonReader(std::string_view document)
    : m_document(std::make_shared<Document>())
{
    m_document->root = nlohmann::json::parse(document, nullptr, false);
    m_object = &m_document->root;
    if (!m_object->is_object())
        m_document->problem = m_object->is_discarded() ? "not valid JSON" : "not a JSON object";
}

JsonReader::JsonReader(std::shared_ptr<Document> document, const nlohmann::json* object)
    : m_document(std::move(document))
    , m_object(object)
{
}

void JsonReader::fail(std::string_view field, std::string_view problem)
{
    if (m_document->problem.empty())
        m_document->problem = fmt::format("field \"{}\" {}", field, problem);
}

const nlohmann::json* JsonReader::find(std::string_view field) const
{
    if (!m_object->is_object())
        return nullptr;
    const auto found = m_object->find(field);
    return found == m_object->end() ? nullptr : &*found;
}

const nlohmann::json* JsonReader::require(std::string_view field)
{
    const nlohmann::json* found = find(field);
    if (!found)
        fail(field, "is missing");
    return found;
}

bool JsonReader::has(std::string_view field) const { return find(field) != nullptr; }

std::string JsonReader::text(std::string_view field)
{
    const nlohmann::json* found = require(field);
    if (found && found->is_string())
        return found->get_ref<const std::string&>();
    fail(field, "is not a string");
    return {};
}

std::uint64_t JsonReader::number(std::string_view field, std::uint64_t maxValue)
{
    const nlohmann::json* found = require(field);
    if (!found || !found->is_number_unsigned() || found->get<std::uint64_t>() > maxValue) {
        fail(field, fmt::format("is not an integer from 0 to {}", maxValue));
        return 0;
    }
    return found->get<std::uint64_t>();
}

int JsonReader::nonNegativeInt(std::string_view field)
{
    return static_cast<int>(number(field, static_cast<std::uint64_t>(std::numeric_limits<int>::max())));
}

Milliseconds JsonReader::milliseconds(std::string_view field)
{
    return Milliseconds(static_cast<std::int64_t>(number(field, maxMilliseconds)));
}

bool JsonReader::flag(std::string_view field)
{
    const nlohmann::json* found = require(field);
    if (found && found->is_boolean())
        return found->get<bool>();
    fail(field, "is not a boolean");
    return false;
}

std::vector<std::string> JsonReader::texts(std::string_view field)
{
    std::vector<std::string> values;
    const nlohmann::json* found = require(field);
    if (!found || !found->is_array()) {
        fail(field, "is not an array");
        return values;
    }
    for (const nlohmann::json& item : *found) {
        if (!item.is_string()) {
            fail(field, "has an element that is not a string");
            return values;
        }
        values.push_back(item.get_ref<const std::string&>());
    }
    return values;
}

bool JsonReader::isText(std::string_view field) const
{
    const nlohmann::json* found = find(field);
    return found && found->is_string();
}

double JsonReader::nonNegativeDouble(std::string_view field)
{
    const nlohmann::json* found = require(field);
    if (found && found->is_number() && found->get<double>() >= 0)
        return found->get<double>();
    fail(field, "is not a number of at least 0");
    return 0;
}

JsonReader JsonReader::object(std::string_view field)
{
    static const nlohmann::json empty = nlohmann::json::object();
    const nlohmann::json* found = require(field);
    if (found && found->is_object())
        return { m_document, found };
    fail(field, "is not an object");
    return { m_document, &empty };
}

void JsonReader::allowOnly(std::initializer_list<std::string_view> fields)
{
    if (!m_object->is_object())
        return;
    for (const auto& [name, value] : m_object->items()) {
        if (std::ranges::find(fields, name) == fields.end())
            fail(name, "is unknown");
    }
}

std::vector<JsonReader> JsonReader::items(std::string_view field)
{
    std::vector<JsonReader> readers;
    const nlohmann::json* found = require(field);
    if (!found || !found->is_array()) {
        fail(field, "is not an array");
        return readers;
    }
    for (const nlohmann::json& item : *found) {
        if (!item.is_object()) {
            fail(field, "has an element that is not an object");
            return readers;
        }
        readers.push_back(JsonReader(m_document, &item));
    }
    return readers;
}

std::optional<std::string> JsonReader::bytes(std::string_view field)
{
    const std::string hexField = fmt::format("{}_hex", field);
    if (has(hexField)) {
        auto decoded = fromHex(text(hexField));
        if (!decoded)
            fail(hexField, "is not hexadecimal");
        return decoded;
    }
    const nlohmann::json* found = require(field);
    if (found && found->is_null())
        return std::nullopt;
    return text(field);
}

void putBytes(nlohmann::json& object, const std::string& field, const std::optional<std::string>& value)
{
    if (!value)
        object[field] = nullptr;
    else if (toText(*value))
        object[field] = *value;
    else
        object[field + "_hex"] = toHex(*value);
}

Encoded toText(const nlohmann::json& message)
{
    try {
        return message.dump();
    } catch (const nlohmann::json::exception& error) {
        return tl::unexpected(CodecError { error.what() });
    }
}

} // namespace anvilmoor::clients
