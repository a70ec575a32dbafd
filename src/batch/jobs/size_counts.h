#pragma once

#include <map>
#include <string>
#include <string_view>

namespace anvilmoor::batch {

// Counts the jobs of each queue and size class (see sizeClassOf()) and how many of them are served. In an
// overload, small jobs find room more easily than large ones; the counts tell how far the sizes drift apart.
class SizeCounts {
public:
    struct Count {
        int jobs = 0;
        int served = 0;

        double servedShare() const { return jobs ? static_cast<double>(served) / jobs : 0; }
    };
    using Sizes = std::map<int, Count>; // by size class

    void add(std::string_view queue, int sizeClass, bool isServed);
    // The job must have been added with the same arguments.
    void remove(std::string_view queue, int sizeClass, bool isServed);

    const std::map<std::string, Sizes, std::less<>>& queues() const { return m_queues; }
    // The share of the class's jobs that are served, relative to that of the whole queue. Returns 1 if no job
    // of the queue is served.
    double relativeServedShare(std::string_view queue, int sizeClass) const;

private:
    std::map<std::string, Sizes, std::less<>> m_queues;
    std::map<std::string, Count, std::less<>> m_totals; // by queue
};

} // namespace anvilmoor::batch
