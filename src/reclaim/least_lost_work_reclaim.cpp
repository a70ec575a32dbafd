#include "reclaim/least_lost_work_reclaim.h"

#include "reclaim/reclaim_site.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace anvilmoor {

namespace {

// Most sites for which evictions are computed; the sites that lack the fewest accelerators come first. These
// limits keep a choice among 19,000 workers within a few milliseconds.
constexpr std::size_t maxSitesInOneRack = 64;
constexpr std::size_t maxSitesAcrossRacks = 16;

struct RatedChoice {
    ReclaimChoice choice;
    double cost = 0;
    bool mustWait = false;
    int leftOver = 0; // reclaimable accelerators that the claim does not use in its racks

    auto rank() const { return std::tuple(cost, mustWait, leftOver); }
};

// Evicts in order of cost per accelerator gained, until the claim fits.
void evictCheapest(ReclaimSite& site, std::vector<ReclaimCandidate>& candidates)
{
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const ReclaimCandidate& left, const ReclaimCandidate& right) {
            return left.cost * right.gain < right.cost * left.gain;
        });
    std::size_t used = 0;
    while (used < candidates.size() && site.missing() > 0)
        site.evict(candidates[used++]);
    candidates.resize(used);
}

// Undoes evictions without which the claim still fits, the most expensive first.
void undoNeedlessEvictions(ReclaimSite& site, std::vector<ReclaimCandidate>& evicted)
{
    std::stable_sort(evicted.begin(), evicted.end(),
        [](const ReclaimCandidate& left, const ReclaimCandidate& right) { return left.cost > right.cost; });
    std::erase_if(evicted, [&](const ReclaimCandidate& candidate) {
        site.undoEvict(candidate);
        if (site.missing() <= 0)
            return true;
        site.evict(candidate);
        return false;
    });
}

// Replaces the evictions by that of a single job, if one job makes enough room alone at a lower cost.
void replaceBySingleEviction(
    ReclaimSite& site, const std::vector<ReclaimCandidate>& all, std::vector<ReclaimCandidate>& evicted)
{
    double cost = 0;
    for (const ReclaimCandidate& candidate : evicted) {
        cost += candidate.cost;
        site.undoEvict(candidate);
    }
    const ReclaimCandidate* best = nullptr;
    for (const ReclaimCandidate& candidate : all) {
        if (candidate.gain < site.missing() || candidate.cost >= (best ? best->cost : cost))
            continue;
        site.evict(candidate);
        if (site.missing() <= 0)
            best = &candidate;
        site.undoEvict(candidate);
    }
    if (best)
        evicted = { *best };
    for (const ReclaimCandidate& candidate : evicted)
        site.evict(candidate);
}

std::optional<RatedChoice> rate(
    const PlacementRoom& room, const ReclaimRequest& request, std::vector<std::size_t> racks, int reach)
{
    ReclaimSite site(room, request, std::move(racks));
    RatedChoice rated { .mustWait = site.mustWait(), .leftOver = reach - request.accelerators };
    std::vector<ReclaimCandidate> evicted;
    if (site.missing() > 0) {
        std::vector<ReclaimCandidate> all = site.candidates();
        for (ReclaimCandidate& candidate : all)
            candidate.cost = lostAcceleratorSeconds(*candidate.holding) + evictionCostAcceleratorSeconds;
        evicted = all;
        evictCheapest(site, evicted);
        if (site.missing() > 0)
            return std::nullopt;
        undoNeedlessEvictions(site, evicted);
        replaceBySingleEviction(site, all, evicted);
        if (!site.members()) { // an inner rack has no room, which breaks adjacency: evict all candidates
            for (const ReclaimCandidate& candidate : evicted)
                site.undoEvict(candidate);
            evicted = std::move(all);
            for (const ReclaimCandidate& candidate : evicted)
                site.evict(candidate);
        }
    }
    std::optional<std::vector<GangMember>> members = site.members();
    if (!members)
        return std::nullopt;
    rated.choice.members = std::move(*members);
    for (const ReclaimCandidate& candidate : evicted) {
        rated.cost += candidate.cost;
        rated.choice.evictions.push_back(candidate.holding->job);
    }
    return rated;
}

