#pragma once

#include "anvilmoor/time.h"

namespace anvilmoor::batch {

// Tells whether this daemon may send orders to workers.
class OrderPermission {
public:
    virtual ~OrderPermission() = default;

    virtual bool mayAct(TimePoint now) const = 0;
};

} // namespace anvilmoor::batch
