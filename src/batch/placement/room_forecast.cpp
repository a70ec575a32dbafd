#include "batch/placement/room_forecast.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

namespace anvilmoor::batch {

namespace {

// A run that goes on beyond its expected end is taken to end this much later than now.
constexpr Milliseconds overdueRunTime { 500 };

} // namespace

RoomForecast::RoomForecast(
    const JobBook& jobs, std::set<RunId> stoppable, Milliseconds stopTimeout, TimePoint now)
    : m_jobs(jobs)
    , m_stoppable(std::move(stoppable))
    , m_stopTimeout(stopTimeout)
    , m_now(now)
{
}

std::optional<TimePoint> RoomForecast::expectedEnd(const Worker& worker, const LiveRun& run) const
{
    if (run.phase == RunPhase::Stopping || m_stoppable.contains(run.id))
        return m_now + m_stopTimeout;
    const JobBook::Entry* entry = m_jobs.find(run.id.task.job);
    if (!entry)
        return m_now + m_stopTimeout;
    const StepSpecification& step = entry->progress.specificationOf(run.id.task.step);
    if (step.runsUntilCancelled)
        return std::nullopt;
    const auto end = run.progress.expectedEnd();
    const TimePoint expected = end ? m_now + Milliseconds(*end - worker.clock.at(m_now))
                                   : run.acceptedAt.value_or(m_now) + step.estimatedDuration;
    return expected > m_now ? expected : m_now + overdueRunTime;
}

const std::vector<RoomForecast::RunEndTime>& RoomForecast::runEndsOn(const Worker& worker)
{
    const auto [position, isNew] = m_runEnds.try_emplace(&worker);
    std::vector<RunEndTime>& ends = position->second;
    if (!isNew)
        return ends;
    for (const auto& [task, run] : worker.runs) {
        if (const auto end = expectedEnd(worker, run))
            ends.push_back({ *end, run.resources });
    }
    std::sort(ends.begin(), ends.end(), [](const RunEndTime& a, const RunEndTime& b) { return a.at < b.at; });
    return ends;
}

void RoomForecast::addSlots(const PlacementRequest& request, const WorkerCapacity& capacity,
    std::size_t index, std::vector<Slot>& slots)
{
    if (capacity.isOnTrial)
        return;
    Resources room = capacity.room;
    int fits = tasksThatFit(request, capacity, room);
    slots.insert(slots.end(), static_cast<std::size_t>(fits), { m_now, index });
    if (!capacity.worker)
        return;
    for (const RunEndTime& end : runEndsOn(*capacity.worker)) {
        if (fits >= request.tasks)
            return;
        room += end.resources;
        const int fitsThen = tasksThatFit(request, capacity, room);
        slots.insert(slots.end(), static_cast<std::size_t>(fitsThen - fits), { end.at, index });
        fits = fitsThen;
    }
}

std::optional<RoomForecast::Fit> RoomForecast::earliestFitAmong(
    const PlacementRequest& request, const CapacityView& view, const std::vector<std::size_t>& workers)
{
    std::vector<Slot> slots;
    for (const std::size_t index : workers)
        addSlots(request, view.workers()[index], index, slots);
    const auto tasks = static_cast<std::size_t>(request.tasks);
    if (slots.size() < tasks)
        return std::nullopt;
    const auto end = slots.begin() + request.tasks;
    std::partial_sort(slots.begin(), end, slots.end());
    Fit fit;
    fit.at = slots[tasks - 1].from;
    for (auto slot = slots.begin(); slot != end; ++slot)
        fit.workers.push_back(view.workers()[slot->worker].lifetime);
    return fit;
}

std::optional<RoomForecast::Fit> RoomForecast::earliestFit(
    const PlacementRequest& request, const CapacityView& view)
{
    const bool isBoundToRack = !request.mayRelaxLocality
        && ((request.tasks > 1 && request.step.needsOneRack) || !request.step.dataRack.empty());
    if (!isBoundToRack) {
        std::vector<std::size_t> all(view.workers().size());
        std::iota(all.begin(), all.end(), 0U);
        return earliestFitAmong(request, view, all);
    }
    std::optional<Fit> best;
    for (const auto& [rack, workers] : view.racks()) {
        if (!request.step.dataRack.empty() && rack.value() != request.step.dataRack)
            continue;
        auto fit = earliestFitAmong(request, view, workers);
        if (fit && (!best || fit->at < best->at))
            best = std::move(fit);
    }
    return best;
}

} // namespace anvilmoor::batch
