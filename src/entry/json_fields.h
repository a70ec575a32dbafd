#pragma once

#include "entry/wire_codec.h"

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace anvilmoor::entry {

// Reads the fields of a request's JSON body. A field that is missing or invalid throws a WireError that
// contains the field's name.
class JsonFields {
public:
    // The body must be a JSON object that has no other fields than the allowed ones.
    JsonFields(const std::string& body, std::initializer_list<std::string_view> allowed);

    bool has(const char* field) const { return m_object.contains(field); }
    std::string text(const char* field) const;
    std::int64_t integer(const char* field, std::int64_t minimum, std::int64_t maximum) const;
    bool boolean(const char* field) const;
    const nlohmann::json& object(const char* field) const;

private:
    const nlohmann::json& at(const char* field) const;

    nlohmann::json m_object;
};

} // namespace anvilmoor::entry
