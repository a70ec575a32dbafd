#include "batch/placement/queue_order.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace anvilmoor::batch {

namespace {

struct Rank {
    bool isNotGuaranteed = false;
    int priority = 0;
    int lateness = 0; // 0: can meet its objective, 1: late, 2: too late to have any value
    WallTime deadline {};
    const JobId* job = nullptr;
    int step = 0;

    auto key() const { return std::tie(isNotGuaranteed, priority, lateness, deadline, *job, step); }
};

Rank rankOf(const WaitingStep& waiting, WallTime now)
{
    // A job that ends after its objective has little value, and none after three times the objective.
    constexpr int worthlessAfter = 3;
    const AcceptedJob& job = waiting.job->job();
    const WallTime start = job.dueAt(waiting.position.occurrence);
    const Milliseconds objective = job.objective();
    const Milliseconds remaining = waiting.job->specificationOf(waiting.position.step).estimatedDuration;
    Rank rank { !waiting.isGuaranteed, job.terms.priority, 0, start + objective, &job.specification.id,
        waiting.position.step };
    if (now + remaining > start + objective)
        rank.lateness = 1;
    if (now + remaining > start + objective * worthlessAfter)
        rank.lateness = 2;
    return rank;
}

} // namespace

void ObjectiveOrder::sort(std::vector<WaitingStep>& units, WallTime now) const
{
    std::vector<std::pair<Rank, std::size_t>> ranks;
    ranks.reserve(units.size());
    for (std::size_t i = 0; i < units.size(); ++i)
        ranks.emplace_back(rankOf(units[i], now), i);
    std::sort(ranks.begin(), ranks.end(),
        [](const auto& a, const auto& b) { return a.first.key() < b.first.key(); });
    std::vector<WaitingStep> sorted;
    sorted.reserve(units.size());
    for (const auto& [rank, index] : ranks)
        sorted.push_back(units[index]);
    units = std::move(sorted);
}

} // namespace anvilmoor::batch
