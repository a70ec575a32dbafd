#pragma once

#include "placement/placement_policy.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvilmoor {

// Accelerators set aside for a queued job until borrowed work has released them or has reduced its noise
// enough for the job to start.
struct PlacementClaim {
    std::vector<GangMember> members;
};

// The zone's queued jobs in order of arrival.
class PlacementQueue {
public:
    // The job can be placed from `notBefore` on. A job that is already queued keeps its position.
    // `storedReason` is the wait reason in the job's row.
    void add(const JobSpecification&, TimePoint queuedAt, TimePoint notBefore,
        const std::string& storedReason = {});
    void remove(const JobId&);
    bool contains(const JobId& job) const { return m_entries.contains(job); }
    std::size_t size() const { return m_entries.size(); }
    void clear();

    // Jobs that can be placed now, in order of arrival.
    std::vector<QueuedJob> ready(TimePoint now) const;
    const JobSpecification* find(const JobId&) const;

    void setClaim(const JobId&, PlacementClaim);
    void dropClaim(const JobId&);
    void dropClaims();
    const std::map<JobId, PlacementClaim>& claims() const { return m_claims; }

    void setReason(const JobId&, std::string);
    // Empty if no reason is known.
    std::string reason(const JobId&) const;
    // Returns up to `limit` jobs, in order of arrival, whose wait reason should be stored in their row now:
    // the job has waited for 5 s and has no claim, the reason differs from the stored one in more than
    // digits, and the last one was stored at least a minute ago. Marks the returned reasons as stored.
    std::vector<JobId> takeReasonsToStore(TimePoint now, std::size_t limit);

private:
    struct Entry {
        std::string storedReasonWithoutDigits; // stored reason without its digits
        std::optional<TimePoint> storedAt;
        QueuedJob job;
        TimePoint notBefore {};
        std::string reason;
    };

    std::map<JobId, Entry> m_entries;
    std::map<std::pair<TimePoint, JobId>, Entry*> m_order;
    std::map<JobId, PlacementClaim> m_claims;
};

} // namespace anvilmoor
