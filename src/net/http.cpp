#include "net/http.h"

#include "net/header_lookup.h"

namespace anvilmoor::net {

std::string_view HttpRequest::header(std::string_view name) const { return findHeader(headers, name); }

std::string_view HttpResponse::header(std::string_view name) const { return findHeader(headers, name); }

} // namespace anvilmoor::net
