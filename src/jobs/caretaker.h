#pragma once

#include "jobs/job_store.h"
#include "jobs/zone_observation.h"

namespace anvilmoor {

// Decides which leases a caretaker renews: those of gangs whose rows it knows and whose members were all
// reported running or finished within the last 10 s. A caretaker is a daemon that renews task leases, and
// does nothing else, while the platform is unreachable and no reachable daemon holds the zone's role.
class Caretaker {
public:
    Caretaker(const JobStore&, const ZoneObservation&);

    bool isRenewable(const TaskKey&, TimePoint now) const;

private:
    const JobStore& m_store;
    const ZoneObservation& m_observation;
};

} // namespace anvilmoor
