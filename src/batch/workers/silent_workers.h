#pragma once

#include "anvilmoor/batch/rows.h"
#include "anvilmoor/batch/worker.h"

#include <cstddef>
#include <map>
#include <set>

namespace anvilmoor::batch {

// When the leases that earlier leaders have granted to a worker have expired.
struct LeaseBound {
    StoreClock endsBy = 0; // 0: unknown
    TimePoint latest = TimePoint::max(); // the same on this leader's clock
};

// What a new leader knows about the leases that earlier leaders have granted.
struct EarlierLeases {
    LeaseBound all;
    std::map<WorkerLifetime, LeaseBound> silentWorkers; // those to which the last leader granted none

    LeaseBound of(const WorkerLifetime&) const;
};

// The workers with adopted runs that have not answered this leader and therefore have no lease from it. The
// lease row lists them, so that the next leader need not wait for leases of this one on them. A worker that
// may be listed gets no lease.
class SilentWorkers {
public:
    // Begins a leadership; the stored row lists these workers.
    void begin(const EarlierLeases&);
    // The worker has adopted runs, and has not answered yet.
    void add(const WorkerLifetime&, StoreClock leasesEndBy);
    // The worker has answered, or its lifetime is over.
    void forget(const WorkerLifetime& worker) { m_silent.erase(worker); }

    // Begins a commit, after the earlier one has been answered. Returns the workers that it lists, in at most
    // this many bytes.
    std::map<WorkerLifetime, StoreClock> beginCommit(bool mayListMore, std::size_t maxBytes);
    // The latest commit has been applied.
    void stored() { m_maybeListed = m_lastListed; }
    bool mayBeListed(const WorkerLifetime& worker) const { return m_maybeListed.contains(worker); }

private:
    std::map<WorkerLifetime, StoreClock> m_silent;
    std::set<WorkerLifetime> m_lastListed; // by the latest commit
    std::set<WorkerLifetime> m_maybeListed; // by the stored row or the latest commit
};

} // namespace anvilmoor::batch
