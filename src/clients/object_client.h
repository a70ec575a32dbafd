#pragma once

#include "net/http.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace anvilmoor::clients {

enum class ObjectErrorKind {
    NotFound,
    Unavailable, // nothing was stored or removed
    Unknown, // the put or removal may have taken effect
};

struct ObjectError {
    ObjectErrorKind kind = ObjectErrorKind::Unavailable;
    std::string detail;
};

// The value of a get; empty after a put or a removal.
using ObjectResult = tl::expected<std::string, ObjectError>;
using ObjectCallback = std::function<void(ObjectResult)>;

// Client of the platform's object store, which stores and returns whole objects of at most net::maxBodyBytes.
// Each call runs its callback exactly once, from the event loop.
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
