#pragma once

#include "net/event_loop.h"

#include <functional>

namespace anvilmoor::testing {

// Runs the event loop until the condition holds. Returns false if it does not hold within 10 s.
bool runUntil(net::EventLoop&, const std::function<bool()>& condition);

} // namespace anvilmoor::testing
