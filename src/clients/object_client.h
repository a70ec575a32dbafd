#pragma once

#include "net/http.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace anvilmoor::clients {

enum class ObjectErrorKind {
    NotFound,
    Unavailable, // nothing was stored
    Unknown, // a put or a removal that may have taken effect
};

struct ObjectError {
    ObjectErrorKind kind = ObjectErrorKind::Unavailable;
    std::string detail;
};

// The value of a get; empty after a put or a removal.
using ObjectResult = tl::expected<std::string, ObjectError>;
using ObjectCallback = std::function<void(ObjectResult)>;

// The platform's object store: whole objects of at most net::maxBodyBytes. Calls back exactly once each,
// from the loop.
class ObjectClient {
public:
    virtual ~ObjectClient() = default;

    virtual void put(const std::string& key, std::string value, ObjectCallback) = 0;
    virtual void get(const std::string& key, ObjectCallback) = 0;
    virtual void remove(const std::string& key, ObjectCallback) = 0;
};

constexpr Milliseconds objectTimeout { 5'000 };

std::unique_ptr<ObjectClient> makeObjectClient(
    net::HttpClient&, net::SocketAddress, Milliseconds timeout = objectTimeout);

} // namespace anvilmoor::clients
