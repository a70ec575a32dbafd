#pragma once

#include "measure/request_run.h"

#include <string>
#include <vector>

namespace anvilmoor::measure {

enum class ClaimFault { None, ObjectStoreDown, FailingWorkers, TableOutage, ZoneCut };

struct ClaimResult {
    std::vector<double> waitMs; // from acceptance until every member runs, or the limit if they never do
    std::size_t claims = 0; // accepted
    std::size_t refused = 0; // not accepted: the submitter was told so
    std::size_t late = 0; // not running within the bound
    std::string firstUnstartedClaim; // its table row, with the reason why the job waits
};

// Submits the claims of all accounts at once in zones full of borrowed work, with real reducers in the
// in-memory cluster. Waits are measured in steps of 10 ms.
ClaimResult runClaims(
    const std::string& document, const Configuration&, ClaimFault, PolicySet, std::uint64_t seed);

} // namespace anvilmoor::measure
