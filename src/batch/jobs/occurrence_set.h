#pragma once

#include <map>
#include <vector>

namespace anvilmoor::batch {

// Numbers of occurrences, kept as ranges: its size depends on the number of gaps, not on that of the members.
class OccurrenceSet {
public:
    struct Range {
        int first = 0;
        int count = 0;

        bool operator==(const Range&) const = default;
    };

    void add(int occurrence);
    // Adds a range. Returns false, and adds nothing, unless it is not empty and leaves a gap behind all
    // members.
    bool append(const Range&);
    bool contains(int occurrence) const;
    // The smallest number from `occurrence` on that is not a member.
    int firstMissing(int occurrence) const;
    int size() const { return m_size; }
    std::vector<Range> ranges() const;

private:
    using Ends = std::map<int, int>; // the first member of each range, and the number behind its last one

    Ends::const_iterator rangeOf(int occurrence) const;

    Ends m_ends;
    int m_size = 0;
};

} // namespace anvilmoor::batch
