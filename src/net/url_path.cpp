#include "net/url_path.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace anvilmoor::net {

namespace {

bool isUnreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.'
        || c == '_' || c == '~' || c == '@';
}

} // namespace

std::string encodePathSegment(std::string_view segment)
{
    std::string encoded;
    for (const char c : segment) {
        if (isUnreserved(c))
            encoded += c;
        else
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return encoded;
}

std::optional<std::string> decodePathSegment(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        unsigned value = 0;
        const std::string_view digits = text.substr(i + 1, 2);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
        if (digits.size() != 2 || error != std::errc() || end != digits.data() + 2)
            return std::nullopt;
        decoded += static_cast<char>(value);
        i += 2;
    }
    return decoded;
}

std::optional<std::vector<std::string>> splitPath(std::string_view path)
{
    path = path.substr(0, path.find('?'));
    std::vector<std::string> segments;
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::size_t end = std::min(path.find('/'), path.size());
        auto segment = decodePathSegment(path.substr(0, end));
        if (!segment)
            return std::nullopt;
        segments.push_back(std::move(*segment));
        path.remove_prefix(end);
    }
    return segments;
}

} // namespace anvilmoor::net
