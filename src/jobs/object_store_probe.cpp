#include "jobs/object_store_probe.h"

namespace anvilmoor {

namespace {

constexpr Milliseconds probeInterval { 5'000 };
// A store that takes longer than this does not save a checkpoint within the grace period either.
constexpr Milliseconds probeTimeout { 2'000 };

} // namespace

ObjectStoreProbe::ObjectStoreProbe(const AvailabilityZoneId& zone, OperationCounter& counter)
    : m_key("probe/" + zone.value())
    , m_counter(counter)
{
}

void ObjectStoreProbe::tick(Step& step)
{
    if (m_operation && step.now - m_sentAt >= probeTimeout) {
        m_isDown = true;
        m_operation = 0;
        m_nextAt = step.now + probeInterval;
    }
    if (m_operation || step.now < m_nextAt)
        return;
    const OperationId id = m_counter.next();
    m_operation = id.sequence;
    m_sentAt = step.now;
    m_nextAt = step.now + probeInterval;
    step.emit(PutObject { id, m_key, "probe" });
}

void ObjectStoreProbe::handle(const ObjectReplied& replied)
{
    if (!m_operation || replied.operation.sequence != m_operation)
        return;
    m_operation = 0;
    m_isDown = !replied.isOk;
}

} // namespace anvilmoor
