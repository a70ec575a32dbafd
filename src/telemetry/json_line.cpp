#include "telemetry/json_line.h"

#include <cstddef>
#include <fmt/format.h>
#include <iterator>

namespace anvilmoor::telemetry {

namespace {

unsigned char byteAt(std::string_view text, std::size_t position)
{
    return static_cast<unsigned char>(text[position]);
}

// Returns the length in bytes of the UTF-8 sequence at the position, or 0 if it is invalid. Overlong forms,
// surrogates and values above U+10FFFF are invalid.
std::size_t sequenceLength(std::string_view text, std::size_t position)
{
    const unsigned char lead = byteAt(text, position);
    if (lead < 0x80)
        return 1;
    const std::size_t length = lead >= 0xf0 ? 4 : lead >= 0xe0 ? 3 : 2;
    if (lead < 0xc2 || lead > 0xf4 || position + length > text.size())
        return 0;
    for (std::size_t i = 1; i < length; ++i) {
        if ((byteAt(text, position + i) & 0xc0U) != 0x80)
            return 0;
    }
    const unsigned char second = byteAt(text, position + 1);
    const bool isOutOfRange = (lead == 0xe0 && second < 0xa0) || (lead == 0xed && second > 0x9f)
        || (lead == 0xf0 && second < 0x90) || (lead == 0xf4 && second > 0x8f);
    return isOutOfRange ? 0 : length;
}

void appendEscaped(std::string& out, char character)
{
    switch (character) {
    case '"':
        out += "\\\"";
        return;
    case '\\':
        out += "\\\\";
        return;
    case '\n':
        out += "\\n";
        return;
    case '\r':
        out += "\\r";
        return;
    case '\t':
        out += "\\t";
        return;
    default:
        break;
    }
    if (static_cast<unsigned char>(character) < 0x20 || character == 0x7f)
        fmt::format_to(std::back_inserter(out), "\\u{:04x}", static_cast<unsigned>(character));
    else
        out += character;
}

} // namespace

std::string jsonString(std::string_view text)
{
    std::string out = "\"";
    out.reserve(text.size() + 2);
    for (std::size_t position = 0; position < text.size();) {
        const std::size_t length = sequenceLength(text, position);
        if (length == 0)
            out += "\\ufffd";
        else if (length == 1)
            appendEscaped(out, text[position]);
        else
            out += text.substr(position, length);
        position += length == 0 ? 1 : length;
    }
    return out += '"';
}

void JsonLine::addName(std::string_view name)
{
    if (m_text.size() > 1)
        m_text += ',';
    m_text += jsonString(name);
    m_text += ':';
}

JsonLine& JsonLine::add(std::string_view name, std::string_view value)
{
    addName(name);
    m_text += jsonString(value);
    return *this;
}

JsonLine& JsonLine::add(std::string_view name, std::int64_t value)
{
    addName(name);
    fmt::format_to(std::back_inserter(m_text), "{}", value);
    return *this;
}

std::string JsonLine::finish()
{
    m_text += "}\n";
    return std::move(m_text);
}

} // namespace anvilmoor::telemetry
