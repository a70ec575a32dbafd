#pragma once

#include "anvilmoor/configuration.h"
#include "anvilmoor/effect.h"
#include "anvilmoor/event.h"

#include <vector>

namespace anvilmoor::entry {

// The decision logic of a daemon: converts each event to effects. Calls are never nested.
class DecisionEngine {
public:
    virtual ~DecisionEngine() = default;

    virtual void apply(const Event&, std::vector<Effect>&) = 0;
    // The configuration in force; null before the first one is adopted.
    virtual const Configuration* configuration() const = 0;
};

} // namespace anvilmoor::entry
