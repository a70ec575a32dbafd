#pragma once

#include "anvilmoor/batch/job.h"
#include "anvilmoor/batch/rows.h"
#include "anvilmoor/time.h"

#include <map>
#include <set>
#include <utility>

namespace anvilmoor::batch {

// How long a cancel request stays in force at least, also if its job is not stored or its rows have been
// removed. A copy of the job may reach the store later than the cancel request: it may be in a transaction
// that has had no answer, or the client may have repeated its submission.
constexpr Milliseconds cancelRetention { 150'000 };

// The leader's view of the stored cancel requests.
class CancelRequests {
public:
    // Must be called with each version of a request's row. A repeated request stays in force longer.
    void note(const JobId&, RowVersion, TimePoint now);
    void erase(const JobId&);
    bool contains(const JobId& job) const { return m_requests.contains(job); }
    // Of the request's row; 0 without a request.
    RowVersion versionOf(const JobId&) const;
    bool isInForce(const JobId&, TimePoint now) const;
    // All of them with the time when they were last noted, oldest first.
    using ByTime = std::set<std::pair<TimePoint, JobId>>;
    const ByTime& byTime() const { return m_byTime; }

private:
    struct Request {
        RowVersion version = 0;
        TimePoint notedAt {};
    };

    std::map<JobId, Request> m_requests;
    ByTime m_byTime;
};

} // namespace anvilmoor::batch
