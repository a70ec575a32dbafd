#pragma once

#include "net/http.h"

#include <string_view>
#include <vector>

namespace anvilmoor::net {

// Ignores the case of ASCII letters only, which suffices for header names.
bool isEqualIgnoringCase(std::string_view, std::string_view);

// The value of the first header with this name; empty if absent.
std::string_view findHeader(const std::vector<HttpHeader>&, std::string_view name);

// Returns false if the name is empty, or if the name or value has characters that would end it early.
bool isSafeHeader(const HttpHeader&);

} // namespace anvilmoor::net
