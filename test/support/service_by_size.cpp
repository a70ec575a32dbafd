#include "support/service_by_size.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>
#include <random>

namespace anvilmoor::testing {

namespace {

constexpr double shortShare = 0.5;
// Late work is worth this much, and after three times its objective nothing.
constexpr double lateWorth = 0.3;
constexpr int worthlessAfter = 3;
constexpr double worthOfAnyJob = 0.3;
constexpr double maxWorth = 4;

double seconds(Milliseconds duration) { return static_cast<double>(duration.count()) / 1'000; }

double earnedShareOf(const PlayedJob& job)
{
    if (!job.completedAt)
        return 0;
    const Milliseconds took = *job.completedAt - job.acceptedAt;
    if (took <= job.objective())
        return 1;
    return took <= job.objective() * worthlessAfter ? lateWorth : 0;
}

BandService& operator+=(BandService& sum, const BandService& other)
{
    sum.jobs += other.jobs;
    sum.served += other.served;
    sum.worthOwed += other.worthOwed;
    sum.worthEarned += other.worthEarned;
    sum.waits.insert(sum.waits.end(), other.waits.begin(), other.waits.end());
    return sum;
}

std::string_view nameOf(SizeBand band)
{
    switch (band) {
    case SizeBand::Smallest:
        return "smallest seven tenths";
    case SizeBand::NextLargest:
        return "fifth below the largest";
    case SizeBand::Largest:
        return "largest tenth";
    }
    return "unknown";
}

SizeBand bandOf(std::size_t index, std::size_t count)
{
    if (index * 10 < count * 7)
        return SizeBand::Smallest;
    return index * 10 < count * 9 ? SizeBand::NextLargest : SizeBand::Largest;
}

} // namespace

double BandService::servedShare() const
{
    return jobs ? static_cast<double>(served) / static_cast<double>(jobs) : 1;
}

double BandService::earnedShare() const { return worthOwed > 0 ? worthEarned / worthOwed : 1; }

double BandService::waitOf(double share) const
{
    if (waits.empty())
        return 0;
    std::vector<double> sorted = waits;
    std::sort(sorted.begin(), sorted.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

void ServiceBySize::add(const std::vector<PlayedJob>& jobs)
{
    std::map<std::string, std::vector<const PlayedJob*>> byQueue;
    for (const PlayedJob& job : jobs)
        byQueue[job.queue].push_back(&job);
    for (auto& [queue, ofQueue] : byQueue)
        addQueue(m_queues[queue], std::move(ofQueue));
}

void ServiceBySize::addQueue(QueueService& queue, std::vector<const PlayedJob*> jobs)
{
    std::sort(jobs.begin(), jobs.end(),
        [](const PlayedJob* a, const PlayedJob* b) { return a->size() < b->size(); });
    const double meanSize = std::accumulate(jobs.begin(), jobs.end(), 0.0,
                                [](double sum, const PlayedJob* job) { return sum + job->size(); })
        / static_cast<double>(jobs.size());
    std::map<SizeBand, BandService> bands;
    BandService all;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        const PlayedJob& job = *jobs[i];
        const double worth = std::min(worthOfAnyJob + (1 - worthOfAnyJob) * job.size() / meanSize, maxWorth);
        BandService service { 1, job.completedAt ? std::size_t { 1 } : 0, worth, worth * earnedShareOf(job) };
        if (job.startedAt)
            service.waits.push_back(seconds(*job.startedAt - job.acceptedAt));
        bands[bandOf(i, jobs.size())] += service;
        all += service;
    }
    for (const auto& [band, service] : bands) {
        queue.bands[band] += service;
        queue.shortPlays[band] += service.servedShare() < shortShare * all.servedShare();
    }
}

BandService ServiceBySize::of(std::string_view queue, SizeBand band) const
{
    return m_queues.find(queue)->second.bands.at(band);
}

BandService ServiceBySize::ofAll(std::string_view queue) const
{
    BandService all;
    for (const auto& [band, service] : m_queues.find(queue)->second.bands)
        all += service;
    return all;
}

int ServiceBySize::shortPlays(std::string_view queue, SizeBand band) const
{
    return m_queues.find(queue)->second.shortPlays.at(band);
}

std::string ServiceBySize::table() const
{
    std::string table = fmt::format("{:<8}{:<25}{:>6}{:>8}{:>8}{:>9}{:>9}{:>7}\n", "queue", "band", "jobs",
        "served", "worth", "wait p50", "wait p90", "short");
    const auto addRow = [&table](std::string_view queue, std::string_view band, const BandService& service,
                            const std::string& shortPlays) {
        table += fmt::format("{:<8}{:<25}{:>6}{:>8.2f}{:>8.2f}{:>9.1f}{:>9.1f}{:>7}\n", queue, band,
            service.jobs, service.servedShare(), service.earnedShare(), service.waitOf(0.5),
            service.waitOf(0.9), shortPlays);
    };
    for (const auto& [name, queue] : m_queues) {
        for (const auto& [band, service] : queue.bands)
            addRow(name, nameOf(band), service, std::to_string(queue.shortPlays.at(band)));
        addRow(name, "all", ofAll(name), "");
    }
    return table;
}

PlaySettings burstTraffic(int racks, double load, const std::string& burstQueue, std::uint64_t seed)
{
    constexpr int workersPerRack = 8;
    // Larger fleets get wider jobs. Tasks per second and rack do not depend on the fleet.
    const double urgentTasks = 2.6 + 0.04 * racks;
    const double gangTasks = 3 + 0.15 * racks;
    const double smallTasks = 9 + 0.57 * racks;
    const double rate = load * racks;
    PlaySettings settings { racks, workersPerRack,
        {
            { "urgent", 1.06 * rate / urgentTasks, { urgentTasks, 0.8, 6 * urgentTasks },
                { 2'500, 0.5, 8'000 }, { 15'000, 39'000, 0 }, { 1, 2, 4, 8, 8 }, true, 0.8, 0, 0.5 },
            { "gang", 0.83 * rate / gangTasks, { gangTasks, 0.8, 6 * gangTasks }, { 6'800, 0.3, 11'000 },
                { 52'000, 110'000, 0 }, { 1, 2, 4, 8, 8 }, true, 0.6, 0, 0.9 },
            { "small", 2.96 * rate / smallTasks, { smallTasks, 0.8, 5 * smallTasks }, { 6'100, 0.3, 11'000 },
                { 11'000, 16'000, 0 }, { 1 }, false, 0, 0.1, 0.2 },
        },
        {}, Seconds(34), Seconds(14) };
    std::mt19937_64 random(seed * 7'919);
    const auto uniform
        = [&random](double low, double high) { return std::uniform_real_distribution<>(low, high)(random); };
    const std::size_t bursts = 3 + random() % 3;
    for (std::size_t i = 0; i < bursts; ++i) {
        const Milliseconds begin(static_cast<std::int64_t>(uniform(500, 26'000)));
        const Milliseconds length(static_cast<std::int64_t>(uniform(3'000, 5'200)));
        settings.bursts.push_back({ burstQueue, uniform(1.7, 3.0), begin, begin + length });
    }
    return settings;
}

} // namespace anvilmoor::testing
