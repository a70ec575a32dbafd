#include "batch/placement/service_use.h"

#include <algorithm>

namespace anvilmoor::batch {

Resources ServiceUse::fromPriority(int priority) const
{
    Resources used;
    for (auto entry = byPriority.lower_bound(priority); entry != byPriority.end(); ++entry)
        used += entry->second;
    return used;
}

ServiceUse useOf(const WorkerPool& pool, const ServiceId& service)
{
    ServiceUse use;
    for (const auto& [lifetime, worker] : pool.all()) {
        if (!worker.isListed || worker.record.service != service)
            continue;
        use.whole += worker.record.capacity;
        for (const auto& [task, run] : worker.runs)
            use.byPriority[run.priority] += run.resources;
    }
    return use;
}

double dominantShare(const Resources& used, const Resources& whole)
{
    const auto share = [](std::int64_t part, std::int64_t of) {
        return of ? static_cast<double>(part) / static_cast<double>(of) : 0;
    };
    return std::max({ share(used.cpuMillicores, whole.cpuMillicores), share(used.memoryMb, whole.memoryMb),
        share(used.accelerators, whole.accelerators) });
}

double shareInUse(const WorkerPool& pool, const ServiceId& service)
{
    Resources used;
    Resources whole;
    for (const auto& [lifetime, worker] : pool.all()) {
        if (!worker.isListed || worker.record.service != service)
            continue;
        used += worker.used;
        whole += worker.record.capacity;
    }
    return dominantShare(used, whole);
}

} // namespace anvilmoor::batch
