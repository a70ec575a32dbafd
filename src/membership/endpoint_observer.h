#pragma once

#include "anvilmoor/identifiers.h"
#include "core/step.h"

namespace anvilmoor {

// Is notified of the outcome of calls to endpoints.
class EndpointObserver {
public:
    virtual ~EndpointObserver() = default;

    // The endpoint was unreachable or did not answer.
    virtual void onEndpointFailure(const EndpointId&, Step&) = 0;

    // The endpoint answered, whatever the answer.
    virtual void onEndpointSuccess(const EndpointId&, Step&) = 0;
};

} // namespace anvilmoor
