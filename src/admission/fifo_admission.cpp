#include "admission/fifo_admission.h"

#include <algorithm>

namespace anvilmoor {

AdmissionVerdict FifoAdmission::enqueue(const AdmissionItem& item, int, TimePoint)
{
    if (m_serviceOfRequest.size() >= maxQueuedRequests)
        return { false, "the queue is full", Seconds(1), {} };
    if (!m_serviceOfRequest.emplace(item.request, item.service).second)
        return { false, "the request is already queued", Seconds(1), {} };
    m_queues[item.service].push_back(item.request);
    return { true, {}, {}, {} };
}

std::optional<RequestNumber> FifoAdmission::peek(const ServiceId& service) const
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end() || found->second.empty())
        return {};
    return found->second.front();
}

void FifoAdmission::pop(const ServiceId& service)
{
    const auto found = m_queues.find(service);
    if (found == m_queues.end() || found->second.empty())
        return;
    m_serviceOfRequest.erase(found->second.front());
    found->second.pop_front();
}

void FifoAdmission::remove(RequestNumber request)
{
    const auto service = m_serviceOfRequest.find(request);
    if (service == m_serviceOfRequest.end())
        return;
    std::deque<RequestNumber>& queue = m_queues[service->second];
    queue.erase(std::remove(queue.begin(), queue.end(), request), queue.end());
    m_serviceOfRequest.erase(service);
}

std::size_t FifoAdmission::queued(const ServiceId& service) const
{
    const auto found = m_queues.find(service);
    return found == m_queues.end() ? 0 : found->second.size();
}

} // namespace anvilmoor
