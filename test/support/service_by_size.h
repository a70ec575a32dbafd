#pragma once

#include "support/placement_play.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

// How jobs of each size are served, beside all jobs of their queue.

namespace anvilmoor::testing {

// Jobs of a queue by their place when sorted by size.
enum class SizeBand {
    Smallest, // seven tenths
    NextLargest, // the fifth below the largest tenth
    Largest, // tenth
};

struct BandService {
    std::size_t jobs = 0;
    std::size_t served = 0; // completed
    double worthOwed = 0;
    double worthEarned = 0;
    std::vector<double> waits; // until the first task started, in seconds; of started jobs

    double servedShare() const;
    double earnedShare() const;
    // Of the started jobs.
    double waitOf(double share) const;
};

class ServiceBySize {
public:
    // Adds the jobs of a play. Bands are formed within each play.
    void add(const std::vector<PlayedJob>&);

    BandService of(std::string_view queue, SizeBand) const;
    BandService ofAll(std::string_view queue) const;
    // Plays in which the band was served less than half as often as all jobs of its queue.
    int shortPlays(std::string_view queue, SizeBand) const;
    std::string table() const;

private:
    struct QueueService {
        std::map<SizeBand, BandService> bands;
        std::map<SizeBand, int> shortPlays;
    };

    void addQueue(QueueService&, std::vector<const PlayedJob*>);

    std::map<std::string, QueueService, std::less<>> m_queues;
};

// A fleet of racks of eight workers with urgent gangs, wide gangs and jobs of many small tasks that nearly
// fill it, and three to five bursts of jobs of one queue, or of all if it is empty, drawn by the seed.
PlaySettings burstTraffic(int racks, double load, const std::string& burstQueue, std::uint64_t seed);

} // namespace anvilmoor::testing
