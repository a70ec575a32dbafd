#include "batch/placement/queue_order.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <tuple>
#include <utility>

namespace anvilmoor::batch {

namespace {

// A job that has waited for longer than this gets the next turn of its priority.
constexpr Milliseconds maxTimeWithoutTurn { 30'000 };

// Sizes that are served nearly as often as their queue, or more often, share the highest level.
constexpr int servedLevels = 5;

int servedLevelOf(const WaitingStep& waiting)
{
    constexpr int highest = servedLevels - 1;
    if (waiting.isGuaranteed)
        return highest;
    return std::min(static_cast<int>(waiting.relativeServedShare * servedLevels), highest);
}

struct Rank {
    bool isNotGuaranteed = false;
    int priority = 0;
    bool isNotLongestWaiting = true; // of the priority
    int servedLevel = 0;
    int lateness = 0; // 0: can meet its objective, 1: late, 2: too late to have any value
    WallTime deadline {};
    const JobId* job = nullptr;
    int step = 0;

    auto key() const
    {
        return std::tie(
            isNotGuaranteed, priority, isNotLongestWaiting, servedLevel, lateness, deadline, *job, step);
    }
};

Rank rankOf(const WaitingStep& waiting, WallTime now)
{
    // A job that ends after its objective has little value, and none after three times the objective.
    constexpr int worthlessAfter = 3;
    const AcceptedJob& job = waiting.job->job();
    const WallTime start = job.dueAt(waiting.position.occurrence);
    const Milliseconds objective = job.objective();
    const Milliseconds remaining = waiting.job->specificationOf(waiting.position.step).estimatedDuration;
    Rank rank { !waiting.isGuaranteed, job.terms.priority, true, servedLevelOf(waiting), 0, start + objective,
        &job.specification.id, waiting.position.step };
    if (now + remaining > start + objective && !waiting.job->isPartlyPlaced(waiting.position))
        rank.lateness = 1;
    if (now + remaining > start + objective * worthlessAfter)
        rank.lateness = 2;
    return rank;
}

using Ranks = std::vector<std::pair<Rank, std::size_t>>;

// Of each priority, the job that has waited longest gets the first turn if it has waited for very long. Work
// in time, or with an earlier deadline, could pass it for as long as an overload lasts.
void putLongestWaitingFirst(Ranks& ranks, const std::vector<WaitingStep>& units, WallTime now)
{
    std::map<int, std::size_t> longest; // index into `ranks`, by priority
    const auto since = [&](std::size_t rank) {
        const WaitingStep& unit = units[ranks[rank].second];
        return unit.job->job().dueAt(unit.position.occurrence);
    };
    for (std::size_t i = 0; i < ranks.size(); ++i) {
        if (now < since(i) + maxTimeWithoutTurn)
            continue;
        const auto [known, isNew] = longest.try_emplace(ranks[i].first.priority, i);
        if (!isNew && since(i) < since(known->second))
            known->second = i;
    }
    for (const auto& [priority, index] : longest)
        ranks[index].first.isNotLongestWaiting = false;
}

} // namespace

void ObjectiveOrder::sort(std::vector<WaitingStep>& units, WallTime now) const
{
    Ranks ranks;
    ranks.reserve(units.size());
    for (std::size_t i = 0; i < units.size(); ++i)
        ranks.emplace_back(rankOf(units[i], now), i);
    putLongestWaitingFirst(ranks, units, now);
    std::sort(ranks.begin(), ranks.end(),
        [](const auto& a, const auto& b) { return a.first.key() < b.first.key(); });
    std::vector<WaitingStep> sorted;
    sorted.reserve(units.size());
    for (const auto& [rank, index] : ranks)
        sorted.push_back(units[index]);
    units = std::move(sorted);
}

} // namespace anvilmoor::batch
