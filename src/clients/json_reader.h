#pragma once

#include "anvilmoor/time.h"
#include "clients/codec_error.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilmoor::clients {

// Reads the fields of a JSON object. A missing field or a field of the wrong type yields a default value and
// records a problem. All readers of a document share one problem, the first that was recorded.
class JsonReader {
public:
    explicit JsonReader(std::string_view document);

    bool has(std::string_view field) const;
    std::string text(std::string_view field);
    std::uint64_t number(
        std::string_view field, std::uint64_t maxValue = std::numeric_limits<std::uint64_t>::max());
    int nonNegativeInt(std::string_view field);
    Milliseconds milliseconds(std::string_view field);
    bool flag(std::string_view field);
    std::vector<std::string> texts(std::string_view field);
    bool isText(std::string_view field) const;
    double nonNegativeDouble(std::string_view field);
    JsonReader object(std::string_view field);
    // One reader for each element of an array of objects.
    std::vector<JsonReader> items(std::string_view field);
    // Reads a value written by putBytes(). Returns nullopt if the field is null.
    std::optional<std::string> bytes(std::string_view field);

    template <typename Value>
    Value oneOf(std::string_view field, std::span<const std::pair<std::string_view, Value>> names)
    {
        const std::string name = text(field);
        for (const auto& [known, value] : names) {
            if (known == name)
                return value;
        }
        fail(field, "has an unknown value");
        return names.front().second;
    }

    // Records a problem if the object has any other field.
    void allowOnly(std::initializer_list<std::string_view> fields);
    void fail(std::string_view field, std::string_view problem);
    // Returns the message, or the problem if one was recorded.
    template <typename Message> Decoded<Message> result(Message message) const
    {
        if (!m_document->problem.empty())
            return tl::unexpected(CodecError { m_document->problem });
        return message;
    }

private:
    struct Document {
        nlohmann::json root;
        std::string problem;
    };

    JsonReader(std::shared_ptr<Document>, const nlohmann::json*);
    const nlohmann::json* find(std::string_view field) const;
    const nlohmann::json* require(std::string_view field);

    std::shared_ptr<Document> m_document;
    const nlohmann::json* m_object; // points into m_document, or to an empty object
};

// Writes a string that is not valid UTF-8 in hexadecimal as "<field>_hex", and nullopt as null.
void putBytes(nlohmann::json& object, const std::string& field, const std::optional<std::string>& value);

Encoded toText(const nlohmann::json&);

} // namespace anvilmoor::clients
