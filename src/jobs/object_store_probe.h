#pragma once

#include "anvilmoor/event.h"
#include "core/step.h"
#include "jobs/operation_counter.h"

#include <cstdint>
#include <string>

namespace anvilmoor {

// Checks whether the object store accepts checkpoints by writing a small object at regular intervals.
class ObjectStoreProbe {
public:
    ObjectStoreProbe(const AvailabilityZoneId&, OperationCounter&);

    void tick(Step&);
    void handle(const ObjectReplied&);
    bool isKnownDown() const { return m_isDown; }

private:
    std::string m_key;
    OperationCounter& m_counter;
    std::uint64_t m_operation = 0; // in flight; 0: none
    TimePoint m_sentAt {};
    TimePoint m_nextAt {};
    bool m_isDown = false;
};

} // namespace anvilmoor
