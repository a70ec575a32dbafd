#include "entry/wire_path.h"

#include "net/url_path.h"

#include <cstddef>

namespace anvilmoor::entry {

namespace {

// Calls the callback with each part of the text. Stops and returns false as soon as the callback returns
// false.
template <typename Callback> bool split(std::string_view text, char separator, const Callback& callback)
{
    while (true) {
        const std::size_t end = text.find(separator);
        if (!callback(text.substr(0, end)))
            return false;
        if (end == std::string_view::npos)
            return true;
        text.remove_prefix(end + 1);
    }
}

} // namespace

std::optional<WirePath> parsePath(std::string_view target)
{
    if (!target.starts_with('/'))
        return std::nullopt;
    const std::size_t question = target.find('?');
    WirePath path;
    const bool hasSegments
        = split(target.substr(1, question == std::string_view::npos ? question : question - 1), '/',
            [&](std::string_view segment) {
                auto decoded = net::decodePathSegment(segment);
                if (decoded)
                    path.segments.push_back(std::move(*decoded));
                return decoded.has_value();
            });
    if (!hasSegments)
        return std::nullopt;
    if (question == std::string_view::npos)
        return path;
    const bool hasQuery = split(target.substr(question + 1), '&', [&](std::string_view pair) {
        const std::size_t equals = pair.find('=');
        const auto name = net::decodePathSegment(pair.substr(0, equals));
        const auto value
            = net::decodePathSegment(equals == std::string_view::npos ? "" : pair.substr(equals + 1));
        if (name && value)
            path.query[*name] = *value;
        return name && value;
    });
    return hasQuery ? std::optional(std::move(path)) : std::nullopt;
}

} // namespace anvilmoor::entry
