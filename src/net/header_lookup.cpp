#include "net/header_lookup.h"

#include <algorithm>

namespace anvilmoor::net {

namespace {

char toLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

} // namespace

bool isEqualIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
        [](char left, char right) { return toLower(left) == toLower(right); });
}

std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name)
{
    for (const HttpHeader& header : headers) {
        if (isEqualIgnoringCase(header.name, name))
            return header.value;
    }
    return {};
}

bool isSafeHeader(const HttpHeader& header)
{
    constexpr std::string_view unsafe { "\r\n\0", 3 };
    return !header.name.empty() && header.name.find_first_of(unsafe) == std::string::npos
        && header.name.find_first_of(": ") == std::string::npos
        && header.value.find_first_of(unsafe) == std::string::npos;
}

} // namespace anvilmoor::net
