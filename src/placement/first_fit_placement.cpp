#include "placement/first_fit_placement.h"

#include "placement/fair_queue.h"
#include "placement/guarantee_ledger.h"
#include "placement/job_limits.h"
#include "placement/plan_draft.h"

#include <utility>

namespace anvilmoor {

PlacementPlan FirstFitPlacement::plan(const ZoneInventory& inventory, const Configuration& configuration,
    std::span<const QueuedJob> queue, TimePoint now) const
{
    PlanDraft draft(inventory);
    GuaranteeLedger ledger(inventory, configuration);
    FairQueue accounts(inventory, configuration, now); // used only to count the accelerators of each account
    for (const QueuedJob& job : queue) {
        const JobSpecification& specification = job.specification;
        const ClientAccountConfiguration* account = configuration.findAccount(specification.account);
        if (!account || inventory.find(specification.id)) {
            draft.wait(job, "the account is not in the configuration, or the job holds accelerators");
            continue;
        }
        const bool isClaim = specification.jobClass == JobClass::Guaranteed;
        const bool isAllowed = isClaim
            ? ledger.claim(account->id, specification.accelerators).has_value()
            : accounts.heldBy(account->id) + specification.accelerators <= account->acceleratorQuota;
        if (!isAllowed) {
            draft.wait(job, isClaim ? "no unclaimed guarantee is large enough" : "the quota is used up");
            continue;
        }
        if (draft.resume(job)) {
            accounts.recordStart(job);
            continue;
        }
        std::optional<ReclaimChoice> choice = m_reclaim.chooseWithin(draft.room(),
            { .accelerators = specification.accelerators,
                .adjacent = specification.adjacent,
                .now = now,
                .rackLimits = {},
                .mayEvict = [&](const Holding&) { return isClaim; } });
        // Borrowed jobs do not wait for the accelerators of jobs that are leaving.
        if (!choice || (!isClaim && !draft.room().isFree(choice->members))) {
            draft.wait(job, "the accelerators are not free");
            continue;
        }
        draft.start(job, std::move(*choice));
        accounts.recordStart(job);
    }
    return draft.finish();
}

std::string FirstFitPlacement::reasonItCanNeverRun(const AvailabilityZoneConfiguration& zone,
    const Configuration& configuration, const JobSpecification& job) const
{
    return reasonJobCanNeverRun(zone, configuration, job);
}

int FirstFitPlacement::largestFreeShape(const ZoneInventory& inventory) const
{
    return largestFreeAdjacentShape(inventory);
}

} // namespace anvilmoor
