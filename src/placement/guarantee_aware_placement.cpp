#include "placement/guarantee_aware_placement.h"

#include "placement/borrowed_placement.h"
#include "placement/claim_placement.h"
#include "placement/defragmentation.h"
#include "placement/fair_queue.h"
#include "placement/gang_reservation.h"
#include "placement/guarantee_ledger.h"
#include "placement/guarantee_planner.h"
#include "placement/job_limits.h"
#include "placement/plan_draft.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace anvilmoor {

namespace {

// Number of jobs per plan for which a reservation is attempted. Jobs for which guaranteed work and unusable
// workers leave no room get no reservation; the limit keeps them from using up the time of a call.
constexpr int maxReservationAttempts = 8;

// The state of one call of plan().
class Planner {
public:
    Planner(const ReclaimPolicy& reclaim, const ZoneInventory& inventory, const Configuration& configuration,
        TimePoint now)
        : m_reclaim(reclaim)
        , m_inventory(inventory)
        , m_now(now)
        , m_draft(inventory)
        , m_ledger(inventory, configuration)
        , m_claimQueue(inventory, configuration, now)
        , m_borrowedQueue(inventory, configuration, now)
        , m_largestShape(largestGuaranteedShape(configuration, inventory.zone()))
    {
    }

    PlacementPlan run(std::span<const QueuedJob> queue)
    {
        std::vector<const QueuedJob*> borrowedWithMembers;
        for (const QueuedJob& job : queue) {
            if (m_inventory.find(job.specification.id) || job.specification.accelerators <= 0)
                m_draft.wait(job, "already holds accelerators, or asks for none");
            else if (job.specification.jobClass == JobClass::Guaranteed)
                resumeOrQueueClaim(job);
            else if (!job.claimedMembers.empty())
                borrowedWithMembers.push_back(&job);
            else
                queueBorrowed(job);
        }
        while (const QueuedJob* job = m_claimQueue.pop())
            placeClaim(*job);
        for (const QueuedJob* job : borrowedWithMembers) {
            if (m_draft.resume(*job))
                m_borrowedQueue.recordStart(*job);
            else
                queueBorrowed(*job);
        }
        placeBorrowed();
        return m_draft.finish();
    }

private:
    // Resumes claims that already have members before any new claim is placed.
    void resumeOrQueueClaim(const QueuedJob& job)
    {
        const JobSpecification& specification = job.specification;
        const bool isWithinGuarantee = m_ledger.canClaim(specification.account, specification.accelerators);
        if (isWithinGuarantee && m_draft.resume(job)) {
            m_ledger.claim(specification.account, specification.accelerators);
            m_borrowedQueue.recordStart(job);
        } else if (!m_claimQueue.push(job)) {
            m_draft.wait(job, "the account is not in the configuration");
        }
    }

    void queueBorrowed(const QueuedJob& job)
    {
        if (!m_borrowedQueue.push(job))
            m_draft.wait(job, "the account is not in the configuration");
    }

    void placeClaim(const QueuedJob& job)
    {
        const JobSpecification& specification = job.specification;
        if (!m_ledger.claim(specification.account, specification.accelerators)) {
            m_draft.wait(job,
                fmt::format("account {} has no unclaimed guarantee of {} accelerators",
                    specification.account.value(), specification.accelerators));
            return;
        }
        std::optional<ReclaimChoice> choice
            = anvilmoor::placeClaim(m_reclaim, m_draft.room(), specification, m_ledger.unclaimed(), m_now);
        if (!choice) {
            m_draft.wait(job, "guaranteed work and unusable workers leave no room");
            return;
        }
        m_draft.start(job, std::move(*choice));
        m_claimQueue.recordStart(job);
        m_borrowedQueue.recordStart(job);
    }

    void placeBorrowed()
    {
        BorrowedPlacement placement(m_draft.room(), plannedPerRack(), m_largestShape);
        std::optional<GangReservation> reservation;
        while (const QueuedJob* job = m_borrowedQueue.pop()) {
            if (!isWithinQuota(*job))
                continue;
            const JobSpecification& specification = job->specification;
            const bool mayUseReserved = reservation && reservation->admits(*job);
            if (std::optional<std::vector<GangMember>> members
                = placement.find(specification.accelerators, specification.adjacent, mayUseReserved)) {
                startBorrowed(*job, { std::move(*members), {} });
                continue;
            }
            waitOrReserve(*job, placement, reservation);
        }
    }

