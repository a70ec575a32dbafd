#include "batch/placement/packing_placement.h"

#include "anvilmoor/batch/bounds.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>
#include <utility>

namespace anvilmoor::batch {

namespace {

// Upper limit per worker of the tasks that are counted when racks are compared by free room.
constexpr int maxTasksCountedPerWorker = 64;

int timesThatFit(std::int64_t need, std::int64_t room, int limit)
{
    if (need <= 0)
        return limit;
    return static_cast<int>(std::clamp<std::int64_t>(room / need, 0, limit));
}

bool isLocal(const PlacementRequest& request, const RackId& rack)
{
    return request.step.dataRack.empty() || rack.value() == request.step.dataRack;
}

} // namespace

int tasksThatFit(const PlacementRequest& request, const WorkerCapacity& worker, const Resources& room)
{
    // Most workers of a busy fleet have too few accelerators even for one task.
    if (request.perTask.accelerators > 0 && request.perTask.accelerators > room.accelerators)
        return 0;
    if (!request.step.requiredLabel.empty() && !worker.hasLabel(request.step.requiredLabel))
        return 0;
    if (request.excludedWorkers && request.excludedWorkers->contains(worker.lifetime))
        return 0;
    int limit = request.tasks;
    if (request.step.maxTasksPerWorker) {
        const auto placed = request.stepTasksByWorker.find(worker.lifetime);
        const int present = placed == request.stepTasksByWorker.end() ? 0 : placed->second;
        limit = std::min(limit, std::max(request.step.maxTasksPerWorker - present, 0));
    }
    limit = timesThatFit(request.perTask.cpuMillicores, room.cpuMillicores, limit);
    limit = timesThatFit(request.perTask.memoryMb, room.memoryMb, limit);
    return timesThatFit(request.perTask.accelerators, room.accelerators, limit);
}

int mostTasksWithinLocality(const PlacementRequest& request, const CapacityView& view)
{
    const PlacementRequest wide { request.step, request.perTask, maxTasksPerStep };
    const bool needsOneRack = request.step.isGang && request.step.needsOneRack;
    int total = 0;
    int most = 0;
    for (const auto& [rack, workers] : view.racks()) {
        if (!isLocal(request, rack))
            continue;
        int inRack = 0;
        for (const std::size_t index : workers) {
            const WorkerCapacity& worker = view.workers()[index];
            inRack += tasksThatFit(wide, worker, worker.whole);
        }
        total += inRack;
        most = std::max(most, inRack);
    }
    return needsOneRack ? most : total;
}

bool couldEverFit(const PlacementRequest& request, const CapacityView& view)
{
    int total = 0;
    for (const WorkerCapacity& worker : view.workers())
        total += tasksThatFit(request, worker, worker.whole);
    return total >= request.tasks;
}

std::vector<PackingPlacement::Fit> PackingPlacement::fitsOn(
    const PlacementRequest& request, const CapacityView& view, std::span<const std::size_t> workers)
{
    std::vector<Fit> fits;
    for (const std::size_t index : workers) {
        const WorkerCapacity& worker = view.workers()[index];
        if (!isLocal(request, worker.rack) && !request.mayRelaxLocality)
            continue;
        const int tasks = tasksThatFit(request, worker, worker.room);
        if (tasks > 0)
            fits.push_back({ index, tasks, worker.speedBand });
    }
    return fits;
}

int PackingPlacement::totalTasks(std::span<const Fit> fits)
{
    return std::accumulate(
        fits.begin(), fits.end(), 0, [](int sum, const Fit& fit) { return sum + fit.tasks; });
}

std::optional<std::vector<PackingPlacement::Fit>> PackingPlacement::choose(
    const PlacementRequest& request, const CapacityView& view, std::vector<Fit> fits)
{
    if (totalTasks(fits) < request.tasks)
        return std::nullopt;
    // Workers in the data's rack come first. Urgent work takes the fastest partly used workers, then the
    // fastest idle ones. Other work takes the workers with the fewest free resources, slower ones first, so
    // that fast workers stay free for urgent work.
    const auto rank = [&](const Fit& fit) {
        const WorkerCapacity& worker = view.workers()[fit.worker];
        return std::tuple(!isLocal(request, worker.rack), request.prefersFastWorkers && worker.isIdle(),
            request.prefersFastWorkers ? -fit.speedBand : 0, worker.room.accelerators, worker.room.memoryMb,
            worker.room.cpuMillicores, fit.speedBand, fit.worker);
    };
    // Each chosen worker takes at least one task.
    const auto chosenEnd
        = fits.begin() + std::min(static_cast<std::ptrdiff_t>(fits.size()), std::ptrdiff_t { request.tasks });
    std::partial_sort(fits.begin(), chosenEnd, fits.end(),
        [&rank](const Fit& a, const Fit& b) { return rank(a) < rank(b); });
    int missing = request.tasks;
    std::vector<Fit> chosen;
    for (Fit& fit : fits) {
        if (!missing)
            break;
        fit.tasks = std::min(fit.tasks, missing);
        missing -= fit.tasks;
        chosen.push_back(fit);
    }
    return chosen;
}

std::vector<WorkerLifetime> PackingPlacement::take(
    const PlacementRequest& request, CapacityView& view, std::span<const Fit> chosen)
{
    std::vector<WorkerLifetime> workers;
    for (const Fit& fit : chosen) {
        WorkerCapacity& worker = view.workers()[fit.worker];
        for (int i = 0; i < fit.tasks; ++i) {
            worker.room -= request.perTask;
            workers.push_back(worker.lifetime);
        }
        if (worker.isOnTrial)
            worker.room = {};
    }
    return workers;
}

int PackingPlacement::taskSlotsOn(
    const PlacementRequest& request, const CapacityView& view, std::span<const Fit> fits)
{
    const PlacementRequest wide { request.step, request.perTask, maxTasksCountedPerWorker };
    return std::accumulate(fits.begin(), fits.end(), 0, [&](int sum, const Fit& fit) {
        const WorkerCapacity& worker = view.workers()[fit.worker];
        return sum + tasksThatFit(wide, worker, worker.room);
    });
}

int PackingPlacement::slowestBand(std::span<const Fit> chosen)
{
    int slowest = std::numeric_limits<int>::max();
    for (const Fit& fit : chosen)
        slowest = std::min(slowest, fit.speedBand);
    return slowest;
}

std::vector<std::size_t> PackingPlacement::permittedWorkers(
    const PlacementRequest& request, const CapacityView& view)
{
    if (!request.step.dataRack.empty() && !request.mayRelaxLocality) {
        const auto rack = view.racks().find(RackId(request.step.dataRack));
        return rack == view.racks().end() ? std::vector<std::size_t>() : rack->second;
    }
    std::vector<std::size_t> all(view.workers().size());
    std::iota(all.begin(), all.end(), 0U);
    return all;
}

// The runs of a worker that has to prove itself beside them seem to stand still, so a new run may, too.
std::optional<std::vector<WorkerLifetime>> PackingPlacement::place(
    const PlacementRequest& request, CapacityView& view) const
{
    const CapacityView::Hidden hidden = view.hideWorkersOnTrialBesideRuns();
    auto workers = placeOnWorkersWithRoom(request, view);
    view.restore(hidden);
    if (workers || hidden.empty())
        return workers;
    return placeOnWorkersWithRoom(request, view);
}

std::optional<std::vector<WorkerLifetime>> PackingPlacement::placeOnWorkersWithRoom(
    const PlacementRequest& request, CapacityView& view)
{
    if (request.tasks > 1 && request.step.needsOneRack) {
        // Selects the rack with room for the fewest tasks that still takes the whole gang. For urgent work,
        // selects the rack whose slowest chosen worker is fastest, since a gang is only as fast as its
        // slowest worker.
        std::optional<std::vector<Fit>> best;
        std::pair<int, int> bestRank;
        for (const auto& [rack, workers] : view.racks()) {
            std::vector<Fit> fits = fitsOn(request, view, workers);
            if (totalTasks(fits) < request.tasks)
                continue;
            const int places = taskSlotsOn(request, view, fits);
            if (best && !request.prefersFastWorkers && places >= bestRank.second)
                continue;
            auto chosen = choose(request, view, std::move(fits));
            if (!chosen)
                continue;
            const int slowness = request.prefersFastWorkers ? -slowestBand(*chosen) : 0;
            const std::pair rank(slowness, places);
            if (best && rank >= bestRank)
                continue;
            best = std::move(chosen);
            bestRank = rank;
        }
        if (best)
            return take(request, view, *best);
        if (!request.mayRelaxLocality)
            return std::nullopt;
    }
    const auto chosen = choose(request, view, fitsOn(request, view, permittedWorkers(request, view)));
    if (!chosen)
        return std::nullopt;
    return take(request, view, *chosen);
}

} // namespace anvilmoor::batch
