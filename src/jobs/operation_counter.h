#pragma once

#include "anvilmoor/event.h"

#include <cstdint>

namespace anvilmoor {

// Issues consecutive ids for the operations of the jobs module.
class OperationCounter {
public:
    OperationId next() { return { ModuleId::Jobs, ++m_last }; }

private:
    std::uint64_t m_last = 0;
};

} // namespace anvilmoor
