#include "placement/defragmentation.h"

#include "placement/borrowed_placement.h"
#include "placement/rack_runs.h"
#include "reclaim/least_lost_work_reclaim.h"
#include "reclaim/reclaim_site.h"

#include <algorithm>
#include <numeric>

namespace anvilmoor {

namespace {

// Number of rack runs that are examined, those that lack the fewest accelerators first.
constexpr std::size_t maxRunsTried = 32;

int missingAccelerators(const PlacementRoom& room, const RackRun& run, int accelerators)
{
    for (std::size_t rack = run.first; rack < run.first + run.count; ++rack)
        accelerators -= room.racks()[rack].free;
    return accelerators;
}

// Number of moves for which a destination is sought, the cheapest first. Limits the computation in a large
// zone.
constexpr std::size_t maxMovesTried = 32;

struct MoveCandidate {
    const Holding* holding = nullptr;
    std::size_t rack = 0;
    double lost = 0;
};

// The rack in which the job holds all its accelerators, on usable workers only. Empty if there is no such
// rack.
std::optional<std::size_t> rackOf(const ZoneInventory& inventory, const Holding& holding)
{
    const std::size_t rack = inventory.find(holding.members.front().worker)->rack;
    for (const GangMember& member : holding.members) {
        const WorkerCapacity* worker = inventory.find(member.worker);
        if (worker->rack != rack || !worker->isUsable)
            return std::nullopt;
    }
    return rack;
}

// A place for the job outside of the run. The place is adjacent, because the job may have been submitted as
// adjacent and a holding does not record that.
std::optional<std::vector<GangMember>> placeOutside(
    const PlacementRoom& room, const RackRun& run, const Holding& holding, int shape)
{
    std::vector<bool> reserved(room.racks().size());
    std::fill_n(reserved.begin() + static_cast<std::ptrdiff_t>(run.first), run.count, true);
    BorrowedPlacement placement(room, {}, shape);
    placement.reserve(std::move(reserved));
    return placement.find(acceleratorsOf(holding.members), true, false);
}

} // namespace

DefragmentationPolicy::DefragmentationPolicy(double lostAcceleratorSecondsLimit)
    : m_lostAcceleratorSecondsLimit(lostAcceleratorSecondsLimit)
{
}

std::optional<DefragmentationMove> DefragmentationPolicy::proposeForGang(
    const ZoneInventory& inventory, int gangAccelerators) const
{
    const PlacementRoom room(inventory);
    if (!fittingRuns(room.freePerRack(), gangAccelerators, inventory.rackSize()).empty())
        return std::nullopt;
    std::vector<RackRun> runs = fittingRuns(room.reachPerRack(), gangAccelerators, inventory.rackSize());
    std::stable_sort(runs.begin(), runs.end(), [&](const RackRun& left, const RackRun& right) {
        return missingAccelerators(room, left, gangAccelerators)
            < missingAccelerators(room, right, gangAccelerators);
    });
    runs.resize(std::min(runs.size(), maxRunsTried));
    std::optional<DefragmentationMove> best;
    double minLost = m_lostAcceleratorSecondsLimit;
    const ReclaimRequest request { .accelerators = gangAccelerators, .rackLimits = {}, .mayEvict = {} };
    for (const RackRun& run : runs) {
        std::vector<std::size_t> racks(run.count);
        std::iota(racks.begin(), racks.end(), run.first);
        const ReclaimSite site(room, request, std::move(racks));
        for (const ReclaimCandidate& candidate : site.candidates()) {
            const double lost = lostAcceleratorSeconds(*candidate.holding);
            if (candidate.gain < missingAccelerators(room, run, gangAccelerators) || lost >= minLost)
                continue;
            std::optional<std::vector<GangMember>> members = placeOutside(room, run, *candidate.holding, 0);
            if (!members)
                continue;
            minLost = lost;
            best = { candidate.holding->job, std::move(*members) };
        }
    }
    return best;
}

std::optional<DefragmentationMove> DefragmentationPolicy::proposeForShape(
    const ZoneInventory& inventory, int shape, TimePoint now) const
{
    if (shape <= 0 || shape > inventory.rackSize())
        return std::nullopt;
    const std::span<const RackCapacity> racks = inventory.racks();
    std::vector<MoveCandidate> candidates;
    for (const auto& [job, holding] : inventory.holdings()) {
        const bool isMovable = holding.jobClass == JobClass::Borrowed && !holding.isLeaving
            && now - holding.startedAt >= minRunTimeBeforeMove;
        const double lost = lostAcceleratorSeconds(holding) + evictionCostAcceleratorSeconds;
        if (!isMovable || lost >= m_lostAcceleratorSecondsLimit)
            continue;
        const std::optional<std::size_t> rack = rackOf(inventory, holding);
        if (rack && racks[*rack].free % shape + acceleratorsOf(holding.members) >= shape)
            candidates.push_back({ &holding, *rack, lost });
    }
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const MoveCandidate& left, const MoveCandidate& right) { return left.lost < right.lost; });
    candidates.resize(std::min(candidates.size(), maxMovesTried));
    const PlacementRoom room(inventory);
    for (const MoveCandidate& candidate : candidates) {
        const int size = acceleratorsOf(candidate.holding->members);
        std::optional<std::vector<GangMember>> members
            = placeOutside(room, { candidate.rack, 1, 0 }, *candidate.holding, shape);
        if (!members)
            continue;
        const int free = racks[inventory.find(members->front().worker)->rack].free;
        if (free / shape - (free - size) / shape < (racks[candidate.rack].free % shape + size) / shape)
            return DefragmentationMove { candidate.holding->job, std::move(*members) };
    }
    return std::nullopt;
}

} // namespace anvilmoor
