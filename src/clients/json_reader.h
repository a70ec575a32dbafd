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

// Reads the fields of a JSON object. A missing field or one of a wrong type gives a neutral value and
// records a problem, which every reader of the same document shares; the first one is kept.
class JsonReader {
public:
    explicit JsonReader(std::string_view document);

    bool has(std::string_view field) const;
    std::string text(std::string_view field);
    std::uint64_t number(
        std::string_view field, std::uint64_t largest = std::numeric_limits<std::uint64_t>::max());
    int smallNumber(std::string_view field);
    Milliseconds milliseconds(std::string_view field);
    bool flag(std::string_view field);
    std::vector<std::string> texts(std::string_view field);
    bool isText(std::string_view field) const;
    // 0 or more, also with a fraction.
    double amount(std::string_view field);
    JsonReader object(std::string_view field);
    // An array of objects.
    std::vector<JsonReader> items(std::string_view field);
    // As written by putBytes(); empty if null.
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

    // Records a problem for the first field that is none of these.
    void allowOnly(std::initializer_list<std::string_view> fields);
    void fail(std::string_view field, std::string_view problem);
    // The value if the document had no problem so far.
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
    const nlohmann::json* m_object; // inside the document
};

// Strings that are not UTF-8 go into "<field>_hex" instead. An empty optional is null.
void putBytes(nlohmann::json& object, const std::string& field, const std::optional<std::string>& value);

Encoded toText(const nlohmann::json&);

} // namespace anvilmoor::clients