int missingIn(const PlacementRoom& room, std::span<const int> reach, const RackRun& run, int accelerators)
{
    for (std::size_t rack = run.first; rack < run.first + run.count; ++rack)
        accelerators -= std::min(reach[rack], room.racks()[rack].free + room.racks()[rack].leaving);
    return std::max(0, accelerators);
}

std::vector<RackRun> mostPromisingRuns(
    const PlacementRoom& room, const ReclaimRequest& request, std::span<const int> reach)
{
    const int rackSize = room.inventory().rackSize();
    std::vector<std::pair<std::tuple<int, int>, RackRun>> ranked;
    for (const RackRun& run : fittingRuns(reach, request.accelerators, rackSize))
        ranked.push_back({ { missingIn(room, reach, run, request.accelerators), run.room }, run });
    std::stable_sort(ranked.begin(), ranked.end(),
        [](const auto& left, const auto& right) { return left.first < right.first; });
    const std::size_t most = request.accelerators <= rackSize ? maxSitesInOneRack : maxSitesAcrossRacks;
    std::vector<RackRun> runs;
    for (const auto& [rank, run] : ranked) {
        if (runs.size() == most)
            break;
        runs.push_back(run);
    }
    return runs;
}

std::vector<std::size_t> racksOf(const RackRun& run)
{
    std::vector<std::size_t> racks(run.count);
    std::iota(racks.begin(), racks.end(), run.first);
    return racks;
}

std::optional<ReclaimChoice> chooseAdjacent(
    const PlacementRoom& room, const ReclaimRequest& request, std::span<const int> reach)
{
    std::optional<RatedChoice> best;
    for (const RackRun& run : mostPromisingRuns(room, request, reach)) {
        std::optional<RatedChoice> rated = rate(room, request, racksOf(run), run.room);
        if (rated && (!best || rated->rank() < best->rank()))
            best = std::move(rated);
    }
    if (!best)
        return std::nullopt;
    return std::move(best->choice);
}

// Uses as few racks as can provide the accelerators, those with the most free or leaving accelerators first.
std::optional<ReclaimChoice> chooseScattered(
    const PlacementRoom& room, const ReclaimRequest& request, std::span<const int> reach)
{
    std::vector<std::size_t> order(reach.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    const auto availableSoon = [&](std::size_t rack) {
        return std::min(reach[rack], room.racks()[rack].free + room.racks()[rack].leaving);
    };
    std::stable_sort(order.begin(), order.end(),
        [&](std::size_t left, std::size_t right) { return availableSoon(left) > availableSoon(right); });
    int sum = 0;
    std::size_t count = 0;
    while (count < order.size() && sum < request.accelerators)
        sum += std::max(0, reach[order[count++]]);
    order.resize(count);
    std::sort(order.begin(), order.end());
    std::optional<RatedChoice> rated = rate(room, request, std::move(order), sum);
    if (!rated)
        return std::nullopt;
    return std::move(rated->choice);
}

} // namespace

double lostAcceleratorSeconds(const Holding& holding)
{
    const Milliseconds lost = std::max(Milliseconds(0), holding.progress - holding.checkpointed);
    return std::chrono::duration<double>(lost).count() * acceleratorsOf(holding.members);
}

std::optional<ReclaimChoice> LeastLostWorkReclaim::choose(
    const ZoneInventory& inventory, int accelerators, bool adjacent, TimePoint now) const
{
    return chooseWithin(PlacementRoom(inventory),
        { .accelerators = accelerators, .adjacent = adjacent, .now = now, .rackLimits = {}, .mayEvict = {} });
}

std::optional<ReclaimChoice> LeastLostWorkReclaim::chooseWithin(
    const PlacementRoom& room, const ReclaimRequest& request) const
{
    if (request.accelerators <= 0)
        return std::nullopt;
    const std::vector<int> reach = reachFor(room, request);
    return request.adjacent ? chooseAdjacent(room, request, reach) : chooseScattered(room, request, reach);
}

} // namespace anvilmoor
