#include "entry/json_fields.h"

#include <algorithm>
#include <fmt/format.h>

namespace anvilmoor::entry {

JsonFields::JsonFields(const std::string& body, std::initializer_list<std::string_view> allowed)
    : m_object(nlohmann::json::parse(body, nullptr, false))
{
    if (m_object.is_discarded())
        throw WireError { 400, "the body is not valid JSON", {} };
    if (!m_object.is_object())
        throw WireError { 400, "the body must be a JSON object", {} };
    for (const auto& [name, value] : m_object.items()) {
        if (std::ranges::find(allowed, name) == allowed.end())
            throw WireError { 400,
                fmt::format("unknown field \"{}\"; allowed: {}", name, fmt::join(allowed, ", ")), {} };
    }
}

const nlohmann::json& JsonFields::at(const char* field) const
{
    const auto found = m_object.find(field);
    if (found == m_object.end())
        throw WireError { 400, fmt::format("field \"{}\" is missing", field), {} };
    return *found;
}

std::string JsonFields::text(const char* field) const
{
    const auto& value = at(field);
    if (!value.is_string())
        throw WireError { 400, fmt::format("field \"{}\" must be a string", field), {} };
    return value.get<std::string>();
}

std::int64_t JsonFields::integer(const char* field, std::int64_t minimum, std::int64_t maximum) const
{
    const auto& value = at(field);
    const bool isTooLarge = value.is_number_unsigned()
        && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::max<std::int64_t>(maximum, 0));
    const bool isInRange = value.is_number_integer() && !isTooLarge && value.get<std::int64_t>() >= minimum
        && value.get<std::int64_t>() <= maximum;
    if (!isInRange)
        throw WireError { 400,
            fmt::format("field \"{}\" must be an integer from {} to {}, not {}", field, minimum, maximum,
                value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace)),
            {} };
    return value.get<std::int64_t>();
}

bool JsonFields::boolean(const char* field) const
{
    const auto& value = at(field);
    if (!value.is_boolean())
        throw WireError { 400, fmt::format("field \"{}\" must be true or false", field), {} };
    return value.get<bool>();
}

const nlohmann::json& JsonFields::object(const char* field) const
{
    const auto& value = at(field);
    if (!value.is_object())
        throw WireError { 400, fmt::format("field \"{}\" must be an object", field), {} };
    return value;
}

} // namespace anvilmoor::entry
