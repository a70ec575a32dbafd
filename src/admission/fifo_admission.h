#pragma once

#include "admission/admission_policy.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace anvilmoor {

// Baseline: for each service one queue in order of arrival, without shares or deadlines. The number of
// requests in all queues is bounded.
class FifoAdmission : public AdmissionPolicy {
public:
    void configure(const Configuration&) override { }
    AdmissionVerdict enqueue(const AdmissionItem&, int parallelism, TimePoint now) override;
    std::optional<RequestNumber> peek(const ServiceId&) const override;
    void pop(const ServiceId&) override;
    void remove(RequestNumber) override;
    std::size_t queued() const override { return m_serviceOfRequest.size(); }
    std::size_t queued(const ServiceId&) const override;

private:
    std::map<ServiceId, std::deque<RequestNumber>> m_queues;
    std::unordered_map<RequestNumber, ServiceId> m_serviceOfRequest;
};

} // namespace anvilmoor
