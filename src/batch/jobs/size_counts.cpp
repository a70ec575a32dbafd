#include "batch/jobs/size_counts.h"

namespace anvilmoor::batch {

void SizeCounts::add(std::string_view queue, int sizeClass, bool isServed)
{
    Count& total = m_totals[std::string(queue)];
    Count& count = m_queues[std::string(queue)][sizeClass];
    ++total.jobs;
    ++count.jobs;
    total.served += isServed ? 1 : 0;
    count.served += isServed ? 1 : 0;
}

void SizeCounts::remove(std::string_view queue, int sizeClass, bool isServed)
{
    const auto total = m_totals.find(queue);
    const auto sizes = m_queues.find(queue);
    const auto count = sizes->second.find(sizeClass);
    --total->second.jobs;
    --count->second.jobs;
    total->second.served -= isServed ? 1 : 0;
    count->second.served -= isServed ? 1 : 0;
    if (!count->second.jobs)
        sizes->second.erase(count);
    if (total->second.jobs)
        return;
    m_totals.erase(total);
    m_queues.erase(sizes);
}

double SizeCounts::relativeServedShare(std::string_view queue, int sizeClass) const
{
    const auto total = m_totals.find(queue);
    if (total == m_totals.end() || !total->second.served)
        return 1;
    const Sizes& sizes = m_queues.find(queue)->second;
    const auto count = sizes.find(sizeClass);
    if (count == sizes.end())
        return 1;
    return count->second.servedShare() / total->second.servedShare();
}

} // namespace anvilmoor::batch
