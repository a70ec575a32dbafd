#include "batch/jobs/occurrence_set.h"

#include <iterator>

namespace anvilmoor::batch {

OccurrenceSet::Ends::const_iterator OccurrenceSet::rangeOf(int occurrence) const
{
    const auto next = m_ends.upper_bound(occurrence);
    if (next == m_ends.begin())
        return m_ends.end();
    const auto range = std::prev(next);
    return occurrence < range->second ? range : m_ends.end();
}

void OccurrenceSet::add(int occurrence)
{
    if (contains(occurrence))
        return;
    ++m_size;
    int first = occurrence;
    int end = occurrence + 1;
    if (const auto before = rangeOf(occurrence - 1); before != m_ends.end())
        first = before->first;
    if (const auto behind = m_ends.find(end); behind != m_ends.end()) {
        end = behind->second;
        m_ends.erase(behind);
    }
    m_ends[first] = end;
}

bool OccurrenceSet::append(const Range& range)
{
    const bool isBehind = m_ends.empty() || range.first > m_ends.rbegin()->second;
    if (!isBehind || range.count <= 0)
        return false;
    m_ends.emplace_hint(m_ends.end(), range.first, range.first + range.count);
    m_size += range.count;
    return true;
}

bool OccurrenceSet::contains(int occurrence) const { return rangeOf(occurrence) != m_ends.end(); }

int OccurrenceSet::firstMissing(int occurrence) const
{
    const auto range = rangeOf(occurrence);
    return range == m_ends.end() ? occurrence : range->second;
}

std::vector<OccurrenceSet::Range> OccurrenceSet::ranges() const
{
    std::vector<Range> ranges;
    for (const auto& [first, end] : m_ends)
        ranges.push_back({ first, end - first });
    return ranges;
}

} // namespace anvilmoor::batch
