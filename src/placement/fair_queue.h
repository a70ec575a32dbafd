#pragma once

#include "placement/placement_policy.h"

#include <array>
#include <vector>

namespace anvilmoor {

constexpr int maxEffectivePriority = 9;

// A queued job gains one priority level per interval, so that a job of priority 0 reaches the highest level
// after 90 minutes.
constexpr Milliseconds ageingInterval { 10 * 60 * 1'000 };

// Priority with ageing, 0 to maxEffectivePriority.
int effectivePriority(const QueuedJob&, TimePoint now);

// Orders queued jobs by effective priority, then by the account that holds the fewest accelerators relative
// to its share, then by arrival. Accounts are compared again after each start, so that a burst of one account
// does not overtake the others.
class FairQueue {
public:
    FairQueue(const ZoneInventory&, const Configuration&, TimePoint now);

    // Call in order of arrival. Returns false and does not queue the job if its account is not in the
    // configuration. The job must outlive the queue.
    [[nodiscard]] bool push(const QueuedJob&);

    // Null when empty.
    const QueuedJob* pop();

    // Accelerators that the account holds, including recorded starts. Precondition: the account exists.
    int heldBy(const ClientAccountId&) const;
    int quotaOf(const ClientAccountId&) const;
    void recordStart(const QueuedJob&);

private:
    struct Account {
        const ClientAccountConfiguration* configuration = nullptr;
        int held = 0;

        double heldPerShare() const;
    };
    // Jobs of one account and effective priority.
    struct Lane {
        std::size_t account = 0;
        std::vector<const QueuedJob*> jobs;
        std::size_t next = 0;
    };

    std::size_t findAccount(const ClientAccountId&) const;

    TimePoint m_now;
    std::vector<Account> m_accounts;
    // By effective priority; the lanes of a priority are in order of their first arrival.
    std::array<std::vector<Lane>, maxEffectivePriority + 1> m_lanes;
};

} // namespace anvilmoor
