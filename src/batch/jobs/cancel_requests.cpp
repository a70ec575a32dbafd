#include "batch/jobs/cancel_requests.h"

namespace anvilmoor::batch {

void CancelRequests::note(const JobId& job, RowVersion version, TimePoint now)
{
    erase(job);
    m_requests.emplace(job, Request { version, now });
    m_byTime.emplace(now, job);
}

void CancelRequests::erase(const JobId& job)
{
    const auto known = m_requests.find(job);
    if (known == m_requests.end())
        return;
    m_byTime.erase({ known->second.notedAt, job });
    m_requests.erase(known);
}

RowVersion CancelRequests::versionOf(const JobId& job) const
{
    const auto known = m_requests.find(job);
    return known == m_requests.end() ? 0 : known->second.version;
}

bool CancelRequests::isInForce(const JobId& job, TimePoint now) const
{
    const auto known = m_requests.find(job);
    return known != m_requests.end() && now < known->second.notedAt + cancelRetention;
}

} // namespace anvilmoor::batch
