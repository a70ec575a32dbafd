#pragma once

#include "anvilmoor/event.h"
#include "core/step.h"
#include "jobs/zone_observation.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace anvilmoor {

// Keeps one sync request per rack open under one token and passes the reports to the observation.
class RackSyncer {
public:
    // Decides whether the lease of a reported task is to be renewed.
    using IsRenewable = std::function<bool(const TaskKey&)>;

    explicit RackSyncer(ZoneObservation&);

    // Starts syncing under this token (0 for a caretaker). The first sync requests a complete report of each
    // rack.
    void start(FencingToken, TimePoint now);
    void stop();
    std::optional<FencingToken> token() const { return m_token; }

    // Sends the syncs that are due.
    void tick(const IsRenewable&, Step&);

    // Returns the tasks whose reports changed; empty for a late or repeated reply.
    std::set<TaskKey> handle(const RackSynced&, Step&);
    void handle(const RackSyncFailed&, Step&);
    // True if a rack refused the current token: a newer holder exists.
    bool isTokenRefused() const { return m_isTokenRefused; }

private:
    struct Rack {
        bool isOutstanding = false;
        TimePoint sentAt {};
        // Send times of the syncs that may still be answered, oldest first. A reply is attributed to the
        // oldest, so that a report is never considered newer than it is.
        std::deque<TimePoint> unanswered;
        TimePoint nextAt {};
        std::uint64_t sequence = 0;
        TimePoint renewedAt {};
        bool hasRenewed = false;
        int failures = 0; // consecutive
        int refusals = 0; // of the token, consecutive
    };

    void send(const RackObservation&, Rack&, const IsRenewable&, Step&);
    std::vector<LeaseRenewal> renewals(const RackObservation&, const IsRenewable&) const;

    ZoneObservation& m_observation;
    std::optional<FencingToken> m_token;
    std::map<RackId, Rack> m_racks;
    bool m_isTokenRefused = false;
};

} // namespace anvilmoor