    void waitOrReserve(
        const QueuedJob& job, BorrowedPlacement& placement, std::optional<GangReservation>& reservation)
    {
        if (!reservation && m_reservationAttempts++ < maxReservationAttempts) {
            reservation.emplace(m_draft.room(), job, m_now);
            if (startByEviction(job, *reservation))
                return;
            std::vector<bool> racks = reservation->racks();
            if (std::find(racks.begin(), racks.end(), true) != racks.end())
                placement.reserve(std::move(racks));
            else
                reservation.reset();
        }
        waitForRoom(job);
    }

    bool startByEviction(const QueuedJob& job, const GangReservation& reservation)
    {
        if (!reservation.mayEvict() || !reservation.canMakeRoom())
            return false;
        std::optional<ReclaimChoice> choice = m_reclaim.chooseWithin(m_draft.room(),
            { .accelerators = job.specification.accelerators,
                .adjacent = job.specification.adjacent,
                .now = m_now,
                .rackLimits = {},
                .mayEvict = [&](const Holding& holding) { return reservation.mayEvict(holding); } });
        if (!choice)
            return false;
        startBorrowed(job, std::move(*choice));
        return true;
    }

    void startBorrowed(const QueuedJob& job, ReclaimChoice choice)
    {
        m_draft.start(job, std::move(choice));
        m_borrowedQueue.recordStart(job);
    }

    void waitForRoom(const QueuedJob& job)
    {
        m_draft.wait(job,
            fmt::format("{} {} accelerators are not free", job.specification.accelerators,
                job.specification.adjacent ? "adjacent" : "scattered"));
    }

    bool isWithinQuota(const QueuedJob& job)
    {
        const ClientAccountId& account = job.specification.account;
        const int held = m_borrowedQueue.heldBy(account);
        const int quota = m_borrowedQueue.quotaOf(account);
        if (held + job.specification.accelerators <= quota)
            return true;
        m_draft.wait(job,
            fmt::format("account {} holds {} of its quota of {} accelerators", account.value(), held, quota));
        return false;
    }

    std::vector<int> plannedPerRack() const
    {
        const std::vector<int> reach = m_draft.room().reachPerRack();
        std::vector<int> planned(reach.size());
        const auto packed = packShapes(reach, m_ledger.unclaimed(), m_inventory.rackSize());
        if (!packed)
            return planned;
        for (const ShapePlacement& placement : *packed) {
            for (const RackShare& share : placement.shares)
                planned[share.rack] += share.accelerators;
        }
        return planned;
    }

    const ReclaimPolicy& m_reclaim;
    const ZoneInventory& m_inventory;
    TimePoint m_now;
    PlanDraft m_draft;
    GuaranteeLedger m_ledger;
    FairQueue m_claimQueue;
    FairQueue m_borrowedQueue;
    int m_largestShape;
    int m_reservationAttempts = 0;
};

} // namespace

GuaranteeAwarePlacement::GuaranteeAwarePlacement(const ReclaimPolicy& reclaim)
    : m_reclaim(reclaim)
{
}

PlacementPlan GuaranteeAwarePlacement::plan(const ZoneInventory& inventory,
    const Configuration& configuration, std::span<const QueuedJob> queue, TimePoint now) const
{
    return Planner(m_reclaim, inventory, configuration, now).run(queue);
}

std::optional<DefragmentationMove> GuaranteeAwarePlacement::proposeMove(
    const ZoneInventory& inventory, const Configuration& configuration, TimePoint now) const
{
    const int shape = std::min(largestGuaranteedShape(configuration, inventory.zone()), inventory.rackSize());
    const double gainAcceleratorSeconds = shape * std::chrono::duration<double>(moveInterval).count();
    return DefragmentationPolicy(gainAcceleratorSeconds).proposeForShape(inventory, shape, now);
}

std::string GuaranteeAwarePlacement::reasonItCanNeverRun(const AvailabilityZoneConfiguration& zone,
    const Configuration& configuration, const JobSpecification& job) const
{
    return reasonJobCanNeverRun(zone, configuration, job);
}

int GuaranteeAwarePlacement::largestFreeShape(const ZoneInventory& inventory) const
{
    return largestFreeAdjacentShape(inventory);
}

} // namespace anvilmoor
